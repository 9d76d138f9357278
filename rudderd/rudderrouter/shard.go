// Package rudderrouter chooses, for each request, the shard of groups and its owner, and keeps hints
// of which group holds which prompt prefix. It does no I/O.
package rudderrouter

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/shared/rudderconfig"
)

// Group is a group that may serve now, or that is draining, as the fleet view describes it.
type Group struct {
	ID           string
	Selector     string
	Firm         string
	Model        string
	ModelVersion string
	Service      string
	// Workspaces and Classes served; empty means all.
	Workspaces []string
	Classes    []rudderconfig.WorkClass
	DataCentre string
	Region     string
	Slots      int
	// ShortShare of the slots is reserved for short work; nil takes the preset's.
	ShortShare *float64
	// Leader is the address that takes the group's requests.
	Leader   string
	Draining bool
	// Unconfirmed marks a group whose members' confirmations are not known here. The shard's owner, which
	// follows them, may grant it. Here it takes no work before its members were asked.
	Unconfirmed bool
	// Load is what the engine reports as running and waiting, sampled at LoadAtUnixMS, in
	// milliseconds since the Unix epoch; 0 means that there is no report.
	Load         int
	LoadAtUnixMS int64
}

// Requirements describes what a request needs of a group.
type Requirements struct {
	Firm      string
	Model     string
	Version   string // empty takes any version
	Service   string
	Workspace string
	Class     rudderconfig.WorkClass
}

// Serves reports whether the group's selector admits the request.
func (g Group) Serves(w Requirements) bool {
	return g.Firm == w.Firm && g.Model == w.Model && g.Service == w.Service &&
		(w.Version == "" || g.ModelVersion == w.Version) &&
		(len(g.Workspaces) == 0 || slices.Contains(g.Workspaces, w.Workspace)) &&
		(len(g.Classes) == 0 || slices.Contains(g.Classes, w.Class))
}

// servingKey is equal for groups that serve the same work in the same region. The data centres of a
// region are at most a millisecond apart, so a shard may span them.
func (g Group) servingKey() string {
	workspaces, classes := slices.Clone(g.Workspaces), slices.Clone(g.Classes)
	slices.Sort(workspaces)
	slices.Sort(classes)
	key := fmt.Sprintf("%s|%s|%s|%s|%s|%s|%v", g.Region, g.Firm, g.Model, g.ModelVersion, g.Service,
		strings.Join(workspaces, ","), classes)
	// The key is part of each admission call, so it is sent as a hash.
	return fmt.Sprintf("%016x", xxhash.Sum64String(key))
}

// maxShardGroups is the size above which a shard is split. Halves of 7 hold 3 or 4 groups, and
// sizes between splits average about 4.
const maxShardGroups = 6

// wholeKindGroups is the number of groups of one kind up to which they form a single shard. A firm
// of today's size has about 8 groups of 16 slots. One pool of them needs fewer slots kept free for
// short work than two pools: with two, 2 to 3 times as much long work went unserved.
const wholeKindGroups = 8

// Shard is a set of groups that one owner admits work to.
type Shard struct {
	id     string
	groups []Group
}

// ID is the same at each entry host that sees the same groups.
func (s Shard) ID() string { return s.id }

// Groups of the shard, ordered by ID.
func (s Shard) Groups() []Group { return s.groups }

// Slots of the groups that take new work.
func (s Shard) Slots() int {
	slots := 0
	for _, g := range s.groups {
		if !g.Draining {
			slots += g.Slots
		}
	}
	return slots
}

// Serves reports whether a group of the shard takes the request.
func (s Shard) Serves(w Requirements) bool {
	return slices.ContainsFunc(s.groups, func(g Group) bool { return !g.Draining && g.Serves(w) })
}

// BuildShards divides groups into shards. The groups of one kind are the leaves of a binary trie over the
// hashes of their IDs, and a node with at most maxShardGroups is a shard. A group that comes or goes
// changes one shard, or splits or joins one pair. The lower half of a split keeps the shard's ID and
// so its owner.
func BuildShards(groups []Group) []Shard {
	kinds := map[string][]Group{}
	for _, g := range groups {
		key := g.servingKey()
		kinds[key] = append(kinds[key], g)
	}
	var shards []Shard
	for key, members := range kinds {
		slices.SortFunc(members, func(a, b Group) int { return strings.Compare(a.ID, b.ID) })
		if len(members) <= wholeKindGroups {
			shards = append(shards, Shard{id: key + "#", groups: members})
			continue
		}
		shards = splitNode(shards, key, "", 0, members)
	}
	slices.SortFunc(shards, func(a, b Shard) int { return strings.Compare(a.id, b.id) })
	return shards
}

func splitNode(shards []Shard, key, path string, depth int, groups []Group) []Shard {
	if len(groups) == 0 {
		return shards
	}
	if len(groups) <= maxShardGroups || depth == 64 {
		return append(shards, Shard{id: key + "#" + strings.TrimRight(path, "0"), groups: groups})
	}
	var halves [2][]Group
	for _, g := range groups {
		bit := xxhash.Sum64String(g.ID) >> (63 - depth) & 1
		halves[bit] = append(halves[bit], g)
	}
	shards = splitNode(shards, key, path+"0", depth+1, halves[0])
	return splitNode(shards, key, path+"1", depth+1, halves[1])
}

// Package rudderrouter assigns groups to shards and shards to owners, chooses the shard for each request, and
// keeps hints about which group has cached which prompt prefix. It does no I/O.
package rudderrouter

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/shared/rudderconfig"
)

// Group is a group that may serve now or is draining, as described by the fleet view.
type Group struct {
	ID           string
	Selector     string
	Firm         string
	Model        string
	ModelVersion string
	Service      string
	// Workspaces and Classes that the group serves; empty means all.
	Workspaces []string
	Classes    []rudderconfig.WorkClass
	DataCentre string
	Region     string
	Slots      int
	// ShortShare is the share of the slots that is reserved for short work; nil takes the preset's.
	ShortShare *float64
	// Leader is the address of the member that takes the group's requests.
	Leader   string
	Draining bool
	// Unconfirmed marks a group whose members' confirmations are not known on this entry host. The shard's
	// owner, which follows them, may grant it. This entry host gives it no work before it has asked the
	// members.
	Unconfirmed bool
	// Load is the number of running and waiting requests that the engine reported at LoadAtUnixMS, in
	// milliseconds since the Unix epoch; 0 means that there is no report.
	Load         int
	LoadAtUnixMS int64
}

// Requirements are what a request requires of a group.
type Requirements struct {
	Firm      string
	Model     string
	Version   string // empty takes any version
	Service   string
	Workspace string
	Class     rudderconfig.WorkClass
}

// Serves reports whether the group serves the request.
func (g Group) Serves(w Requirements) bool {
	return g.Firm == w.Firm && g.Model == w.Model && g.Service == w.Service &&
		(w.Version == "" || g.ModelVersion == w.Version) &&
		(len(g.Workspaces) == 0 || slices.Contains(g.Workspaces, w.Workspace)) &&
		(len(g.Classes) == 0 || slices.Contains(g.Classes, w.Class))
}

// servingKey is equal for groups that serve the same work in the same region. A shard may span the data
// centres of a region, because they are at most a millisecond apart.
func (g Group) servingKey() string {
	workspaces, classes := slices.Clone(g.Workspaces), slices.Clone(g.Classes)
	slices.Sort(workspaces)
	slices.Sort(classes)
	key := fmt.Sprintf("%s|%s|%s|%s|%s|%s|%v", g.Region, g.Firm, g.Model, g.ModelVersion, g.Service,
		strings.Join(workspaces, ","), classes)
	// The key is sent with each admission call, so it is hashed to keep it short.
	return fmt.Sprintf("%016x", xxhash.Sum64String(key))
}

// maxShardGroups is the size above which a shard is split. Halves of 7 have 3 or 4 groups, and the average
// size between splits is about 4.
const maxShardGroups = 6

// maxSingleShardGroups is the number of groups with the same serving key up to which they form a single
// shard. A firm of today's size has about 8 groups of 16 slots. One shard needs fewer slots reserved for
// short work than two: with two, 2 to 3 times as much long work was not served.
const maxSingleShardGroups = 8

// Shard is a set of groups to which one owner admits work.
type Shard struct {
	id     string
	groups []Group
}

// ID returns the shard's ID, which is the same at each entry host that sees the same groups.
func (s Shard) ID() string { return s.id }

// Groups returns the groups of the shard, ordered by ID.
func (s Shard) Groups() []Group { return s.groups }

// Slots returns the total number of slots of the groups that take new work.
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

// BuildShards divides groups into shards. Groups with the same serving key are the leaves of a binary trie
// over the hashes of their IDs; a node with at most maxShardGroups groups is a shard. A group that is added
// or removed changes one shard, or splits or joins one pair. The lower half of a split keeps the shard's ID
// and therefore its owner.
func BuildShards(groups []Group) []Shard {
	kinds := map[string][]Group{}
	for _, g := range groups {
		key := g.servingKey()
		kinds[key] = append(kinds[key], g)
	}
	var shards []Shard
	for key, members := range kinds {
		slices.SortFunc(members, func(a, b Group) int { return strings.Compare(a.ID, b.ID) })
		if len(members) <= maxSingleShardGroups {
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

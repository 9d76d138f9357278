package ruddermember

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// RegistryKey is the key of the member registry in the key-value service.
const RegistryKey = "control/members"

// Registry is the list of entry hosts, stored as JSON under RegistryKey.
//
// A change is committed only after a majority of Base and a majority of Members have acknowledged it. Until
// then a quorum needs a majority of both lists (joint consensus), so that hosts which know different versions
// of the registry cannot form two majorities that do not overlap.
type Registry struct {
	// Version is incremented by each write.
	Version int64    `json:"version"`
	Members []Member `json:"members"`
	// Base lists the members of the last committed version while a change is uncommitted.
	Base        []string `json:"base,omitempty"`
	Uncommitted bool     `json:"uncommitted,omitempty"`
}

// ErrRegistryInvalid reports a registry value that cannot be decoded.
var ErrRegistryInvalid = errors.New("member registry: value cannot be decoded")

// ParseRegistry decodes a registry value; an empty value is a registry without members.
func ParseRegistry(raw []byte) (Registry, error) {
	var r Registry
	if len(raw) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(raw, &r); err != nil {
		return Registry{}, fmt.Errorf("%w: %w", ErrRegistryInvalid, err)
	}
	r.sortMembers()
	return r, nil
}

// Encode returns the JSON value of the registry.
func (r Registry) Encode() []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return raw
}

func (r *Registry) sortMembers() {
	sort.Slice(r.Members, func(i, j int) bool { return r.Members[i].Name < r.Members[j].Name })
}

// Member returns the member with the given name, or false if it is not listed.
func (r Registry) Member(name string) (Member, bool) {
	i, found := sort.Find(len(r.Members), func(i int) int { return strings.Compare(name, r.Members[i].Name) })
	if !found {
		return Member{}, false
	}
	return r.Members[i], true
}

// With returns the registry with a member added or replaced, and reports whether that changes it.
func (r Registry) With(m Member) (Registry, bool) {
	if old, found := r.Member(m.Name); found && old == m {
		return r, false
	}
	changed := r.nextUncommitted()
	changed.Members = slices.DeleteFunc(changed.Members, func(o Member) bool { return o.Name == m.Name })
	changed.Members = append(changed.Members, m)
	changed.sortMembers()
	return changed, true
}

// Without returns the registry without the named members, and reports whether that changes it.
func (r Registry) Without(names ...string) (Registry, bool) {
	changed := r.nextUncommitted()
	changed.Members = slices.DeleteFunc(changed.Members, func(o Member) bool { return slices.Contains(names, o.Name) })
	if len(changed.Members) == len(r.Members) {
		return r, false
	}
	return changed, true
}

// Committed returns the next version of the registry, which commits the current members.
func (r Registry) Committed() Registry {
	return Registry{Version: r.Version + 1, Members: slices.Clone(r.Members)}
}

func (r Registry) nextUncommitted() Registry {
	c := Registry{Version: r.Version + 1, Members: slices.Clone(r.Members), Base: slices.Clone(r.Base), Uncommitted: true}
	if !r.Uncommitted {
		c.Base = r.names()
	}
	return c
}

func (r Registry) names() []string {
	names := make([]string, len(r.Members))
	for i, m := range r.Members {
		names[i] = m.Name
	}
	return names
}

// Quorum reports whether a set of member names is a majority of Members and, while the registry is
// uncommitted, also of Base. An empty Base needs no majority.
func (r Registry) Quorum(set map[string]bool) bool {
	count := 0
	for _, m := range r.Members {
		if set[m.Name] {
			count++
		}
	}
	if 2*count <= len(r.Members) {
		return false
	}
	if !r.Uncommitted || len(r.Base) == 0 {
		return true
	}
	count = 0
	for _, name := range r.Base {
		if set[name] {
			count++
		}
	}
	return 2*count > len(r.Base)
}

// Admits reports whether a member may serve: a committed registry lists it, so every majority knows of it. A
// change of the configuration waits for its acknowledgement or for the end of its permit.
func (r Registry) Admits(name string) bool {
	if r.Uncommitted {
		return slices.Contains(r.Base, name)
	}
	_, listed := r.Member(name)
	return listed
}

// Names returns the names of the members of the registry and of its last committed version, sorted.
func (r Registry) Names() []string {
	names := append(r.names(), r.Base...)
	slices.Sort(names)
	return slices.Compact(names)
}

// orderHash is a hash of the member names in order. Two hosts with the same hash can refer to a member by its
// position.
func (r Registry) orderHash() uint32 {
	h := xxhash.New()
	for _, m := range r.Members {
		_, _ = h.WriteString(m.Name)
		_, _ = h.Write([]byte{0})
	}
	return uint32(h.Sum64())
}

// memberID is a hash of a member's name that stands for it in digests.
func memberID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

package ruddermember

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func registryOf(names ...string) Registry {
	var r Registry
	for _, name := range names {
		r, _ = r.With(Member{Name: name, PeerAddress: name})
	}
	return r.Committed()
}

// Guards against two hosts with consecutive registry versions that form majorities without a common member,
// which would let two configuration versions be in force.
func TestMajoritiesOfNeighbouringVersionsOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := make([]string, 8)
		for i := range names {
			names[i] = fmt.Sprintf("m%d", i)
		}
		base := registryOf(names[:rapid.IntRange(1, 6).Draw(t, "size")]...)
		versions := []Registry{base}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			last := versions[len(versions)-1]
			m := Member{Name: rapid.SampledFrom(names).Draw(t, "name")}
			next, changed := last.Without(m.Name)
			if !changed {
				next, _ = last.With(m)
			}
			if len(next.Members) > 0 {
				versions = append(versions, next)
			}
		}
		// Any two versions between commits, or the last one and its commit.
		a := rapid.SampledFrom(versions).Draw(t, "a")
		b := rapid.SampledFrom(versions).Draw(t, "b")
		if rapid.Bool().Draw(t, "commit") {
			a = versions[len(versions)-1]
			b = a.Committed()
		}
		mask := rapid.IntRange(0, 255).Draw(t, "set")
		one, other := map[string]bool{}, map[string]bool{}
		for i, name := range names {
			one[name], other[name] = mask>>i&1 == 1, mask>>i&1 == 0
		}
		if a.Uncommitted && !b.Uncommitted && a.Version+1 != b.Version {
			return // not adjacent: a commit rests on the acknowledgements of the version just before it
		}
		if a.Quorum(one) && b.Quorum(other) {
			t.Fatalf("%v is a majority of %+v and its complement one of %+v", one, a, b)
		}
	})
}

// Guards against changes of the registry that lose members, and against admitting a host that no majority
// knows of.
func TestRegistryChanges(t *testing.T) {
	r := registryOf("b", "a")
	r, changed := r.With(Member{Name: "c"})
	require.True(t, changed)
	require.True(t, r.Uncommitted)
	require.Equal(t, []string{"a", "b"}, r.Base)
	require.False(t, r.Admits("c"))
	require.True(t, r.Admits("a"))
	_, changed = r.With(Member{Name: "c"})
	require.False(t, changed)
	r, _ = r.Without("a")
	require.Equal(t, []string{"a", "b", "c"}, r.Names(), "a removed member counts until the commit")
	parsed, err := ParseRegistry(r.Encode())
	require.NoError(t, err)
	require.Equal(t, r, parsed)
	r = r.Committed()
	require.True(t, r.Admits("c"))
	require.False(t, r.Admits("a"))
	_, err = ParseRegistry([]byte("{"))
	require.ErrorIs(t, err, ErrRegistryInvalid)
}

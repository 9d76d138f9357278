package rudderrouter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddertarget"
)

func groups(n int) []Group {
	var all []Group
	for i := range n {
		all = append(all, Group{
			ID: fmt.Sprintf("dom%d-%d-%d", i%30, i, i), Firm: "umuvumu", Model: "m", Slots: 8,
			Region: "kigali", DataCentre: fmt.Sprint("kgl-", i%3),
		})
	}
	return all
}

// Guards against a change of one group that moves many groups between shards, and against shards whose mean
// size is far from four groups.
func TestSplitIsStable(t *testing.T) {
	all := groups(91)
	place := func(gs []Group) map[string]string {
		where := map[string]string{}
		for _, s := range BuildShards(gs) {
			require.LessOrEqual(t, len(s.Groups()), maxShardGroups)
			for _, g := range s.Groups() {
				where[g.ID] = s.ID()
			}
		}
		return where
	}
	require.InDelta(t, 91/4.0, len(BuildShards(all)), 6)
	before, moved := place(all), 0
	for i := range all {
		after := place(append(append([]Group{}, all[:i]...), all[i+1:]...))
		for id, shard := range after {
			if before[id] != shard {
				moved++
			}
		}
	}
	require.LessOrEqual(t, float64(moved)/91, 1.0, "mean number of groups moved by one removal")
}

// Guards against one shard for groups that serve different work, and against choosing groups that do not
// serve the request.
func TestSplitSeparatesWork(t *testing.T) {
	all := groups(2)
	all[1].Workspaces, all[1].Classes = []string{"w1"}, []rudderconfig.WorkClass{rudderconfig.ClassLong}
	shards := BuildShards(all)
	require.Len(t, shards, 2)
	served := 0
	for _, s := range shards {
		if s.Serves(Requirements{Firm: "umuvumu", Model: "m", Workspace: "w2"}) {
			served++
		}
	}
	require.Equal(t, 1, served)
}

// Guards against an owner in another data centre or region while a nearer member is alive.
func TestOwnersAreNear(t *testing.T) {
	var members []ruddermember.Member
	for i := range 9 {
		members = append(members, ruddermember.Member{
			Name: fmt.Sprint("e", i), Region: []string{"kigali", "laurentie"}[i%2], DataCentre: fmt.Sprint("kgl-", i%5),
		})
	}
	shard := Shard{id: "s", groups: groups(1)}
	ranked := RankOwners([]Shard{shard}, members)["s"]
	require.Len(t, ranked, 9)
	require.Equal(t, "kgl-0", ranked[0].DataCentre)
	require.Equal(t, "kgl-0", ranked[1].DataCentre)
	require.Equal(t, "kigali", ranked[2].Region)
}

// Guards against a member that owns more shards than its share, against a second member in the ranking that
// does not become the next owner, and against a death that moves many shards.
func TestOwnersAreBounded(t *testing.T) {
	var members []ruddermember.Member
	for i := range 60 {
		members = append(members, ruddermember.Member{Name: fmt.Sprint("e", i), Region: "kigali", DataCentre: fmt.Sprint("kgl-", i%3)})
	}
	shards := BuildShards(groups(91))
	owners := RankOwners(shards, members)
	owned, moved := map[string]int{}, 0
	for _, ranked := range owners {
		owned[ranked[0].Name]++
		require.Len(t, ranked, len(members))
	}
	for name, n := range owned {
		require.Equal(t, 1, n, "shards of %s", name)
	}
	for i, m := range members {
		rest := RankOwners(shards, slices.Delete(slices.Clone(members), i, i+1))
		for id, ranked := range owners {
			switch {
			case ranked[0].Name == m.Name:
				require.Equal(t, ranked[1].Name, rest[id][0].Name, "the second in rank takes over")
			case ranked[0].Name != rest[id][0].Name:
				moved++
			}
		}
	}
	require.LessOrEqual(t, float64(moved)/float64(len(members)), 1.0, "mean number of other shards moved by one death")
	few := RankOwners(shards, members[:2])
	require.Len(t, few, len(shards), "each shard has an owner when members are few")
}

// Guards against overloading the shard of a frequent prefix: affinity ends at the load bound.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	shards := BuildShards(groups(24))
	hints := NewHints(0)
	blocks := PrefixBlocks(strings.Repeat("season ledger ", 50))
	hot := shards[2]
	hints.RecordPlacement(hot.Groups()[0].ID, blocks)
	c := &Chooser{Rand: rand.New(rand.NewPCG(1, 2)), Hints: hints}
	candidates := make([]Candidate, len(shards))
	for i, s := range shards {
		candidates[i] = Candidate{Shard: s, Load: 0.5, SameRegion: true}
	}
	require.Equal(t, 2, c.Choose(candidates, blocks))
	candidates[2].Load = 0.9
	for range 50 {
		require.NotEqual(t, 2, c.Choose(candidates, blocks))
	}
	require.Equal(t, -1, c.Choose(nil, blocks))
}

// Guards against hints that grow without bound, or that are trusted after a gap in the group's cache events.
func TestHintsForgetAndDoubt(t *testing.T) {
	h := NewHints(10)
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	h.SetTime(now)
	for i := range 100 {
		h.RecordPlacement("g", []uint32{uint32(i)})
	}
	require.Equal(t, 10, h.Len())
	require.Equal(t, 1.0, h.Match([]uint32{1, 99})["g"])
	h.SetTime(now.Add(10 * time.Second))
	h.ApplyCacheEvents("g", []ruddertarget.CacheEvent{{Seq: 4, Block: 99}, {Seq: 5, Block: 7, Stored: true}})
	require.Empty(t, h.Match([]uint32{99}), "evicted")
	require.NotEmpty(t, h.Match([]uint32{98}))
	h.ApplyCacheEvents("g", []ruddertarget.CacheEvent{{Seq: 9, Block: 8, Stored: true}})
	h.SetTime(now.Add(2 * time.Minute))
	require.Empty(t, h.Match([]uint32{98}), "old hints expire sooner after a gap in the events")
}

// Guards against hashes that differ from the engine's, which hashes the prompt up to the end of a block.
func TestPrefixBlocks(t *testing.T) {
	prompt := strings.Repeat("x", 64*100)
	blocks := PrefixBlocks(prompt)
	require.Equal(t, blocks[:3], PrefixBlocks(prompt[:64*3+10]))
	require.LessOrEqual(t, len(PrefixBlocks(strings.Repeat("y", 1<<20))), maxSampledBlocks)
	require.Empty(t, PrefixBlocks("short"))
}

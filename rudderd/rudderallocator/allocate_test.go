package rudderallocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderhost"
)

func fleetHosts(perDomain ...int) []rudderhost.Host {
	var out []rudderhost.Host
	for d, n := range perDomain {
		for i := range n {
			out = append(out, rudderhost.Host{Name: fmt.Sprintf("d%d-h%02d", d, i), Kind: rudderhost.KindEngine,
				FabricDomain: fmt.Sprintf("d%d", d), State: rudderhost.StateLive})
		}
	}
	return out
}

// Guards against leaving hosts unused that another allocation would use.
func TestAllocate(t *testing.T) {
	tests := []struct {
		name      string
		hosts     []int
		selectors []rudderconfig.Selector
		totals    map[string]int
		stranded  int
	}{
		{"remainder only", []int{10, 9}, []rudderconfig.Selector{model("a", 4, 0, 0)}, map[string]int{"a": 4}, 3},
		{"wanted first", []int{8}, []rudderconfig.Selector{model("a", 2, 0, 0), model("b", 6, 1, 0)}, map[string]int{"a": 1, "b": 1}, 0},
		{"leaves room for the larger group", []int{8, 3}, []rudderconfig.Selector{model("a", 3, 1, 9), model("b", 8, 1, 0)}, map[string]int{"a": 1, "b": 1}, 0},
		{"mixes equal priorities", []int{11}, []rudderconfig.Selector{model("a", 8, 0, 0), model("b", 3, 0, 0)}, map[string]int{"a": 1, "b": 1}, 0},
		{"a higher priority comes before a better mix", []int{12}, []rudderconfig.Selector{model("a", 8, 0, 1), model("b", 3, 0, 0)}, map[string]int{"a": 1, "b": 1}, 1},
		{"moves a group to use more hosts", []int{7, 8}, []rudderconfig.Selector{model("a", 4, 1, 1), model("b", 3, 0, 0)}, map[string]int{"a": 1, "b": 3}, 2},
		{"too few hosts", []int{7, 7}, []rudderconfig.Selector{model("a", 8, 1, 0)}, map[string]int{"a": 0}, 14},
	}
	for _, tt := range tests {
		a := Allocate(AllocationInput{Now: start, Config: &rudderconfig.Document{Selectors: tt.selectors}, Hosts: fleetHosts(tt.hosts...)})
		for s, n := range tt.totals {
			require.Equal(t, n, a.Total(s), "%s: groups of %s", tt.name, s)
		}
		require.Equal(t, tt.stranded, a.StrandedTotal(), tt.name)
	}
}

// Guards against groups in an unreachable domain, against groups that are lost with it instead of moving to
// other domains, and against moves between the domains that remain.
func TestUnreachableDomainsGroupsMove(t *testing.T) {
	in := AllocationInput{Now: start, Config: &rudderconfig.Document{Selectors: []rudderconfig.Selector{model("a", 8, 6, 0)}},
		Hosts: fleetHosts(24, 24, 24), Down: map[string]bool{}}
	before := Allocate(in).Selector("a")
	for _, h := range in.Hosts {
		in.Down[h.Name] = h.FabricDomain == "d1"
	}
	after := Allocate(in)
	require.Equal(t, map[string]int{"d0": 2, "d1": 2, "d2": 2}, before)
	require.Equal(t, map[string]int{"d0": 3, "d2": 3}, after.Selector("a"))
	require.Zero(t, after.Missing("a"))
}

// Guards against an allocation that is worse than first fit or differs between calls with the same input. Also
// requires that the best allocation is found in more than 95 % of small random cases.
func TestAllocateAgainstBaselines(t *testing.T) {
	cases, best := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		in := AllocationInput{Now: start, Config: &rudderconfig.Document{}, Hosts: fleetHosts(rapid.SliceOfN(rapid.IntRange(0, 13), 1, 3).Draw(t, "hosts")...)}
		var names []string
		for _, s := range []string{"a", "b", "c"} {
			in.Config.Selectors = append(in.Config.Selectors, model(s, rapid.IntRange(1, 6).Draw(t, "size"), rapid.IntRange(0, 3).Draw(t, "wanted"), 0))
			names = append(names, s)
		}
		got := Allocate(in)
		require.Equal(t, got, Allocate(in))
		require.True(t, got.AsGoodAs(FirstFit(in), names))
		optimum, ok := BestPacking(in, 1e6)
		require.True(t, ok)
		require.True(t, optimum.AsGoodAs(got, names), "no allocation beats the exhaustive search")
		cases++
		if got.AsGoodAs(optimum, names) {
			best++
		}
	})
	t.Logf("best allocation found in %d of %d cases", best, cases)
	require.Greater(t, float64(best), 0.95*float64(cases))
}

// BenchmarkAllocate allocates a fleet of the design size: 30 domains, 730 hosts.
func BenchmarkAllocate(b *testing.B) {
	sizes := make([]int, 30)
	for i := range sizes {
		sizes[i] = 24 + i%2
	}
	in := AllocationInput{Now: start.Add(time.Hour), Hosts: fleetHosts(sizes...), Config: &rudderconfig.Document{Selectors: []rudderconfig.Selector{
		model("a", 8, 30, 5), model("b", 8, 20, 4), model("c", 4, 30, 3), model("d", 3, 10, 2), model("e", 8, 0, 1), model("f", 2, 0, 0)}}}
	for b.Loop() {
		Allocate(in)
	}
}

// BenchmarkSettledSecond runs one step of a planner whose domain does not change, in a fleet of the design
// size.
func BenchmarkSettledSecond(b *testing.B) {
	d := newDomain(24, model("a", 8, 0, 5), model("b", 3, 0, 1))
	d.ticks(5)
	in := AllocationInput{Now: start, Hosts: append(fleetHosts(706/2, 706/2), d.in.Hosts...), Config: d.in.Config}
	var cache AllocationCache
	for b.Loop() {
		cache.Allocate(in, d.in.Timing)
		Step(d.in)
	}
}

// Guards against groups of an evacuated data centre that are drained, moved or counted as capacity, against new groups there, and
// against a plan that does not return to the wanted groups afterwards.
func TestEvacuatedDataCentreKeepsItsGroups(t *testing.T) {
	hosts := fleetHosts(24, 24, 24)
	for i := range hosts {
		hosts[i].DataCentre = "dc-" + hosts[i].FabricDomain
	}
	both := map[string]map[string]int{"a": {"d0": 3, "d1": 2, "d2": 3}}
	tests := []struct {
		name      string
		evacuated []string
		current   map[string]map[string]int
		want      map[string]int
		total     int // outside evacuated data centres
	}{
		{"replaced elsewhere", []string{"dc-d1"}, map[string]map[string]int{"a": {"d0": 2, "d1": 2, "d2": 2}}, map[string]int{"d0": 3, "d1": 2, "d2": 3}, 6},
		{"two at once", []string{"dc-d1", "dc-d2"}, both, map[string]int{"d0": 3, "d1": 2, "d2": 3}, 3},
		{"the last one", []string{"dc-d0", "dc-d1", "dc-d2"}, both, map[string]int{"d0": 3, "d1": 2, "d2": 3}, 0},
		{"none was there", []string{"dc-d1"}, nil, map[string]int{"d0": 3, "d2": 3}, 6},
		{"restored", nil, both, map[string]int{"d0": 3, "d1": 2, "d2": 1}, 6},
	}
	for _, tt := range tests {
		config := &rudderconfig.Document{Selectors: []rudderconfig.Selector{model("a", 8, 6, 0)}, EvacuatedDataCentres: tt.evacuated}
		a := Allocate(AllocationInput{Now: start, Config: config, Hosts: hosts, Current: tt.current})
		require.Equal(t, tt.want, a.Selector("a"), tt.name)
		require.Equal(t, []int{tt.total, 6 - tt.total}, []int{a.Total("a"), a.Missing("a")}, tt.name)
	}
}

package rudderplan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

func (st *stepper) held() map[string]int {
	held := map[string]int{}
	for _, g := range st.groups {
		if g.State != ruddergroup.StateDraining {
			held[g.Selector]++
		}
	}
	return held
}

// drainSurplus drains groups above this domain's share that are older than the minimum hold: loading
// ones first, then those with the least running, then the newest.
func (st *stepper) drainSurplus() {
	held := st.held()
	for _, s := range st.selectors {
		surplus := held[s.Name] - st.in.Want[s.Name]
		if surplus <= 0 || (!st.deficit(held) && st.in.ServingTotal != nil && st.in.ServingTotal[s.Name] <= st.in.WantTotal[s.Name]) {
			continue
		}
		var own []*ruddergroup.Group
		for i := range st.groups {
			if g := &st.groups[i]; g.Selector == s.Name && g.State != ruddergroup.StateDraining {
				own = append(own, g)
			}
		}
		slices.SortStableFunc(own, func(a, b *ruddergroup.Group) int {
			return cmp.Or(-compareBool(a.State == ruddergroup.StateLoading, b.State == ruddergroup.StateLoading),
				cmp.Compare(st.running(*a), st.running(*b)), cmp.Compare(b.SinceUnixMS, a.SinceUnixMS), cmp.Compare(a.ID, b.ID))
		})
		for _, g := range own {
			if surplus == 0 {
				break
			}
			if st.in.Now.Sub(time.UnixMilli(g.SinceUnixMS)) < st.in.Timing.MinimumHold {
				continue
			}
			surplus--
			st.setState(g, ruddergroup.StateDraining, Reason{Code: CodeSurplus, Group: g.ID, Text: "more groups than this domain's share"})
		}
	}
}

// deficit reports whether a selector has fewer groups than its share of this domain.
func (st *stepper) deficit(held map[string]int) bool {
	return slices.ContainsFunc(st.selectors, func(s rudderconfig.Selector) bool { return held[s.Name] < st.in.Want[s.Name] })
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// running returns the larger of the requests reported by members and those known to shard owners.
func (st *stepper) running(g ruddergroup.Group) int {
	n := st.in.InFlight[g.ID]
	for _, m := range g.Members {
		if s := st.in.Observed[m.Host].Status; g.Service != "" || s.Role.Group == g.ID {
			n = max(n, s.Load.Running+s.Load.Waiting)
		}
	}
	return n
}

// form builds groups of the selectors below their share, in order, from free hosts.
func (st *stepper) form() {
	held := st.held()
	for _, s := range st.selectors {
		if next, closes := s.NextChange(st.in.Now); closes && next.Sub(st.in.Now) < st.in.Timing.MinimumHold {
			continue
		}
		for n := held[s.Name]; n < st.in.Want[s.Name]; n++ {
			members := st.choose(s)
			if members == nil {
				break
			}
			g := newGroup(st.in.Config, s)
			g.Members, g.SinceUnixMS = members, st.in.Now.UnixMilli()
			g.ID = fmt.Sprintf("%s.f%d.s%d.%d", st.in.Domain, st.in.Fencing, st.seq, len(st.groups))
			st.groups = append(st.groups, g)
			st.note(Reason{Code: CodeFormed, Group: g.ID, Text: "formed for selector " + s.Name})
		}
	}
}

// choose picks hosts for one group of s, or nil if too few are free. Hosts that suit the fewest other
// selectors come first, so that the shares computed by Allocate fit; then hosts with the weights;
// then hosts that were together, so that leftovers of one broken group stay together.
func (st *stepper) choose(s rudderconfig.Selector) []ruddergroup.Member {
	want := newGroup(st.in.Config, s)
	type candidate struct {
		host        rudderhost.Host
		o           Observation
		flexibility int
		weights     bool
	}
	var free []candidate
	for _, h := range st.in.Hosts {
		o := st.in.Observed[h.Name]
		if !st.hosts.fits(s, h.Name) || !st.free(h, o) {
			continue
		}
		c := candidate{host: h, o: o}
		c.weights = s.Service != "" || slices.Contains(o.Status.Weights, weightsName(want.Model, want.ModelVersion))
		c.flexibility = st.hosts.flexibility(st.selectors, h.Name)
		free = append(free, c)
	}
	if len(free) < groupSize(s) {
		return nil
	}
	slices.SortFunc(free, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.flexibility, b.flexibility), compareBool(st.slow[a.host.Name], st.slow[b.host.Name]),
			-compareBool(a.weights, b.weights),
			cmp.Compare(b.o.Status.Role.Group, a.o.Status.Role.Group), cmp.Compare(a.o.Status.Role.Rank, b.o.Status.Role.Rank),
			cmp.Compare(a.host.Name, b.host.Name))
	})
	var members []ruddergroup.Member
	for _, c := range free[:groupSize(s)] {
		members = append(members, ruddergroup.Member{Host: c.host.Name, Address: c.host.Address, Incarnation: c.o.Status.Incarnation})
	}
	return members
}

// free reports whether a host can join a new group now: it is in no group, it answers, it stays, and
// nothing runs on it under an older role that is still whole.
func (st *stepper) free(h rudderhost.Host, o Observation) bool {
	if st.hosts.departing(h.Name) != "" || !o.fresh(st.in.Timing) || o.Dead(st.in.Timing) || o.Status.Leaving {
		return false
	}
	for _, g := range st.groups {
		if slices.ContainsFunc(g.Members, func(m ruddergroup.Member) bool { return m.Host == h.Name }) {
			return false
		}
	}
	return !busyWhole(st.in, o.Status.Role)
}

// busyWhole reports whether all members of a role that no plan lists still report it and something
// runs there. Such a group may be finishing requests of a plan that was lost.
func busyWhole(in Input, role ruddertarget.Role) bool {
	if role.Group == "" {
		return false
	}
	members, running := 0, 0
	for _, h := range in.Hosts {
		if o := in.Observed[h.Name]; o.fresh(in.Timing) && o.Status.Role.Group == role.Group {
			members++
			running += o.Status.Load.Running + o.Status.Load.Waiting
		}
	}
	return members >= role.Size && running > 0
}

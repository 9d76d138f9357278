package rudderallocator

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

// currentGroups counts the groups of each selector that are not draining.
func (st *stepper) currentGroups() map[string]int {
	current := map[string]int{}
	for _, g := range st.groups {
		if g.State != ruddergroup.StateDraining {
			current[g.Selector]++
		}
	}
	return current
}

// drainSurplus drains groups in excess of this domain's allocation that are older than MinimumHold: loading
// ones first, then those with the fewest requests, then the newest. While no selector lacks groups here, a
// surplus group is kept until the whole fleet has more serving groups than it wants, so that its successor in
// another domain serves first.
func (st *stepper) drainSurplus() {
	current := st.currentGroups()
	for _, s := range st.selectors {
		surplus := current[s.Name] - st.in.Want[s.Name]
		if surplus <= 0 || (!st.deficit(current) && st.in.ServingTotal != nil && st.in.ServingTotal[s.Name] <= st.in.WantTotal[s.Name]) {
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

// deficit reports whether any selector has fewer groups than this domain's allocation.
func (st *stepper) deficit(current map[string]int) bool {
	return slices.ContainsFunc(st.selectors, func(s rudderconfig.Selector) bool { return current[s.Name] < st.in.Want[s.Name] })
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

// running returns the number of requests of a group: the larger of the shard owners' count and the highest
// count that a member reports.
func (st *stepper) running(g ruddergroup.Group) int {
	n := st.in.InFlight[g.ID]
	for _, m := range g.Members {
		if s := st.in.Observed[m.Host].Status; g.Service != "" || s.Role.Group == g.ID {
			n = max(n, s.Load.Running+s.Load.Waiting)
		}
	}
	return n
}

// form creates groups from free hosts for selectors below their allocation, in selector order. It skips
// selectors whose window closes within MinimumHold.
func (st *stepper) form() {
	current := st.currentGroups()
	for _, s := range st.selectors {
		if next, closes := s.NextChange(st.in.Now); closes && next.Sub(st.in.Now) < st.in.Timing.MinimumHold {
			continue
		}
		for n := current[s.Name]; n < st.in.Want[s.Name]; n++ {
			members := st.chooseMembers(s)
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

// chooseMembers picks hosts for one group of s, or returns nil if too few are free. Hosts that fit the fewest
// selectors come first, so that the numbers computed by Allocate can be reached. Next come hosts that did not
// time out while loading, hosts that have the weights, and hosts that report the same group, so that the
// survivors of a broken group stay together.
func (st *stepper) chooseMembers(s rudderconfig.Selector) []ruddergroup.Member {
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
		return cmp.Or(cmp.Compare(a.flexibility, b.flexibility), compareBool(st.timedOut[a.host.Name], st.timedOut[b.host.Name]),
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

// free reports whether a host can join a new group now: it is in no group, it answered the last poll, it is not leaving,
// and it does not belong to an unlisted group that is still running.
func (st *stepper) free(h rudderhost.Host, o Observation) bool {
	if st.hosts.drainReason(h.Name) != "" || !o.fresh(st.in.Timing) || o.Missed > 0 || o.Status.Leaving {
		return false
	}
	for _, g := range st.groups {
		if slices.ContainsFunc(g.Members, func(m ruddergroup.Member) bool { return m.Host == h.Name }) {
			return false
		}
	}
	return !stillRunning(st.in, o.Status.Role)
}

// stillRunning reports whether a group that no plan lists is complete and has requests: every member still
// reports the role. It may be finishing the requests of a plan that was lost.
func stillRunning(in Input, role ruddertarget.Role) bool {
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

package rudderallocator

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// intact reports whether every member of a group is up and has its planned role.
func (d *domain) intact(g ruddergroup.Group) bool {
	for rank, m := range g.Members {
		s := d.targets[m.Host]
		if d.silent[m.Host] || s.Incarnation != m.Incarnation || s.Role.Group != g.ID || s.Role.Rank != rank {
			return false
		}
	}
	return true
}

// check asserts the invariants of a step. before is the state of the targets that the step saw.
func (d *domain) check(t *rapid.T, old ruddergroup.Plan, before map[string]ruddertarget.Status) {
	used := map[string]string{}
	for _, g := range append(slices.Clone(old.Groups), d.in.Plan.Groups...) {
		d.formed[g.ID] = g
	}
	for _, g := range d.in.Plan.Groups {
		for rank, m := range g.Members {
			require.Empty(t, used[m.Host], "%s is in two groups", m.Host)
			used[m.Host] = g.ID
			require.Contains(t, d.targets, m.Host)
			if d.last.Changed && g.State == ruddergroup.StateServing && g.SinceUnixMS == d.in.Now.UnixMilli() {
				require.True(t, confirms(g, rank, before[m.Host]), "%s serves without confirmation by %s", g.ID, m.Host)
			}
		}
	}
	for _, o := range d.orders {
		s := before[o.Host]
		require.Equal(t, d.in.Plan.Seq, o.Order.PlanSeq)
		if o.Order.Kind == ruddertarget.OrderPreload || s.Role.Group == "" {
			continue
		}
		g, planned := d.formed[s.Role.Group]
		if planned && d.intact(g) {
			require.Zero(t, before[g.Members[0].Host].Load.Running, "%s of %s cuts requests of %s", o.Order.Kind, o.Host, g.ID)
		}
	}
}

// step runs one tick and checks its invariants.
func (d *domain) step(t *rapid.T) {
	old, before := d.in.Plan, map[string]ruddertarget.Status{}
	for name, s := range d.targets {
		before[name] = *s
	}
	d.decide()
	d.check(t, old, before)
	for _, o := range d.orders {
		d.apply(o)
	}
}

// Guards against a host in two groups, incomplete groups, a release or a new role that cuts running
// requests, serving without confirmation, and hosts left over although a group could be formed.
func TestStepProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(4, 14).Draw(t, "hosts")
		d := newDomain(hosts, model("a", rapid.IntRange(1, 4).Draw(t, "a"), rapid.IntRange(0, 2).Draw(t, "wanted"), 1), model("b", rapid.IntRange(1, 5).Draw(t, "b"), 0, 0))
		host := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("h%02d", rapid.IntRange(0, hosts-1).Draw(t, "host")) })
		selector := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"tick":    func(t *rapid.T) { d.step(t) },
			"ticks":   func(t *rapid.T) { d.repeat(t, 8) },
			"silence": func(t *rapid.T) { d.silent[host.Draw(t, "h")] = true },
			"return":  func(t *rapid.T) { d.silent[host.Draw(t, "h")] = false },
			"restart": func(t *rapid.T) {
				s := d.targets[host.Draw(t, "h")]
				n, _ := strconv.Atoi(s.Incarnation)
				*s = ruddertarget.Status{Host: s.Host, Incarnation: strconv.Itoa(n + 1), Phase: ruddertarget.PhaseIdle}
			},
			"lose role": func(t *rapid.T) {
				s := d.targets[host.Draw(t, "h")]
				s.Role, s.Phase, s.Load.Running = ruddertarget.Role{}, ruddertarget.PhaseIdle, 0
			},
			"request": func(t *rapid.T) {
				for _, g := range d.in.Plan.Groups {
					if g.State == ruddergroup.StateServing && d.intact(g) {
						d.targets[g.Members[0].Host].Load.Running = rapid.IntRange(0, 2).Draw(t, "running")
					}
				}
			},
			"drain": func(t *rapid.T) {
				h := &d.in.Hosts[rapid.IntRange(0, hosts-1).Draw(t, "i")]
				h.State = rapid.SampledFrom([]rudderhost.State{rudderhost.StateLive, rudderhost.StateLeaving}).Draw(t, "state")
			},
			"older plan": func(t *rapid.T) { // the platform was restored and no entry host knows the newer plan
				if n := len(d.in.Plan.Groups); n > 0 {
					d.in.Plan.Groups = d.in.Plan.Groups[:rapid.IntRange(0, n-1).Draw(t, "n")]
				}
			},
			"resize": func(t *rapid.T) {
				d.in.Config.Selectors[selector.Draw(t, "s")].GroupSize = rapid.IntRange(1, 5).Draw(t, "size")
			},
			"want": func(t *rapid.T) { d.in.Config.Selectors[0].WantedGroups = rapid.IntRange(0, 3).Draw(t, "n") },
			"version": func(t *rapid.T) {
				d.in.Config.Selectors[selector.Draw(t, "s")].Model = rapid.SampledFrom([]string{"m", "n"}).Draw(t, "m")
			},
		})
		d.settle(t)
	})
}

func (d *domain) repeat(t *rapid.T, n int) {
	for range n {
		d.step(t)
	}
}

// settle ends all requests, runs the domain until its plan no longer changes, and compares it with the
// allocation.
func (d *domain) settle(t *rapid.T) {
	for _, s := range d.targets {
		s.Load.Running = 0
	}
	d.repeat(t, d.in.Timing.DeadAfterMisses)
	if DomainUnreachable(d.in.Hosts, d.in.Observed, d.in.Timing) {
		kept := d.in.Plan
		d.repeat(t, 100)
		require.Equal(t, kept, d.in.Plan, "the plan of an unreachable domain stays")
		clear(d.silent) // the comparison below needs hosts that answer
	}
	d.repeat(t, 400)
	require.False(t, d.last.Changed, "the plan keeps changing: %v", d.last.Reasons)
	down := map[string]bool{}
	for h, o := range d.in.Observed {
		down[h] = o.Dead(d.in.Timing)
	}
	a := Allocate(AllocationInput{Now: d.in.Now, Config: d.in.Config, Hosts: d.in.Hosts, Down: down})
	free := 0
	for _, h := range d.in.Hosts {
		if !down[h.Name] && h.State == rudderhost.StateLive {
			free++
		}
	}
	for _, g := range d.in.Plan.Groups {
		require.Equal(t, ruddergroup.StateServing, g.State)
		free -= len(g.Members)
	}
	require.LessOrEqual(t, free, a.Stranded("d1"), "more hosts stranded than in the allocation")
}

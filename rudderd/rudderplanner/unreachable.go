package rudderplanner

import (
	"context"
	"slices"

	"comfreyrudder.example/rudderd/rudderplan"
	"comfreyrudder.example/shared/ruddergroup"
)

// unreachable returns the hosts to list as silent in the plan. A host that the previous holder listed stays on
// the list until it answers this one, so that a change of the holder does not make it look live.
func (w *worker) unreachable() []string {
	var out []string
	for host, o := range w.observations {
		answered := o.known && o.missed == 0
		if o.missed >= w.p.Timing.DeadAfterMisses || !answered && slices.Contains(w.known.Unresponsive, host) {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// writeUnreachable lists the hosts of an unreachable domain as silent in its plan, so that other domains get
// its share of the groups. The planned groups stay.
func (w *worker) writeUnreachable(ctx context.Context) error {
	unreachable := w.unreachable()
	if slices.Equal(unreachable, w.known.Unresponsive) {
		return nil
	}
	plan := w.known
	plan.Domain, plan.Seq, plan.Fencing, plan.Planner = w.domain, plan.Seq+1, w.lease.fencing, w.p.Name
	plan.Unresponsive = unreachable
	return w.write(ctx, plan)
}

// currentGroups counts the groups of all known plans, so that the allocation keeps them where they are.
func (w *worker) currentGroups() map[string]map[string]int {
	plans := []ruddergroup.Plan{w.known}
	for _, domain := range w.p.domains() {
		if w.p.KnownPlan == nil || domain == w.domain {
			continue
		}
		if plan, ok := w.p.KnownPlan(domain); ok {
			plans = append(plans, plan)
		}
	}
	return rudderplan.CurrentGroups(plans)
}

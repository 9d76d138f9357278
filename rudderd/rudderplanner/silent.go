package rudderplanner

import (
	"context"
	"slices"

	"comfreyrudder.example/rudderd/rudderplan"
	"comfreyrudder.example/shared/ruddergroup"
)

// silent lists the hosts that the plan names as not answering. A host that was named by an earlier
// holder stays until it answers this one, so that a change of the planner does not name it as live.
func (w *worker) silent() []string {
	var out []string
	for host, o := range w.observed {
		answered := o.known && o.missed == 0
		if o.missed >= w.p.Timing.DeadAfterMisses || !answered && slices.Contains(w.known.Silent, host) {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// writeSilent names the hosts of a dark domain in its plan, so that other domains take its share. The
// groups stay as they are.
func (w *worker) writeSilent(ctx context.Context) error {
	silent := w.silent()
	if slices.Equal(silent, w.known.Silent) {
		return nil
	}
	plan := w.known
	plan.Domain, plan.Seq, plan.Fencing, plan.Planner = w.domain, plan.Seq+1, w.lease.fencing, w.p.Name
	plan.Silent = silent
	return w.write(ctx, plan)
}

// held counts the groups of all known plans, so that the division leaves them where they are.
func (w *worker) held() map[string]map[string]int {
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

package rudderadmission

import (
	"math"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// demandTimeConstant is the time constant of the moving average of short work. It spans several short runs.
const demandTimeConstant = 30 * time.Second

// updateDemand updates the moving average of the short work that runs or is queued. It is called after each
// change of that number.
func (s *Shard) updateDemand(now time.Time) {
	if elapsed := now.Sub(s.demandAt); elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
		s.demandMean += weight * (s.demand - s.demandMean)
		s.demandAt = now
	}
	s.demand = float64(s.shortDemand())
}

func (s *Shard) shortDemand() int {
	short := 0
	for _, g := range s.groups {
		short += g.short
	}
	for _, l := range s.lanes {
		if l.class != rudderconfig.ClassLong {
			short += l.entries
		}
	}
	return short
}

// leavesHeadroom reports whether the shard keeps enough slots for the usual demand of short work when this
// work is granted. Long work cannot be interrupted, so these slots must be free before the demand arrives.
func (s *Shard) leavesHeadroom(work Work, policy Policy) bool {
	if work.Class != rudderconfig.ClassLong || policy.Headroom < 0 {
		return true
	}
	slots, long := 0, 0
	for _, g := range s.groups {
		if !g.Draining {
			slots += s.effectiveSlots(g)
			long += g.long
		}
	}
	// Long work may always have one slot, so that short work that fills the shard does not starve it. The
	// number of concurrent independent requests has a variance equal to its mean (Poisson). The measured
	// variance takes a swing in demand for noise; using it instead cost a fifth of the fleet during a swing.
	reserve := s.demandMean + policy.Headroom*math.Sqrt(s.demandMean)
	limit := max(1, slots-int(math.Ceil(reserve)))
	return long < limit
}

// Report applies an engine's report of running and waiting requests, sampled at the time at. Load in excess
// of the held slots counts as used until a later report, or until its holders register its slots.
func (s *Shard) Report(group string, load int, at time.Time) {
	for _, g := range s.groups {
		if g.ID == group {
			g.external = max(0, load-g.maxHeldAround(at))
		}
	}
}

// OverAdmitted lists the groups whose engines report more work than this owner granted. After a change of
// owner this ends when the holders have registered their slots. If it persists, another owner grants slots of
// the same groups.
func (s *Shard) OverAdmitted() []string {
	var groups []string
	for _, g := range s.groups {
		if g.external > 0 {
			groups = append(groups, g.ID)
		}
	}
	return groups
}

// QueueLength returns the number of queued requests.
func (s *Shard) QueueLength() int {
	return len(s.queued)
}

// Load returns the number of used slots and queued requests divided by the number of slots, for digests.
func (s *Shard) Load() float64 {
	used, slots := s.QueueLength(), 0
	for _, g := range s.groups {
		if !g.Draining {
			used += g.used()
			slots += s.effectiveSlots(g)
		}
	}
	return float64(used) / float64(max(1, slots))
}

// HeldCount returns the number of slots held in a group.
func (s *Shard) HeldCount(group string) int {
	for _, g := range s.groups {
		if g.ID == group {
			return g.held()
		}
	}
	return 0
}

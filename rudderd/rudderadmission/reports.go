package rudderadmission

import (
	"math"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// demandTime is the time constant of the decayed mean of short work. It spans several short runs.
const demandTime = 30 * time.Second

// noteDemand follows the mean over time of short work that runs or waits. It is
// called after each change of the number.
func (s *Shard) noteDemand(now time.Time) {
	if elapsed := now.Sub(s.demandAt); elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
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

// leavesHeadroom reports whether long work leaves enough slots of the shard for the usual demand of
// short work. Long work can't be interrupted, so the slots must be free before the demand comes.
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
	// Long work keeps one slot, so that it isn't shut out by short work that fills the shard.
	// The number of independent requests that run at a time has a variance equal to its mean. The
	// measured variance takes a swing of the demand for noise: it cost a fifth of the fleet there.
	reserve := s.demandMean + policy.Headroom*math.Sqrt(s.demandMean)
	limit := max(1, slots-int(math.Ceil(reserve)))
	return long < limit
}

// Report takes an engine's report of running and waiting requests, sampled at a time. Load that no
// held slot explains is counted as used until a later report or a re-registration explains it.
func (s *Shard) Report(group string, load int, at time.Time) {
	for _, g := range s.groups {
		if g.ID == group {
			g.external = max(0, load-g.heldAround(at))
		}
	}
}

// OverAdmitted lists the groups whose engines report more work than this owner granted. After a
// change of owner this ends when the holders have re-registered; if it persists, another owner
// grants slots of the same groups.
func (s *Shard) OverAdmitted() []string {
	var groups []string
	for _, g := range s.groups {
		if g.external > 0 {
			groups = append(groups, g.ID)
		}
	}
	return groups
}

// Waiting is the number of queued requests.
func (s *Shard) Waiting() int {
	return len(s.queued)
}

// Load is the number of used slots and queued requests over the number of slots, for digests.
func (s *Shard) Load() float64 {
	used, slots := s.Waiting(), 0
	for _, g := range s.groups {
		if !g.Draining {
			used += g.used()
			slots += s.effectiveSlots(g)
		}
	}
	return float64(used) / float64(max(1, slots))
}

// HeldCount is the number of slots held in a group.
func (s *Shard) HeldCount(group string) int {
	for _, g := range s.groups {
		if g.ID == group {
			return g.held()
		}
	}
	return 0
}

package rudderadmission

import (
	"math"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// shortPeakHalfLife is how fast the remembered peak of short work fades.
const shortPeakHalfLife = 20 * time.Second

// notePeak remembers the decayed peak of short work that runs or waits.
func (s *Shard) notePeak(now time.Time) {
	short := 0
	for _, g := range s.groups {
		short += g.short
	}
	for _, l := range s.lanes {
		if l.class != rudderconfig.ClassLong {
			short += l.entries
		}
	}
	if elapsed := now.Sub(s.shortAt); elapsed > 0 {
		s.shortPeak *= math.Exp2(-elapsed.Seconds() / shortPeakHalfLife.Seconds())
		s.shortAt = now
	}
	s.shortPeak = max(s.shortPeak, float64(short))
}

// leavesHeadroom reports whether long work leaves enough slots of the shard for the recent peak of
// short work. Long work can't be interrupted, so the slots must be free before the peak returns.
func (s *Shard) leavesHeadroom(work Work, policy Policy) bool {
	if work.Class != rudderconfig.ClassLong || policy.Headroom == 0 {
		return true
	}
	slots, long := 0, 0
	for _, g := range s.groups {
		if !g.Draining {
			slots += s.effectiveSlots(g)
			long += g.long
		}
	}
	// Long work keeps one slot, so that it isn't shut out by a peak that fills the shard.
	limit := max(1, slots-int(math.Ceil(policy.Headroom*s.shortPeak)))
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

// Renew takes a holder's whole list of held slots: known ones are renewed, unknown ones registered,
// and slots of the holder that are missing from the list and not new are freed.
func (s *Shard) Renew(now time.Time, holder string, list []Held) []Decision {
	listed := map[string]bool{}
	for _, h := range list {
		listed[h.Work.RequestID] = true
		if known := s.held[h.Work.RequestID]; known != nil {
			known.leaseEnd = now.Add(LeaseTTL)
			continue
		}
		s.register(now, h)
	}
	for id, held := range s.held {
		if held.work.Holder == holder && !listed[id] && now.Sub(held.since) > unlistedGrace {
			s.unhold(now, held)
		}
	}
	return s.dispatch(now)
}

func (s *Shard) register(now time.Time, h Held) {
	i := slices.IndexFunc(s.groups, func(g *groupState) bool { return g.ID == h.Group })
	if i < 0 {
		// The group has left the plan; its slot is kept so that the release finds it.
		s.groups = append(s.groups, &groupState{Group: Group{ID: h.Group, Draining: true}})
		i = len(s.groups) - 1
	}
	g := s.groups[i]
	s.held[h.Work.RequestID] = &slot{work: h.Work, group: g, since: h.Since, leaseEnd: now.Add(LeaseTTL)}
	g.count(h.Work.Class, 1, now)
	// The engine's report already counted this slot.
	g.external = max(0, g.external-1)
	s.notePeak(now)
}

// Waiting is the number of queued requests.
func (s *Shard) Waiting() int {
	n := 0
	for _, l := range s.lanes {
		n += l.entries
	}
	return n
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

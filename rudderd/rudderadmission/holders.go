package rudderadmission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// holderState summarises the slots that one entry host holds.
type holderState struct {
	summary     Summary
	lastContact time.Time
}

// Summary identifies a set of held slots, so that a renewal needs no list of them.
type Summary struct {
	Count int
	// Hash is the XOR of the xxhash64 of the request IDs.
	Hash uint64
}

// With returns the summary after adding a request (change 1) or removing it (change -1).
func (s Summary) With(requestID string, change int) Summary {
	return Summary{Count: s.Count + change, Hash: s.Hash ^ xxhash.Sum64String(requestID)}
}

func (s *Shard) hold(now time.Time, held *slot) {
	s.held[held.work.RequestID] = held
	holder := s.holders[held.work.Holder]
	if holder == nil {
		holder = &holderState{}
		s.holders[held.work.Holder] = holder
	}
	holder.summary = holder.summary.With(held.work.RequestID, 1)
	holder.lastContact = now
	held.group.adjustHeld(held.work.Class, 1, now)
	s.updateDemand(now)
}

func (s *Shard) removeFromHolder(work Work) {
	holder := s.holders[work.Holder]
	holder.summary = holder.summary.With(work.RequestID, -1)
	if holder.summary.Count == 0 {
		delete(s.holders, work.Holder)
	}
}

// Renew extends the lease of a holder's slots and reports whether the holder's summary matches this state. If
// not, the holder sends its list for ReconcileHeld. The lease is extended in either case, since the holder is
// alive.
func (s *Shard) Renew(now time.Time, holder string, summary Summary) bool {
	known := s.holders[holder]
	if known == nil {
		return summary.Count == 0
	}
	known.lastContact = now
	return known.summary == summary
}

// ReconcileHeld applies a holder's complete list of held slots: known slots are renewed, unknown ones
// registered, and slots of the holder that are not listed are freed once they are older than
// unlistedGracePeriod.
func (s *Shard) ReconcileHeld(now time.Time, holder string, list []HeldSlot) []Decision {
	listed := map[string]bool{}
	for _, h := range list {
		listed[h.Work.RequestID] = true
		if s.held[h.Work.RequestID] == nil {
			s.register(now, h)
		}
	}
	for id, held := range s.held {
		if held.work.Holder == holder && !listed[id] && now.Sub(held.since) > unlistedGracePeriod {
			s.releaseSlot(now, held)
		}
	}
	if known := s.holders[holder]; known != nil {
		known.lastContact = now
	}
	return s.dispatch(now)
}

func (s *Shard) register(now time.Time, h HeldSlot) {
	i := slices.IndexFunc(s.groups, func(g *groupState) bool { return g.ID == h.Group })
	if i < 0 {
		// The group is no longer in the plan. Its slot is kept so that its release is recognised.
		s.groups = append(s.groups, &groupState{Group: Group{ID: h.Group, Draining: true}})
		i = len(s.groups) - 1
	}
	g := s.groups[i]
	s.hold(now, &slot{work: h.Work, group: g, since: h.Since})
	// The engine's last report already includes this slot.
	g.external = max(0, g.external-1)
}

// ReleaseDeadHolders frees the slots of entry hosts that are not alive. Their work that still runs is counted
// through the engine's reports.
func (s *Shard) ReleaseDeadHolders(now time.Time, alive func(holder string) bool) []Decision {
	dead := map[string]bool{}
	for holder := range s.holders {
		if !alive(holder) {
			dead[holder] = true
		}
	}
	if len(dead) == 0 {
		return nil
	}
	for _, held := range s.held {
		if dead[held.work.Holder] {
			s.releaseSlot(now, held)
		}
	}
	return s.dispatch(now)
}

package rudderadmission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// holderState sums up the slots of one entry host.
type holderState struct {
	summary Summary
	heard   time.Time
}

// Summary stands for a set of held slots, so that a renewal needs no list.
type Summary struct {
	Count int
	// Hash is the XOR of the xxhash64 of the request IDs.
	Hash uint64
}

// With returns the summary with a request added, or taken out if change is -1.
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
	holder.heard = now
	held.group.count(held.work.Class, 1, now)
	s.noteDemand(now)
}

func (s *Shard) dropFromHolder(work Work) {
	holder := s.holders[work.Holder]
	holder.summary = holder.summary.With(work.RequestID, -1)
	if holder.summary.Count == 0 {
		delete(s.holders, work.Holder)
	}
}

// Renew extends the lease of a holder's slots when its summary matches the owner's state. It returns
// false when they differ: the holder then sends its list to RenewList. The lease is extended in
// either case, since the holder lives.
func (s *Shard) Renew(now time.Time, holder string, summary Summary) bool {
	known := s.holders[holder]
	if known == nil {
		return summary.Count == 0
	}
	known.heard = now
	return known.summary == summary
}

// RenewList takes a holder's whole list of held slots: known ones are renewed, unknown ones
// registered, and slots of the holder that are missing from the list and not new are freed.
func (s *Shard) RenewList(now time.Time, holder string, list []Held) []Decision {
	listed := map[string]bool{}
	for _, h := range list {
		listed[h.Work.RequestID] = true
		if s.held[h.Work.RequestID] == nil {
			s.register(now, h)
		}
	}
	for id, held := range s.held {
		if held.work.Holder == holder && !listed[id] && now.Sub(held.since) > unlistedGrace {
			s.unhold(now, held)
		}
	}
	if known := s.holders[holder]; known != nil {
		known.heard = now
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
	s.hold(now, &slot{work: h.Work, group: g, since: h.Since})
	// The engine's report already counted this slot.
	g.external = max(0, g.external-1)
}

// KeepHolders frees the slots of entry hosts that are not alive. The engine's report still counts
// work of theirs that runs on.
func (s *Shard) KeepHolders(now time.Time, alive func(holder string) bool) []Decision {
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
			s.unhold(now, held)
		}
	}
	return s.dispatch(now)
}

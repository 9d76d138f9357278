package rudderclaim

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

// load is a head that was read and the segments of it that are not in memory yet.
type load struct {
	head     Head
	revision int64
	store    int64 // store revision of the read
	missing  []SegmentRef
	loaded   map[string][]Record
}

// finishHeadRead takes the head. An absent head is an empty one.
func (s *Shard) finishHeadRead(result Result, now time.Time) []Reply {
	var head Head
	if result.Err == nil {
		decoded, err := DecodeHead(result.Entry.Value)
		if err != nil {
			return s.refuseAll()
		}
		head = decoded
	} else if !errors.Is(result.Err, rudderstore.ErrNotFound) {
		return s.refuseAll()
	}
	s.load = &load{head: head, revision: result.Entry.Revision, store: result.Revision, loaded: map[string][]Record{}}
	for _, ref := range head.Segments {
		if !slices.ContainsFunc(s.ledger.segments, func(k SegmentRef) bool { return k.Name == ref.Name }) {
			s.load.missing = append(s.load.missing, ref)
		}
	}
	s.finishLoad(now)
	return nil
}

// finishSegmentRead takes one segment. A segment that is gone was replaced by a newer head. When the
// head is still the same, the service lost it: what is in memory is written back, and a collector
// without memory of the shard refuses claims, because it cannot know which keys were used.
func (s *Shard) finishSegmentRead(result Result, now time.Time) []Reply {
	if errors.Is(result.Err, rudderstore.ErrNotFound) {
		if s.load.revision != s.missedAt {
			s.missedAt, s.phase = s.load.revision, phaseRead
			return nil
		}
		if s.ledger.seq == 0 {
			s.phase, s.retryAt = phaseRead, now.Add(s.limits.RetryAfter)
			return s.refuseAll()
		}
		s.load.drop(s.load.missing[0].Name)
		s.finishLoad(now)
		return nil
	}
	if result.Err != nil {
		s.phase = phaseRead
		return s.refuseAll()
	}
	segment, err := DecodeSegment(result.Entry.Value)
	if err != nil {
		s.phase = phaseRead
		return s.refuseAll()
	}
	s.load.loaded[s.load.missing[0].Name] = segment.expand()
	s.load.missing = s.load.missing[1:]
	s.finishLoad(now)
	return nil
}

// drop leaves out a segment that the service lost.
func (l *load) drop(name string) {
	gone := func(r SegmentRef) bool { return r.Name == name }
	l.missing = slices.DeleteFunc(l.missing, gone)
	l.head.Segments = slices.DeleteFunc(l.head.Segments, gone)
}

// finishLoad makes the head that was read the confirmed one when all its segments are in memory, and
// finds what it lost.
func (s *Shard) finishLoad(now time.Time) {
	if s.phase = phaseSegments; len(s.load.missing) > 0 {
		return
	}
	before, after := s.ledger, s.load.ledger(s.ledger)
	restored := s.load.head.Seq < before.seq || s.load.store < s.storeRevision
	for key, r := range missingRecords(before, after, restored, now) {
		s.lost[key] = r
		restored = true
	}
	confirmed := s.recall.found != nil
	restored = s.takeRecalled(&after, now) || restored
	if restored {
		s.restores++
		// A write-back continues the higher sequence, so that other collectors see the restore too.
		after.seq = max(after.seq, before.seq)
	}
	s.storeRevision = s.load.store
	if s.phase = phaseReady; !confirmed && s.recallNeeded(restored, now) {
		s.phase, s.recall.after = phaseRecall, s.load.head.Seq
	}
	s.ledger, s.load = after, nil
	s.dropStaleCompaction()
}

// ledger builds the state that the load shows, taking segments that stay from the former state.
func (l *load) ledger(before ledger) ledger {
	after := newLedger()
	after.seq, after.revision, after.segments = l.head.Seq, l.revision, l.head.Segments
	position := map[string]int{}
	for i, ref := range l.head.Segments {
		position[ref.Name] = i + 1
	}
	for _, e := range before.index {
		if e.segment != "" && position[e.segment] > 0 {
			after.set(e)
		}
	}
	for _, ref := range l.head.Segments {
		for _, r := range l.loaded[ref.Name] {
			if known, ok := after.index[short(r.Key)]; !ok || position[known.segment] <= position[ref.Name] {
				stored := r
				stored.Answer = nil
				after.set(entry{Record: stored, segment: ref.Name})
			}
		}
	}
	for _, r := range l.head.Records {
		after.setHead(r)
	}
	return after
}

// missingRecords returns records of the former state that a later state must still hold but does not.
// A later state may only settle a claim, release it, or let it expire.
func missingRecords(before, after ledger, restored bool, now time.Time) map[string]Record {
	lost := map[string]Record{}
	for key, b := range before.index {
		if b.State == StateReleased || b.forgettable(now) {
			continue
		}
		if !after.covers(b.Record, restored) {
			lost[key] = b.Record
		}
	}
	return lost
}

// covers tells whether the ledger still holds what a record says.
func (l *ledger) covers(b Record, restored bool) bool {
	a, found := l.index[short(b.Key)]
	progressed := found && (a.precedence() >= b.precedence() || b.State == StateClaimed && !restored)
	released := found && b.State == StateClaimed && a.State == StateReleased && a.Token == b.Token
	return progressed || released
}

package rudderclaim

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

// headLoad is a head that was read and the loading of those segments of it that are not in memory.
type headLoad struct {
	head     Head
	revision int64
	store    int64 // store revision of the read
	missing  []SegmentRef
	loaded   map[string][]Record
}

// finishHeadRead handles the read of the head. An absent head is an empty one.
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
	s.load = &headLoad{head: head, revision: result.Entry.Revision, store: result.Revision, loaded: map[string][]Record{}}
	for _, ref := range head.Segments {
		if !slices.ContainsFunc(s.ledger.segments, func(k SegmentRef) bool { return k.Name == ref.Name }) {
			s.load.missing = append(s.load.missing, ref)
		}
	}
	s.finishLoad(now)
	return nil
}

// finishSegmentRead handles the read of one segment. A missing segment was usually replaced by a newer head,
// so the head is read again. When that is still the same, the store lost the segment: a collector with the
// shard in memory writes the lost records back, and one without refuses claims, because it cannot know which
// keys were used.
func (s *Shard) finishSegmentRead(result Result, now time.Time) []Reply {
	if errors.Is(result.Err, rudderstore.ErrNotFound) {
		if s.load.revision != s.missingSegmentRevision {
			s.missingSegmentRevision, s.phase = s.load.revision, phaseRead
			return nil
		}
		if s.ledger.seq == 0 {
			s.phase, s.retryAt = phaseRead, now.Add(s.limits.StoreRetryDelay)
			return s.refuseAll()
		}
		s.load.dropSegment(s.load.missing[0].Name)
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

// dropSegment removes from the loaded head a segment that the store lost.
func (l *headLoad) dropSegment(name string) {
	gone := func(r SegmentRef) bool { return r.Name == name }
	l.missing = slices.DeleteFunc(l.missing, gone)
	l.head.Segments = slices.DeleteFunc(l.head.Segments, gone)
}

// finishLoad replaces the ledger by the head that was read, once all segments are in memory, and collects the
// committed records that this head lacks.
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
	confirmed := s.recall.pending != nil
	restored = s.applyRecall(&after, now) || restored
	if restored {
		s.restores++
		// The write-back continues from the higher sequence, so that other collectors notice the restore too.
		after.seq = max(after.seq, before.seq)
	}
	s.storeRevision = s.load.store
	if s.phase = phaseReady; !confirmed && s.recallNeeded(restored, now) {
		s.phase, s.recall.loadedSeq = phaseRecall, s.load.head.Seq
	}
	s.ledger, s.load = after, nil
	s.dropStaleCompaction()
}

// ledger builds the ledger of the loaded head. Records of segments that it shares with the previous ledger
// come from there.
func (l *headLoad) ledger(before ledger) ledger {
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
			if known, ok := after.index[shortDigest(r.Key)]; !ok || position[known.segment] <= position[ref.Name] {
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

// missingRecords returns the records of an earlier ledger that a later one must still hold but does not.
// A claim may only be settled, released or expire between them.
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

// covers reports whether the ledger holds a record, or a later state of it.
func (l *ledger) covers(b Record, restored bool) bool {
	a, found := l.index[shortDigest(b.Key)]
	progressed := found && (a.precedence() >= b.precedence() || b.State == StateClaimed && !restored)
	released := found && b.State == StateClaimed && a.State == StateReleased && a.Token == b.Token
	return progressed || released
}

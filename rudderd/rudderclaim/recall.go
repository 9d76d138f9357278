package rudderclaim

import (
	"slices"
	"time"
)

// Recall is what the live entry hosts know of a shard.
type Recall struct {
	// HighestSeq is the highest head sequence that any of them has seen.
	HighestSeq int64
	// Records are the claims that they were granted after the sequence that the step names.
	Records []Record
	// Complete is false when a live entry host did not answer.
	Complete bool
}

// recallState is when the entry hosts must be asked, and what they said.
type recallState struct {
	gap   time.Duration // longest time without contact to the service since they were asked
	again time.Time     // when to ask again after an incomplete recall; zero when it was complete
	seen  int64         // highest head sequence that a caller has seen
	after int64         // head sequence that was loaded before they were asked
	// found is a recall with a higher sequence than the loaded head. The head is read again before it is
	// used, because another collector may just have written it.
	found *Recall
}

// Saw notes the highest head sequence that a caller has seen. When the head turns out to be older, the
// service went back.
func (s *Shard) Saw(seq int64) { s.recall.seen = max(s.recall.seen, seq) }

// Seq returns the confirmed sequence of the head.
func (s *Shard) Seq() int64 { return s.ledger.seq }

// recallDue tells whether the head must be read although the contact is recent.
func (s *Shard) recallDue(now time.Time) bool {
	if s.limits.RecallAfter == 0 {
		return false
	}
	again := !s.recall.again.IsZero() && !now.Before(s.recall.again)
	return again || s.recall.found != nil || s.recall.seen > s.ledger.seq
}

// recallNeeded tells whether the entry hosts must be asked about the head that was just read.
func (s *Shard) recallNeeded(restored bool, now time.Time) bool {
	if s.limits.RecallAfter == 0 {
		return false
	}
	again := !s.recall.again.IsZero() && !now.Before(s.recall.again)
	return restored || again || s.recall.gap >= s.limits.RecallAfter || s.recall.seen > s.load.head.Seq
}

// finishRecall takes what the entry hosts know.
func (s *Shard) finishRecall(r Recall, now time.Time) {
	s.recall.gap, s.recall.again, s.phase = 0, time.Time{}, phaseReady
	if !r.Complete {
		s.recall.again = now.Add(s.limits.RecallRetry)
	}
	r.HighestSeq = max(r.HighestSeq, s.recall.seen)
	if r.HighestSeq > s.recall.after {
		s.recall.found, s.phase = &r, phaseRead
	}
}

// takeRecalled compares the head that was read again with the recall, and tells whether the service
// lost writes. Its records that the head lacks are written back.
func (s *Shard) takeRecalled(after *ledger, now time.Time) bool {
	found := s.recall.found
	s.recall.found = nil
	if found == nil || found.HighestSeq <= s.load.head.Seq {
		return false
	}
	for _, r := range found.Records {
		known := after.index[short(r.Key)]
		if r.forgettable(now) || after.covers(r, true) || slices.Contains(known.Earlier, r.Token) {
			continue
		}
		r.Earlier = known.releasedTokens()
		if _, lost := s.lost[short(r.Key)]; !lost {
			s.lost[short(r.Key)] = r
		}
	}
	after.seq = max(after.seq, found.HighestSeq)
	return true
}

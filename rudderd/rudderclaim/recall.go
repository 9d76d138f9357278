package rudderclaim

import (
	"slices"
	"time"
)

// Recall holds the answers of the live entry hosts that were queried for the claims they were granted.
type Recall struct {
	// HighestSeq is the highest head sequence that any entry host has seen.
	HighestSeq int64
	// Records are the claims that were granted after the head sequence Step.After.
	Records []Record
	// Complete is false when a live entry host did not answer.
	Complete bool
}

// recallState tracks when the entry hosts must be queried for their granted claims, and what they answered.
type recallState struct {
	longestGap time.Duration // longest time between two answers of the store since the last recall
	retryAt    time.Time     // when to repeat an incomplete recall; zero after a complete one
	callerSeq  int64         // highest head sequence that a caller has seen
	loadedSeq  int64         // sequence of the head that was loaded before the recall
	// pending is a recall with a higher sequence than the loaded head. The head is read again before the
	// recall is used, because another collector may just have written it.
	pending *Recall
}

// ObserveSeq records the highest head sequence that a caller has seen. A head with a lower sequence shows that
// the store may have been restored to an older state.
func (s *Shard) ObserveSeq(seq int64) { s.recall.callerSeq = max(s.recall.callerSeq, seq) }

// Seq returns the sequence of the committed head.
func (s *Shard) Seq() int64 { return s.ledger.seq }

// recallDue reports whether the head must be read for a recall, although it was read or written recently.
func (s *Shard) recallDue(now time.Time) bool {
	if s.limits.RecallAfter == 0 {
		return false
	}
	again := !s.recall.retryAt.IsZero() && !now.Before(s.recall.retryAt)
	return again || s.recall.pending != nil || s.recall.callerSeq > s.ledger.seq
}

// recallNeeded reports whether the entry hosts must be queried before the head that was just read is used.
func (s *Shard) recallNeeded(restored bool, now time.Time) bool {
	if s.limits.RecallAfter == 0 {
		return false
	}
	again := !s.recall.retryAt.IsZero() && !now.Before(s.recall.retryAt)
	return restored || again || s.recall.longestGap >= s.limits.RecallAfter || s.recall.callerSeq > s.load.head.Seq
}

// finishRecall handles the result of a recall.
func (s *Shard) finishRecall(r Recall, now time.Time) {
	s.recall.longestGap, s.recall.retryAt, s.phase = 0, time.Time{}, phaseReady
	if !r.Complete {
		s.recall.retryAt = now.Add(s.limits.RecallRetry)
	}
	r.HighestSeq = max(r.HighestSeq, s.recall.callerSeq)
	if r.HighestSeq > s.recall.loadedSeq {
		s.recall.pending, s.phase = &r, phaseRead
	}
}

// applyRecall compares the head that was read again with the pending recall, and reports whether the store
// lost writes. Recalled records that the head lacks are marked for writing back.
func (s *Shard) applyRecall(after *ledger, now time.Time) bool {
	found := s.recall.pending
	s.recall.pending = nil
	if found == nil || found.HighestSeq <= s.load.head.Seq {
		return false
	}
	for _, r := range found.Records {
		known := after.index[shortDigest(r.Key)]
		if r.forgettable(now) || after.covers(r, true) || slices.Contains(known.Earlier, r.Token) {
			continue
		}
		r.Earlier = known.releasedTokens()
		if _, lost := s.lost[shortDigest(r.Key)]; !lost {
			s.lost[shortDigest(r.Key)] = r
		}
	}
	after.seq = max(after.seq, found.HighestSeq)
	return true
}

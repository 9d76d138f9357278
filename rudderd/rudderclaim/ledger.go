package rudderclaim

import (
	"slices"
	"time"
)

// entry is a record in memory. The answer of a record in a segment is not kept in memory.
type entry struct {
	Record
	segment string // "" when the record is in the head
}

// ledger is the committed state of a shard, as of the last head that was read or written.
type ledger struct {
	seq      int64
	revision int64 // of the head's key; 0 when absent
	head     map[string]Record
	segments []SegmentRef
	index    map[string]entry // by short digest
	opaque   int              // number of opaque keys in use, see Limits.MaxOpaqueKeys
}

func newLedger() ledger {
	return ledger{head: map[string]Record{}, index: map[string]entry{}}
}

// opaqueCount returns what a record adds to ledger.opaque.
func opaqueCount(r Record) int {
	if r.Opaque && r.State != StateReleased {
		return 1
	}
	return 0
}

// set puts a record into the index.
func (l *ledger) set(e entry) {
	key := shortDigest(e.Key)
	l.opaque += opaqueCount(e.Record) - opaqueCount(l.index[key].Record)
	l.index[key] = e
}

// setHead puts a record into the head.
func (l *ledger) setHead(r Record) {
	l.head[shortDigest(r.Key)] = r
	l.set(entry{Record: r})
}

// unset removes a forgettable record.
func (l *ledger) unset(key string) {
	l.opaque -= opaqueCount(l.index[key].Record)
	delete(l.index, key)
	delete(l.head, key)
}

// moveToSegment records that a record of the head is now in a segment.
func (l *ledger) moveToSegment(r Record, segment string) {
	key := shortDigest(r.Key)
	delete(l.head, key)
	r.Answer = nil
	l.set(entry{Record: r, segment: segment})
}

// evaluate decides a claim against the known record, which is the zero Record when the key is unknown.
// opaque is the number of opaque keys in use.
func evaluate(request Request, known entry, limits Limits, opaque int, now time.Time) Decision {
	if v := checkKeyTime(request, limits, now); v != "" {
		return Decision{Verdict: v}
	}
	if known.Key == "" || known.forgettable(now) {
		return evaluateNewKey(request, limits, opaque)
	}
	if known.expired(now) || known.Key != request.key {
		return Decision{Verdict: VerdictExpired}
	}
	if known.Token == request.token {
		return evaluateSameToken(known)
	}
	if slices.Contains(known.Earlier, request.token) {
		return Decision{Verdict: VerdictReleased}
	}
	if known.State == StateReleased {
		return evaluateNewKey(request, limits, opaque)
	}
	if known.Body != request.body {
		return Decision{Verdict: VerdictConflict}
	}
	return evaluateRepeat(known)
}

// checkKeyTime returns the refusal of a key whose time is outside the retention or ahead of the clock, or "".
func checkKeyTime(request Request, limits Limits, now time.Time) Verdict {
	if request.keyTimeMS == 0 {
		return ""
	}
	at := time.UnixMilli(request.keyTimeMS)
	if now.Sub(at) >= limits.Retention {
		return VerdictExpired
	}
	if at.Sub(now) > limits.ClockSkew {
		return VerdictFuture
	}
	return ""
}

func evaluateNewKey(request Request, limits Limits, opaque int) Decision {
	if request.keyTimeMS == 0 && opaque >= limits.MaxOpaqueKeys {
		return Decision{Verdict: VerdictFull}
	}
	return Decision{Verdict: VerdictGranted}
}

// evaluateSameToken decides a retry of a claim with the same token.
func evaluateSameToken(known entry) Decision {
	switch known.State {
	case StateClaimed:
		return Decision{Verdict: VerdictGranted}
	case StateReleased:
		return Decision{Verdict: VerdictReleased}
	}
	return evaluateRepeat(known)
}

// evaluateRepeat decides a claim with the key and body of an earlier one.
func evaluateRepeat(known entry) Decision {
	if known.State != StateSettled {
		return Decision{Verdict: VerdictMayHaveRun}
	}
	if known.Answer == nil && known.segment == "" {
		return Decision{Verdict: VerdictMayHaveRun}
	}
	return Decision{Verdict: VerdictStored, Answer: known.Answer, segment: known.segment}
}

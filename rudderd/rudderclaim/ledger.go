package rudderclaim

import (
	"slices"
	"time"
)

// entry is a record in memory. A record that lives in a segment has no answer here.
type entry struct {
	Record
	segment string // "" when the record is in the head
}

// ledger is the confirmed state of a shard: what the last head read or written says.
type ledger struct {
	seq      int64
	revision int64 // of the head's key; 0 when absent
	head     map[string]Record
	segments []SegmentRef
	index    map[string]entry // by short digest
	opaque   int              // opaque keys that must be remembered
}

func newLedger() ledger {
	return ledger{head: map[string]Record{}, index: map[string]entry{}}
}

func remembered(r Record) int {
	if r.Opaque && r.State != StateReleased {
		return 1
	}
	return 0
}

// set puts a record into the index.
func (l *ledger) set(e entry) {
	key := short(e.Key)
	l.opaque += remembered(e.Record) - remembered(l.index[key].Record)
	l.index[key] = e
}

// setHead puts a record into the head.
func (l *ledger) setHead(r Record) {
	l.head[short(r.Key)] = r
	l.set(entry{Record: r})
}

// unset removes a forgettable record.
func (l *ledger) unset(key string) {
	l.opaque -= remembered(l.index[key].Record)
	delete(l.index, key)
	delete(l.head, key)
}

// moveToSegment notes that a head record is now in a segment.
func (l *ledger) moveToSegment(r Record, segment string) {
	key := short(r.Key)
	delete(l.head, key)
	r.Answer = nil
	l.set(entry{Record: r, segment: segment})
}

// judge decides a claim against a record, which is the zero Record when the key is unknown.
func judge(request Request, known entry, limits Limits, opaque int, now time.Time) Decision {
	if v := judgeWindow(request, limits, now); v != "" {
		return Decision{Verdict: v}
	}
	if known.Key == "" || known.forgettable(now) {
		return judgeNew(request, limits, opaque)
	}
	if known.expired(now) || known.Key != request.key {
		return Decision{Verdict: VerdictExpired}
	}
	if known.Token == request.token {
		return judgeOwn(known)
	}
	if slices.Contains(known.Earlier, request.token) {
		return Decision{Verdict: VerdictReleased}
	}
	if known.State == StateReleased {
		return judgeNew(request, limits, opaque)
	}
	if known.Body != request.body {
		return Decision{Verdict: VerdictConflict}
	}
	return judgeRepeat(known)
}

// judgeWindow refuses keys whose time is outside the retention.
func judgeWindow(request Request, limits Limits, now time.Time) Verdict {
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

func judgeNew(request Request, limits Limits, opaque int) Decision {
	if request.keyTimeMS == 0 && opaque >= limits.OpaqueKeys {
		return Decision{Verdict: VerdictFull}
	}
	return Decision{Verdict: VerdictGranted}
}

// judgeOwn answers a claim call that is repeated with its own token.
func judgeOwn(known entry) Decision {
	switch known.State {
	case StateClaimed:
		return Decision{Verdict: VerdictGranted}
	case StateReleased:
		return Decision{Verdict: VerdictReleased}
	}
	return judgeRepeat(known)
}

// judgeRepeat answers another send of the same key and body.
func judgeRepeat(known entry) Decision {
	if known.State != StateSettled {
		return Decision{Verdict: VerdictMayHaveRun}
	}
	if known.Answer == nil && known.segment == "" {
		return Decision{Verdict: VerdictMayHaveRun}
	}
	return Decision{Verdict: VerdictStored, Answer: known.Answer, segment: known.segment}
}

package rudderclaim

import (
	"time"

	"comfreyrudder.example/shared/rudderstore"
)

// StepKind is the kind of a Step.
type StepKind string

// Kinds of steps.
const (
	StepIdle   StepKind = "idle"   // nothing until an operation is added
	StepWait   StepKind = "wait"   // nothing until At or until an operation is added
	StepGet    StepKind = "get"    // read Key
	StepPut    StepKind = "put"    // write Put
	StepDelete StepKind = "delete" // delete Key, whatever its revision
	StepRecall StepKind = "recall" // query the live entry hosts for claims granted after the head sequence After
)

// Step is one action that a shard needs next. Its Result must be passed to Finish before the next step.
type Step struct {
	Kind StepKind
	At   time.Time
	Key  string
	Put  rudderstore.PutRequest
	// After is the head sequence of a StepRecall.
	After int64
}

// Result is the result of a step. Revision is the store revision of a read, or the key's new revision after
// a write.
type Result struct {
	Entry    rudderstore.Entry
	Revision int64
	Err      error
	// Recall is set after StepRecall.
	Recall Recall
}

// Reply is the decision on one operation.
type Reply struct {
	ID       uint64
	Decision Decision
}

type opKind int

const (
	opClaim opKind = iota
	opSettle
	opRelease
)

// op is a queued claim, settlement or release.
type op struct {
	id       uint64
	kind     opKind
	request  Request
	answer   *Answer
	at       time.Time
	deadline time.Time
	unknown  bool // a write with this operation may have taken effect
}

func (o op) reply(d Decision) Reply { return Reply{ID: o.id, Decision: d} }

func (o op) unavailable() Reply {
	return o.reply(Decision{Verdict: VerdictUnavailable, Unknown: o.unknown})
}

func (o op) bytes() int { return answerBytes(o.answer) }

// recordBytes estimates the encoded size of a record.
func recordBytes(r Record) int {
	const fixed = 200 // digests, token, state, expiry and their field names
	return fixed + answerBytes(r.Answer)
}

func answerBytes(a *Answer) int {
	if a == nil {
		return 0
	}
	size := len(a.Body)*4/3 + 40
	for name, values := range a.Header {
		size += len(name) + 8
		for _, v := range values {
			size += len(v) + 4
		}
	}
	return size
}

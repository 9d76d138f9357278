// Package rudderclaim records the use of idempotency keys, so that a call with a key runs at most
// once. Each shard has one log head in the key-value service, which is the only linearization point,
// and segments that hold older records. Shard is the pure core; Claims does the I/O.
package rudderclaim

import (
	"slices"
	"time"
)

// State of a record.
type State string

// States of a record.
const (
	StateClaimed  State = "claimed"  // may have been dispatched
	StateSettled  State = "settled"  // completed; the answer is stored if it was small enough
	StateReleased State = "released" // not dispatched; the key is free, the token is not
	StateExpired  State = "expired"  // only a short digest of an opaque key is left
)

// MaxAnswerBytes is the largest answer body that a settlement stores.
const MaxAnswerBytes = 16 << 10

// Answer is a stored answer of a plain call.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Record is what a shard remembers about one key.
type Record struct {
	Key   string `json:"key"`  // hex digest, 128 bits
	Body  string `json:"body"` // hex digest, 128 bits
	Token string `json:"token"`
	State State  `json:"state"`
	// Opaque keys carry no time, so they must be remembered after the retention.
	Opaque    bool    `json:"opaque,omitempty"`
	ExpiresMS int64   `json:"expires_ms"` // milliseconds since the Unix epoch
	Answer    *Answer `json:"answer,omitempty"`
	// Earlier are tokens that were released before, so that their delayed claims are refused.
	Earlier []string `json:"earlier,omitempty"`
}

// maxEarlier bounds the released tokens of one key. A delayed claim of a token beyond the bound could
// claim a free key for nobody, which makes the key's next call may_have_run.
const maxEarlier = 8

// withReleased returns the record's released tokens and one more.
func (r Record) withReleased(token string) []string {
	tokens := slices.Clone(r.Earlier)
	if token != "" && !slices.Contains(tokens, token) {
		tokens = append(tokens, token)
	}
	return tokens[max(0, len(tokens)-maxEarlier):]
}

// releasedTokens returns the tokens that a record which replaces this one must keep.
func (r Record) releasedTokens() []string {
	if r.State == StateReleased {
		return r.withReleased(r.Token)
	}
	return r.Earlier
}

// shortDigestChars is the length of the digest that remains of an expired opaque key: 64 bits.
const shortDigestChars = 16

func short(key string) string {
	return key[:min(len(key), shortDigestChars)]
}

// expired tells whether the record is past its expiry.
func (r Record) expired(now time.Time) bool {
	return r.State == StateExpired || now.UnixMilli() >= r.ExpiresMS
}

// forgettable tells whether the record can be dropped without risking a second run: released keys
// did not run, and keys with a time are refused by that time.
func (r Record) forgettable(now time.Time) bool {
	return r.State != StateExpired && now.UnixMilli() >= r.ExpiresMS &&
		(!r.Opaque || r.State == StateReleased)
}

// precedence orders what two sources say about one key: the one that remembers more wins.
func (r Record) precedence() int {
	switch r.State {
	case StateReleased:
		return 1
	case StateClaimed:
		return 2
	case StateSettled:
		return 3
	case StateExpired:
		return 4
	}
	return 0
}

// Verdict is the result of a claim.
type Verdict string

// Verdicts. Only VerdictGranted allows a dispatch.
const (
	VerdictGranted     Verdict = "granted"
	VerdictStored      Verdict = "stored"       // the key's call completed; Answer holds its answer
	VerdictMayHaveRun  Verdict = "may_have_run" // the key's call was claimed, or its answer is not stored
	VerdictConflict    Verdict = "conflict"     // the key was used with another body
	VerdictExpired     Verdict = "expired"      // the key was used before the retention, or its time is too old
	VerdictFuture      Verdict = "future"       // the key's time is ahead of the clock
	VerdictFull        Verdict = "full"         // no space for another opaque key
	VerdictReleased    Verdict = "released"     // the token was released before its claim arrived
	VerdictUnavailable Verdict = "unavailable"  // the claim could not be written
	VerdictPending     Verdict = "pending"      // not decided yet; ask again with the same token
	VerdictApplied     Verdict = "changed"      // a settlement or release is done
)

// Decision is the answer to a claim, a settlement or a release.
type Decision struct {
	Verdict Verdict
	Answer  *Answer
	// Unknown is set with VerdictUnavailable when the claim may have been written.
	Unknown bool
	// seq is the sequence of the head that the decision rests on.
	seq int64
	// collector is the entry host that decided.
	collector string
	// segment holds the answer of a stored record that is not in memory.
	segment string
}

// Request names one use of a key. NewRequest makes it.
type Request struct {
	key       string
	body      string
	token     string
	keyTimeMS int64
}

// Token returns the token that names this attempt.
func (r Request) Token() string { return r.token }

func (r Request) record(limits Limits, now time.Time, state State, answer *Answer) Record {
	rec := Record{Key: r.key, Body: r.body, Token: r.token, State: state, Answer: answer}
	if r.keyTimeMS == 0 {
		rec.Opaque = true
		rec.ExpiresMS = now.Add(limits.Retention).UnixMilli()
	} else {
		// Kept beyond the last moment at which a collector with a slow clock accepts the key.
		rec.ExpiresMS = time.UnixMilli(r.keyTimeMS).Add(limits.Retention + limits.ClockSkew).UnixMilli()
	}
	if state == StateReleased {
		rec.ExpiresMS = now.Add(limits.ReleasedFor).UnixMilli()
	}
	return rec
}

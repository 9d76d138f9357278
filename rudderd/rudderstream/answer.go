// Package rudderstream runs model requests: it sends a request to an engine, resumes the stream on another
// engine if the first one fails or becomes unresponsive, and keeps the answer for its caller.
package rudderstream

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbody"
)

// Outcome of a request. Every request ends with exactly one of them.
type Outcome string

// Outcomes.
const (
	OutcomeComplete   Outcome = "complete"     // the caller got the complete answer
	OutcomeNotRun     Outcome = "not_run"      // no byte of the request reached a target, or the target refused it
	OutcomeMayHaveRun Outcome = "may_have_run" // the request was sent and did not complete
)

// ErrGap reports a token that arrived before its predecessor; the stream must be resumed.
var ErrGap = errors.New("stream: token missing before this one")

const (
	// tokenBytes is what a token takes beside its text.
	tokenBytes = 32
	// answerCopies is the number of copies of an answer that are held: one of them is written to its caller.
	answerCopies = 2
	// freeAnswerBytes is what an answer takes without memory of the budget, so that short ones never lack it.
	freeAnswerBytes = 16 << 10
)

// Result is the end state of a request.
type Result struct {
	Outcome Outcome
	// Code and Message describe a failure; Code is empty for a complete answer.
	Code    string
	Message string
	// RetryAfter is the time after which the caller should retry; 0 if a retry is pointless.
	RetryAfter   time.Duration
	FinishReason string
	PromptTokens int
}

// Answer accumulates the answer to one request. It is safe for concurrent use.
type Answer struct {
	id        string
	workspace string
	model     string
	created   time.Time

	mu        sync.Mutex
	attempt   int
	tokens    []string
	bytes     int64 // of all tokens
	done      bool
	result    Result
	readers   int
	idleSince time.Time     // when the last reader left; zero while there are readers
	readToEnd bool          // a reader has got the end of the answer
	changed   chan struct{} // closed and replaced with each change
	onFinish  func()        // may be nil
	memory    *rudderbody.Reservation
}

// NewAnswer returns an empty answer.
func NewAnswer(id, workspace, model string, created time.Time) *Answer {
	return &Answer{id: id, workspace: workspace, model: model, created: created, changed: make(chan struct{})}
}

// ID returns the ID of the request.
func (a *Answer) ID() string { return a.id }

// Workspace returns the workspace that the answer belongs to.
func (a *Answer) Workspace() string { return a.workspace }

// Model returns the model that the caller asked for.
func (a *Answer) Model() string { return a.model }

// Created returns the time at which the request arrived.
func (a *Answer) Created() time.Time { return a.created }

// StartAttempt starts a new attempt: tokens of earlier attempts that arrive later are dropped. It returns the
// number of tokens received so far and their text, from which the new attempt resumes.
func (a *Answer) StartAttempt(attempt int) (received int, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if attempt > a.attempt {
		a.attempt = attempt
	}
	return len(a.tokens), strings.Join(a.tokens, "")
}

// Append adds a token of an attempt; tokens are numbered from 1. Tokens of an older attempt and repeated
// tokens are dropped, with added false. A token that skips one is rejected with ErrGap, and one for which there is no memory
// with rudderbody.ErrNoMemory.
func (a *Answer) Append(attempt, seq int, text string) (added bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if attempt != a.attempt || a.done || seq <= len(a.tokens) {
		return false, nil
	}
	if seq > len(a.tokens)+1 {
		return false, ErrGap
	}
	size := a.bytes + int64(len(text)) + tokenBytes
	if err := a.memory.Resize(size); err != nil {
		return false, err
	}
	a.tokens, a.bytes = append(a.tokens, text), size
	a.notify()
	return true, nil
}

// Finish ends the answer. Only the first call has an effect.
func (a *Answer) Finish(result Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done, a.result = true, result
	a.memory.Release()
	a.notify()
	if a.onFinish != nil {
		a.onFinish()
	}
}

// SetMemory makes the answer take memory from a budget until it ends. It has to be called before the answer can grow.
func (a *Answer) SetMemory(b *rudderbody.Budget) {
	a.memory = b.ReservationAbove(freeAnswerBytes, answerCopies)
}

// OnFinish sets a function that the end of the answer calls. It has to be set before the answer can end.
func (a *Answer) OnFinish(f func()) { a.onFinish = f }

// notify wakes all readers. The caller holds the lock.
func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Received returns the number of tokens received so far.
func (a *Answer) Received() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tokens)
}

// Done reports whether the answer has ended, and its result.
func (a *Answer) Done() (Result, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result, a.done
}

// Page is a part of an answer.
type Page struct {
	Tokens []string
	Done   bool
	Result Result // valid if Done
}

// Read returns the tokens after the given number. It waits for the first of them or the end of the answer,
// and returns the context's error if that comes first.
func (a *Answer) Read(ctx context.Context, after int) (Page, error) {
	if after < 0 {
		after = 0
	}
	for {
		a.mu.Lock()
		page := Page{Done: a.done, Result: a.result}
		if after < len(a.tokens) {
			page.Tokens = append(page.Tokens, a.tokens[after:]...)
		}
		a.readToEnd = a.readToEnd || page.Done
		changed := a.changed
		a.mu.Unlock()
		if page.Done || len(page.Tokens) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-changed:
		}
	}
}

// AddReader registers a caller that reads the answer; the returned function removes it. The runner cancels an
// answer that has had no reader for a while.
func (a *Answer) AddReader(now func() time.Time) (remove func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	a.idleSince = time.Time{}
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		if a.readers == 0 {
			a.idleSince = now()
		}
	})
}

// awaitsReader reports whether a caller may still resume the answer: none has read its end, and the last one left
// within the grace time.
func (a *Answer) awaitsReader(now time.Time, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.readToEnd && now.Sub(a.idleSince) <= grace
}

// abandoned reports whether the answer has had no reader for longer than the grace time.
func (a *Answer) abandoned(now time.Time, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && !a.idleSince.IsZero() && now.Sub(a.idleSince) > grace
}

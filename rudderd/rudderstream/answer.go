// Package rudderstream runs model requests: it sends a request to an engine, resumes its stream on
// another engine when the first one dies or goes silent, and keeps the answer for its caller.
package rudderstream

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome of a request. Every request ends as exactly one of them.
type Outcome string

// Outcomes.
const (
	OutcomeComplete   Outcome = "complete"     // the caller got the whole answer
	OutcomeNotRun     Outcome = "not_run"      // no byte of the request reached a target, or the target refused it
	OutcomeMayHaveRun Outcome = "may_have_run" // the request was sent and did not complete
)

// ErrGap reports a token whose predecessor has not arrived; the stream must be resumed.
var ErrGap = errors.New("stream: token missing before this one")

// Result is how a request ended.
type Result struct {
	Outcome Outcome
	// Code and Message describe a failure; Code is empty for a complete answer.
	Code    string
	Message string
	// RetryAfter tells the caller when to come back; 0 when that makes no sense.
	RetryAfter   time.Duration
	FinishReason string
	PromptTokens int
}

// Answer is the growing answer to one request. It is safe for concurrent use.
type Answer struct {
	id        string
	workspace string
	model     string
	created   time.Time

	mu      sync.Mutex
	attempt int
	tokens  []string
	bytes   int64
	done    bool
	result  Result
	readers int
	idle    time.Time     // when the last reader left; zero while there are readers
	changed chan struct{} // closed and replaced with each change
}

// NewAnswer starts an empty answer.
func NewAnswer(id, workspace, model string, created time.Time) *Answer {
	return &Answer{id: id, workspace: workspace, model: model, created: created, changed: make(chan struct{})}
}

// ID is the request's identifier.
func (a *Answer) ID() string { return a.id }

// Workspace is the workspace that the answer belongs to.
func (a *Answer) Workspace() string { return a.workspace }

// Model is the model that the caller asked for.
func (a *Answer) Model() string { return a.model }

// Created is when the request arrived.
func (a *Answer) Created() time.Time { return a.created }

// StartAttempt makes tokens of earlier attempts late. It returns the number of tokens received so far
// and their text, from which the new attempt resumes.
func (a *Answer) StartAttempt(attempt int) (received int, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if attempt > a.attempt {
		a.attempt = attempt
	}
	return len(a.tokens), strings.Join(a.tokens, "")
}

// Append adds a token, numbered from 1, of an attempt. Tokens of an older attempt and repeated tokens
// are dropped and reported as not added. A token that skips one is refused with ErrGap.
func (a *Answer) Append(attempt, seq int, text string) (added bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if attempt != a.attempt || a.done || seq <= len(a.tokens) {
		return false, nil
	}
	if seq > len(a.tokens)+1 {
		return false, ErrGap
	}
	a.tokens = append(a.tokens, text)
	a.bytes += int64(len(text))
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
	a.notify()
}

// notify wakes all readers. The caller holds the lock.
func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Received is the number of tokens received so far.
func (a *Answer) Received() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tokens)
}

// Done tells whether the answer has ended, and how.
func (a *Answer) Done() (Result, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result, a.done
}

// Page is a part of an answer.
type Page struct {
	Tokens []string
	Done   bool
	Result Result // valid when Done
}

// Read returns the tokens after the given number, waiting for the first one or the end. It returns
// the context's error when that comes first.
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

// AddReader counts a caller that reads the answer; the returned function ends that. An answer that
// nobody reads for a while is cancelled by its runner.
func (a *Answer) AddReader(now func() time.Time) (remove func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	a.idle = time.Time{}
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		if a.readers == 0 {
			a.idle = now()
		}
	})
}

// abandoned tells whether no caller has read the answer for longer than the grace time.
func (a *Answer) abandoned(now time.Time, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && !a.idle.IsZero() && now.Sub(a.idle) > grace
}

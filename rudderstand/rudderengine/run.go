package rudderengine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/shared/ruddertarget"
)

// run is one attempt of one request on this host.
type run struct {
	ruddertarget.WorkExtension
	prompt    string
	maxTokens int
	length    int
	seed      uint64
	arrived   int64 // position in the order of arrival
	ledger    int   // index in the ledger; valid once started

	// readyAt is when the prefill ends. Only the engine's loop uses it.
	readyAt time.Time

	mu      sync.Mutex
	change  chan struct{} // closed and replaced at every change
	tokens  []string      // those after ResumeAfter
	started bool
	outcome string // empty until the end
}

func newRun(work ruddertarget.WorkExtension, prompt string, maxTokens int) *run {
	r := &run{
		WorkExtension: work, prompt: prompt, maxTokens: maxTokens,
		length: answerLength(prompt, maxTokens), seed: xxhash.Sum64String(prompt),
		change: make(chan struct{}),
	}
	r.ResumeAfter = min(max(0, r.ResumeAfter), r.length)
	if r.ResumeText != "" && r.ResumeText != joined(tokensOf(r.seed, r.ResumeAfter)) {
		// A model continues differently after another beginning. The changed seed makes a wrong resume text
		// visible to the checker.
		r.seed = xxhash.Sum64String(prompt + "\x00" + r.ResumeText)
	}
	return r
}

// progress is a snapshot of a run.
type progress struct {
	tokens  []string
	started bool
	outcome string
	change  <-chan struct{}
}

func (r *run) snapshot() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return progress{tokens: r.tokens, started: r.started, outcome: r.outcome, change: r.change}
}

// update applies a change and wakes all waiters. A run that has ended does not change.
func (r *run) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcome != "" {
		return
	}
	change()
	close(r.change)
	r.change = make(chan struct{})
}

func (r *run) start() { r.update(func() { r.started = true }) }

func (r *run) end(outcome string) { r.update(func() { r.outcome = outcome }) }

// step generates one token and reports whether the answer is complete.
func (r *run) step() (complete bool) {
	r.update(func() {
		if next := r.ResumeAfter + len(r.tokens); next < r.length {
			r.tokens = append(r.tokens, tokenAt(r.seed, next))
		}
		complete = r.ResumeAfter+len(r.tokens) >= r.length
	})
	return complete
}

func (r *run) status() ruddertarget.RequestStatus {
	p := r.snapshot()
	return ruddertarget.RequestStatus{
		RequestID: r.RequestID, Attempt: r.Attempt, Generated: r.ResumeAfter + len(p.tokens),
		Queued: !p.started && p.outcome == "", Done: p.outcome != "",
	}
}

// before orders the queue: by lower priority value, then by arrival.
func (r *run) before(other *run) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return r.arrived < other.arrived
}

// maxRuns bounds the runs that a host keeps for status, cancel and export.
const maxRuns = 1024

// runTable holds the newest attempts. The zero value is ready.
type runTable struct {
	byID  map[string][]*run
	order []string
	count int64
}

func (t *runTable) add(r *run) {
	if t.byID == nil {
		t.byID = map[string][]*run{}
	}
	t.count++
	r.arrived = t.count
	t.byID[r.RequestID] = append(t.byID[r.RequestID], r)
	t.order = append(t.order, r.RequestID)
	if len(t.order) > maxRuns {
		oldest := t.order[0]
		t.order = t.order[1:]
		if rest := t.byID[oldest][1:]; len(rest) > 0 {
			t.byID[oldest] = rest
		} else {
			delete(t.byID, oldest)
		}
	}
}

// newest returns the attempt that arrived last, or nil.
func (t *runTable) newest(requestID string) *run {
	attempts := t.byID[requestID]
	if len(attempts) == 0 {
		return nil
	}
	return attempts[len(attempts)-1]
}

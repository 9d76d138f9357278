package rudderstream

import (
	"container/list"
	"sync"
	"time"
)

// Registry keeps the answers of this entry host: those that run, and finished ones for a while, so
// that a caller that lost its connection can pick its answer up again.
type Registry struct {
	// Retention is how long a finished answer is kept.
	Retention time.Duration
	// MaxBytes bounds the text of finished answers; the oldest ones are dropped first.
	MaxBytes int64

	mu       sync.Mutex
	answers  map[string]*Answer
	finished *list.List // of finishedAnswer, oldest first
	bytes    int64
}

type finishedAnswer struct {
	answer *Answer
	at     time.Time
	bytes  int64
}

// Add registers an answer that begins to run.
func (r *Registry) Add(a *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers == nil {
		r.answers = make(map[string]*Answer)
		r.finished = list.New()
	}
	r.answers[a.ID()] = a
}

// MarkFinished moves an answer to those that are kept for a while, and drops the ones that are too old
// or too many.
func (r *Registry) MarkFinished(a *Answer, now time.Time) {
	a.mu.Lock()
	size := a.bytes
	a.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished.PushBack(finishedAnswer{answer: a, at: now, bytes: size})
	r.bytes += size
	r.dropOld(now)
}

// dropOld removes finished answers beyond the limits. The caller holds the lock.
func (r *Registry) dropOld(now time.Time) {
	for front := r.finished.Front(); front != nil; front = r.finished.Front() {
		oldest := front.Value.(finishedAnswer)
		if r.bytes <= r.MaxBytes && now.Sub(oldest.at) <= r.Retention {
			return
		}
		r.finished.Remove(front)
		r.bytes -= oldest.bytes
		delete(r.answers, oldest.answer.ID())
	}
}

// Find returns an answer by request ID.
func (r *Registry) Find(id string) (*Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.answers[id]
	return a, ok
}

// Running counts the answers that have not ended.
func (r *Registry) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers == nil {
		return 0
	}
	return len(r.answers) - r.finished.Len()
}

package rudderstream

import (
	"container/list"
	"sync"
	"time"
)

// Registry holds the answers of this entry host: those that run, and for a while finished ones, so that a
// caller that has lost its connection can resume reading.
type Registry struct {
	// Retention is how long a finished answer is kept.
	Retention time.Duration
	// MaxBytes bounds the memory of finished answers; the oldest are evicted first.
	MaxBytes int64

	mu       sync.Mutex
	answers  map[string]*Answer
	finished *list.List // of finishedAnswer, oldest first
	bytes    int64
}

type finishedAnswer struct {
	answer     *Answer
	finishedAt time.Time
	bytes      int64
}

// Add registers an answer that starts running.
func (r *Registry) Add(a *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers == nil {
		r.answers = make(map[string]*Answer)
		r.finished = list.New()
	}
	r.answers[a.ID()] = a
}

// MarkFinished marks an answer as finished, and evicts finished answers beyond the limits.
func (r *Registry) MarkFinished(a *Answer, now time.Time) {
	a.mu.Lock()
	size := a.bytes
	a.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished.PushBack(finishedAnswer{answer: a, finishedAt: now, bytes: size})
	r.bytes += size
	r.evict(now)
}

// evict removes finished answers beyond the limits. The caller holds the lock.
func (r *Registry) evict(now time.Time) {
	for front := r.finished.Front(); front != nil; front = r.finished.Front() {
		oldest := front.Value.(finishedAnswer)
		if r.bytes <= r.MaxBytes && now.Sub(oldest.finishedAt) <= r.Retention {
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

// Running returns the number of answers that have not ended.
func (r *Registry) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers == nil {
		return 0
	}
	return len(r.answers) - r.finished.Len()
}

// Unread returns the number of finished answers whose end no caller has read and whose last caller left within the grace
// time.
func (r *Registry) Unread(now time.Time, grace time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished == nil {
		return 0
	}
	unread := 0
	for e := r.finished.Front(); e != nil; e = e.Next() {
		if e.Value.(finishedAnswer).answer.awaitsReader(now, grace) {
			unread++
		}
	}
	return unread
}

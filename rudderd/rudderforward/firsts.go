package rudderforward

import (
	"sync"
	"time"
)

// firstEvents learns for each model how long the first event takes where a request waits for nothing: prompt, first
// steps and network. What is left of the objective is what a request may wait for a group.
type firstEvents struct {
	mu     sync.Mutex
	models map[string]time.Duration // smoothed, by service and model
}

const (
	// uncontendedWait is the expected wait up to which a request counts as not having waited.
	uncontendedWait = 30 * time.Millisecond
	// firstWeight is the weight of the newest time in the smoothed one, and firstMost, in multiples of the smoothed
	// time, the bound of one that counts: a target in trouble says nothing of the others.
	firstWeight = 0.1
	firstMost   = 2
	// leastWaitShare is the part of the objective that a request may wait in any case.
	leastWaitShare = 0.3
)

// observe takes the time to the first event of a request with the wait that was expected for it.
func (e *firstEvents) observe(key string, wait, took time.Duration) {
	if wait > uncontendedWait || took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models == nil {
		e.models = map[string]time.Duration{}
	}
	old, known := e.models[key]
	if !known {
		e.models[key] = took
		return
	}
	took = min(took, firstMost*old)
	e.models[key] = old + time.Duration(firstWeight*float64(took-old))
}

// waitLimit is how long a request may wait for a group so that its first event comes within the objective.
func (e *firstEvents) waitLimit(key string, objective time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(objective-e.models[key], time.Duration(leastWaitShare*float64(objective)))
}

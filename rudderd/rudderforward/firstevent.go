package rudderforward

import (
	"sync"
	"time"
)

// firstEventTimes tracks for each model the time to the first event of requests that had no queueing delay:
// prefill, first decoding steps and network. The rest of a route's objective is what a request may wait for a
// group.
type firstEventTimes struct {
	mu     sync.Mutex
	models map[string]time.Duration // smoothed time by service and model
}

const (
	// uncontendedWait is the expected wait up to which a request counts as not queued.
	uncontendedWait = 30 * time.Millisecond
	// firstEventWeight is the weight of the newest time in the exponential moving average.
	firstEventWeight = 0.1
	// maxFirstEventRatio caps a new time at a multiple of the average, so that one faulty target has little
	// effect on it.
	maxFirstEventRatio = 2
	// minWaitShare is the share of the objective that a request may always wait.
	minWaitShare = 0.3
)

// observe records the time to the first event of a request; wait is the wait that was expected for it.
func (e *firstEventTimes) observe(key string, wait, took time.Duration) {
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
	took = min(took, maxFirstEventRatio*old)
	e.models[key] = old + time.Duration(firstEventWeight*float64(took-old))
}

// waitLimit returns how long a request may wait for a group and still get its first event within the
// objective.
func (e *firstEventTimes) waitLimit(key string, objective time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(objective-e.models[key], time.Duration(minWaitShare*float64(objective)))
}

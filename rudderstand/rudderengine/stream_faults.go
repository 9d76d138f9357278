package rudderengine

import (
	"net/http"

	"comfreyrudder.example/shared/ruddertarget"
)

// streamFaults holds the fault switches for single requests and streams.
type streamFaults struct {
	crashMarker   string
	malformedNext int
	staleChunks   bool
	hang          bool
	requestLimit  string
}

// SetRequestLimit makes each response name a limit of requests per second. An empty limit ends that.
func (e *Engine) SetRequestLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.requestLimit = limit
}

// nameLimit sets the header that names the limit of requests.
func (e *Engine) nameLimit(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.requestLimit != "" {
		h.Set(ruddertarget.HeaderRequestLimit, e.faults.requestLimit)
	}
}

// SetCrashMarker makes the process crash when it starts a request whose prompt contains the marker. An empty
// marker ends that.
func (e *Engine) SetCrashMarker(marker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crashMarker = marker
}

// MalformNext makes each of the next count streams contain one event that is not valid JSON.
func (e *Engine) MalformNext(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.malformedNext = count
}

// SetStaleChunks makes streams contain stale chunks: a duplicate of the chunk before, and a chunk of the
// attempt before with other text. Attempts below 2 get only duplicates.
func (e *Engine) SetStaleChunks(stale bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.staleChunks = stale
}

// SetHang makes the process accept requests and never answer them, while it reports that it is sound, or ends that for new
// requests.
func (e *Engine) SetHang(hang bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.hang = hang
}

func (e *Engine) hangs() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.hang
}

// malformedAt and staleEvery are the positions of injected chunks in a stream, which starts with some good
// chunks.
const (
	malformedAt = 3
	staleEvery  = 4
)

// injectFaults writes the events that the fault switches insert before the chunk of a token.
func (r *responder) injectFaults(seq int) {
	index := seq - r.run.ResumeAfter
	e := r.engine
	e.mu.Lock()
	malformed := index == malformedAt && e.faults.malformedNext > 0
	if malformed {
		e.faults.malformedNext--
	}
	stale := e.faults.staleChunks && index%staleEvery == 0
	e.mu.Unlock()
	if malformed {
		r.raw(`{"choices":[{"delta":{"content":" br`)
	}
	if !stale {
		return
	}
	r.chunk(r.extension(seq-1), tokenAt(r.run.seed, seq-2), nil)
	if r.run.Attempt > 1 {
		old := r.extension(seq)
		old.Attempt--
		r.chunk(old, " stale", nil)
	}
}

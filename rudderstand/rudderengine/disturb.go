package rudderengine

// streamFaults are faults of single requests and streams.
type streamFaults struct {
	crashMarker   string
	malformedNext int
	staleChunks   bool
}

// SetCrashMarker makes the process crash when it starts a request whose prompt contains the marker;
// an empty marker ends that.
func (e *Engine) SetCrashMarker(marker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crashMarker = marker
}

// MalformNext makes the next count streams contain an event that is no JSON, once each.
func (e *Engine) MalformNext(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.malformedNext = count
}

// SetStaleChunks makes streams carry late duplicates: the chunk before, and a chunk with other text
// of the attempt before. Attempts below 2 get only the first kind.
func (e *Engine) SetStaleChunks(stale bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.staleChunks = stale
}

// malformedAt and staleEvery place the disturbances within a stream: after some good chunks.
const (
	malformedAt = 3
	staleEvery  = 4
)

// disturb writes what the faults put before the chunk of a token.
func (a *answer) disturb(seq int) {
	index := seq - a.run.ResumeAfter
	e := a.engine
	e.mu.Lock()
	malformed := index == malformedAt && e.faults.malformedNext > 0
	if malformed {
		e.faults.malformedNext--
	}
	stale := e.faults.staleChunks && index%staleEvery == 0
	e.mu.Unlock()
	if malformed {
		a.raw(`{"choices":[{"delta":{"content":" br`)
	}
	if !stale {
		return
	}
	a.chunk(a.extension(seq-1), tokenAt(a.run.seed, seq-2), nil)
	if a.run.Attempt > 1 {
		old := a.extension(seq)
		old.Attempt--
		a.chunk(old, " stale", nil)
	}
}

package rudderforward

import (
	"sync"
	"time"
)

const (
	// durationSamples is the number of recent requests of one kind whose durations are kept, and minDurationSamples the
	// number below which the durations count as unknown.
	durationSamples    = 64
	minDurationSamples = 5
	// durationTTL is how long a duration is used.
	durationTTL = 30 * time.Second
)

// durations holds how long recent complete requests have taken, by service and model.
type durations struct {
	mu    sync.Mutex
	kinds map[string]*durationWindow
}

// durationWindow is a ring of samples.
type durationWindow struct {
	samples [durationSamples]durationSample
	next    int
}

// durationSample splits the duration of a request into a fixed part and the time for each token of the answer.
type durationSample struct {
	endedAt         time.Duration // uptime; 0 for an empty sample
	fixed, perToken time.Duration
}

// observe records a complete request. firstByte is the time to the first byte of the response, and tokens the number of
// tokens that the caller allowed for the answer; 0 if it is not known.
func (d *durations) observe(kind string, firstByte, took time.Duration, tokens int, now time.Duration) {
	s := durationSample{endedAt: max(now, 1), fixed: took}
	if tokens > 0 && firstByte > 0 {
		s.fixed, s.perToken = firstByte, (took-firstByte)/time.Duration(tokens)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kinds == nil {
		d.kinds = map[string]*durationWindow{}
	}
	w := d.kinds[kind]
	if w == nil {
		w = &durationWindow{}
		d.kinds[kind] = w
	}
	w.samples[w.next] = s
	w.next = (w.next + 1) % durationSamples
}

// slowest returns the longest fixed part and the longest time for each token of the recent requests, and the number of
// these requests.
func (d *durations) slowest(kind string, now time.Duration) (slowest durationSample, known int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.kinds[kind]
	if w == nil {
		return durationSample{}, 0
	}
	for _, s := range w.samples {
		if s.endedAt > 0 && now-s.endedAt <= durationTTL {
			known++
			slowest.fixed, slowest.perToken = max(slowest.fixed, s.fixed), max(slowest.perToken, s.perToken)
		}
	}
	return slowest, known
}

// of returns the duration of a request with a number of tokens. Most answers are far shorter than their callers allow, so that
// it is at least that of an answer of the full length.
func (s durationSample) of(tokens int, fullAnswer time.Duration) time.Duration {
	return s.fixed + max(time.Duration(tokens)*s.perToken, fullAnswer)
}

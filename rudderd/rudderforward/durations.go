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

// longest returns the duration of a request that is as slow as the slowest recent ones. ok is false if too few are known.
func (d *durations) longest(kind string, tokens int, now time.Duration) (longest time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.kinds[kind]
	if w == nil {
		return 0, false
	}
	known := 0
	var fixed, perToken time.Duration
	for _, s := range w.samples {
		if s.endedAt > 0 && now-s.endedAt <= durationTTL {
			known++
			fixed, perToken = max(fixed, s.fixed), max(perToken, s.perToken)
		}
	}
	return fixed + time.Duration(tokens)*perToken, known >= minDurationSamples
}

package rudderforward

import (
	"slices"
	"sync"
	"time"
)

const (
	// durationSamples is the number of recent requests of one kind that are kept, and minDurationSamples the number below
	// which their durations count as unknown.
	durationSamples    = 64
	minDurationSamples = 5
	// durationTTL is how long a sample is used.
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

// durationSample is one complete request.
type durationSample struct {
	endedAt   time.Duration // uptime; 0 for an empty sample
	took      time.Duration
	firstByte time.Duration
	// perEvent is the mean time between the events of a stream; 0 for fewer than two events.
	perEvent time.Duration
}

func (d *durations) observe(kind string, s durationSample) {
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

// recentDurations summarizes the recent complete requests of one kind.
type recentDurations struct {
	known int
	// took, firstByte and slowestPerEvent are the longest ones.
	took, firstByte, slowestPerEvent time.Duration
	// fixed is the longest duration without the time between events.
	fixed time.Duration
	// typicalFirstByte and perEvent are medians; perEvent is 0 without a stream of several events.
	typicalFirstByte, perEvent time.Duration
}

func (d *durations) recent(kind string, now time.Duration) recentDurations {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.kinds[kind]
	if w == nil {
		return recentDurations{}
	}
	var r recentDurations
	var firstBytes, perEvent [durationSamples]time.Duration
	paced := 0
	for _, s := range w.samples {
		if s.endedAt <= 0 || now-s.endedAt > durationTTL {
			continue
		}
		firstBytes[r.known] = s.firstByte
		r.known++
		r.took, r.firstByte = max(r.took, s.took), max(r.firstByte, s.firstByte)
		if s.perEvent == 0 {
			r.fixed = max(r.fixed, s.took)
		} else {
			r.fixed = max(r.fixed, s.firstByte)
			perEvent[paced] = s.perEvent
			paced++
			r.slowestPerEvent = max(r.slowestPerEvent, s.perEvent)
		}
	}
	r.typicalFirstByte, r.perEvent = median(firstBytes[:r.known]), median(perEvent[:paced])
	return r
}

// median sorts durations and returns the middle one; 0 without any.
func median(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)/2]
}

package rudderforward

import (
	"slices"
	"sync"
	"time"
)

const (
	// lengthSamples is the number of recent answers whose lengths are compared with their callers' estimates, and
	// minLengthSamples the number below which estimates are not used.
	lengthSamples    = 128
	minLengthSamples = 16
	// lengthTTL is how long a sample is used.
	lengthTTL = time.Minute
	// lengthQuantile is the share of the recent answers that were not longer than the ratio of lengthRatios.high allows.
	lengthQuantile = 0.95
)

// lengthRatios holds the lengths of recent answers as multiples of their callers' estimates, by service.
type lengthRatios struct {
	mu       sync.Mutex
	services map[string]*lengthWindow
}

// lengthWindow is a ring of samples.
type lengthWindow struct {
	samples [lengthSamples]lengthSample
	next    int
}

type lengthSample struct {
	at    time.Duration // uptime; 0 for an empty sample
	ratio float64
}

func (l *lengthRatios) observe(service string, ratio float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = map[string]*lengthWindow{}
	}
	w := l.services[service]
	if w == nil {
		w = &lengthWindow{}
		l.services[service] = w
	}
	w.samples[w.next] = lengthSample{at: max(now, 1), ratio: ratio}
	w.next = (w.next + 1) % lengthSamples
}

// high returns the ratio that few answers of a service exceed; 0 if too few are known.
func (l *lengthRatios) high(service string, now time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.services[service]
	if w == nil {
		return 0
	}
	var ratios [lengthSamples]float64
	known := 0
	for _, s := range w.samples {
		if s.at > 0 && now-s.at <= lengthTTL {
			ratios[known] = s.ratio
			known++
		}
	}
	if known < minLengthSamples {
		return 0
	}
	slices.Sort(ratios[:known])
	return ratios[int(lengthQuantile*float64(known))]
}

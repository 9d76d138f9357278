package rudderforward

import (
	"math"
	"sync"
	"time"
)

// workMemory is the time after which work counts for a third.
const workMemory = 10 * time.Second

// workMeter measures how the work of a service is divided between its models, by the time that requests
// hold their slots.
type workMeter struct {
	mu     sync.Mutex
	models map[string]map[string]*decayed // by service and model
}

type decayed struct {
	value float64
	at    time.Duration
}

func (d *decayed) decay(now time.Duration) {
	d.value *= math.Exp(-(now - d.at).Seconds() / workMemory.Seconds())
	d.at = now
}

func (m *workMeter) add(service, model string, now, held time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.models == nil {
		m.models = map[string]map[string]*decayed{}
	}
	if m.models[service] == nil {
		m.models[service] = map[string]*decayed{}
	}
	d := m.models[service][model]
	if d == nil {
		d = &decayed{at: now}
		m.models[service][model] = d
	}
	d.decay(now)
	d.value += held.Seconds()
}

// minWork is the number of slot seconds below which the division is not known.
const minWork = 10

// shares returns the part of each model, or nil when too little is known.
func (m *workMeter) shares(service string, now time.Duration) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0.0
	for _, d := range m.models[service] {
		d.decay(now)
		total += d.value
	}
	if total < minWork {
		return nil
	}
	shares := map[string]float64{}
	for model, d := range m.models[service] {
		shares[model] = d.value / total
	}
	return shares
}

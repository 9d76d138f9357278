package rudderforward

import (
	"sync"
	"time"
)

// workShares holds the work of each model of a service as reported by the models' owners.
type workShares struct {
	mu     sync.Mutex
	models map[string]map[string]time.Duration // by service and model
	// refused holds the refused part of a model's work, by service and model.
	refused map[string]map[string]refusedShare
}

// refusedShare is the mean of the refused parts of a model's work that its owners have reported of late.
type refusedShare struct {
	mean float64
	at   time.Duration // uptime of the last report
}

const (
	// refusedWeight is the weight of one report in the mean: the owners of several partitions report in turn.
	refusedWeight = 0.2
	// refusedTTL is how long a mean is valid. Owners count the work of about as long.
	refusedTTL = 10 * time.Second
)

// setRefused records the refused part of a model's work that an owner reports.
func (m *workShares) setRefused(service, model string, share float64, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refused == nil {
		m.refused = map[string]map[string]refusedShare{}
	}
	if m.refused[service] == nil {
		m.refused[service] = map[string]refusedShare{}
	}
	old, known := m.refused[service][model]
	if known && now-old.at < refusedTTL {
		share = old.mean + refusedWeight*(share-old.mean)
	}
	m.refused[service][model] = refusedShare{share, now}
}

// refusals returns the refused part of the work of each model that owners have reported within refusedTTL.
func (m *workShares) refusals(service string, now time.Duration) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	shares := map[string]float64{}
	for model, r := range m.refused[service] {
		if now-r.at < refusedTTL {
			shares[model] = r.mean
		}
	}
	return shares
}

// cost returns the time that a group needs for a request when its batch is full.
func (f *Forwarder) cost(j *job, modelName string) time.Duration {
	service := f.View.Snapshot().Table.Service(j.service)
	if service == nil || service.Engine == nil {
		return 0
	}
	model, _ := service.Engine.Model(modelName)
	return service.Engine.Cost(model, j.request.PromptTokens, j.request.AnswerTokens)
}

// set records the work that an owner reports; 0 means that the owner does not know it yet.
func (m *workShares) set(service, model string, work time.Duration) {
	if work == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.models == nil {
		m.models = map[string]map[string]time.Duration{}
	}
	if m.models[service] == nil {
		m.models[service] = map[string]time.Duration{}
	}
	m.models[service][model] = work
}

// minWork is the total work below which the shares of the models count as unknown.
const minWork = 10 * time.Second

// shares returns the share of each model in the work of a service, or nil if too little is known.
func (m *workShares) shares(service string) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := time.Duration(0)
	for _, work := range m.models[service] {
		total += work
	}
	if total < minWork {
		return nil
	}
	shares := map[string]float64{}
	for model, work := range m.models[service] {
		shares[model] = float64(work) / float64(total)
	}
	return shares
}

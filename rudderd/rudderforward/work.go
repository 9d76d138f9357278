package rudderforward

import (
	"sync"
	"time"
)

// workMeter holds how the work of a service is divided between its models, by the word of their owners.
type workMeter struct {
	mu     sync.Mutex
	models map[string]map[string]time.Duration // by service and model
}

// cost is the time that a group needs for a request at full batches.
func (f *Forwarder) cost(j *job, modelName string) time.Duration {
	service := f.View.Snapshot().Table.Service(j.service)
	if service == nil || service.Engine == nil {
		return 0
	}
	model, _ := service.Engine.Model(modelName)
	return service.Engine.Cost(model, j.request.PromptTokens, j.request.AnswerTokens)
}

// set notes an owner's word; 0 means that the owner does not know yet.
func (m *workMeter) set(service, model string, work time.Duration) {
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

// minWork is the work below which the division is not known.
const minWork = 10 * time.Second

// shares returns the part of each model, or nil when too little is known.
func (m *workMeter) shares(service string) map[string]float64 {
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

package rudderapp

import (
	"context"
	"sync"

	"comfreyrudder.example/shared/rudderhost"
)

// hostCache keeps the last host list for operators, who most need status, why-not and drain while the
// platform is failing. The planner has its own.
type hostCache struct {
	mu   sync.Mutex
	last []rudderhost.Host
}

// read returns the current list, or the last one if the current one cannot be read. It fails only if
// none has been read yet.
func (h *hostCache) read(ctx context.Context, current func(ctx context.Context) ([]rudderhost.Host, error)) ([]rudderhost.Host, error) {
	hosts, err := current(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.last = hosts
		return hosts, nil
	}
	if h.last == nil {
		return nil, err
	}
	return h.last, nil
}

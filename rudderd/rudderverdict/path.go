package rudderverdict

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// pathTargets is the number of targets to which connections are tried before the path counts as lost.
	pathTargets = 4
	// connectTimeout bounds one connection attempt, and connectDelay is the time until the next target is tried beside it.
	connectTimeout = 150 * time.Millisecond
	connectDelay   = 25 * time.Millisecond
	// pathTTL is how long the result of a check of the path is valid.
	pathTTL = 300 * time.Millisecond
	// lostTTL is how long an entry host without a path does not probe for others.
	lostTTL = time.Second
)

// path is the state of the path from this entry host to the targets of a service.
type path struct {
	mu        sync.Mutex
	running   chan struct{} // closed at the end of the running check; nil if none runs
	checkedAt time.Duration // uptime of the end of the last check; 0 before the first
	found     bool
}

// path returns the path to the targets of the same service. If t is nil, it is that to the targets of all services with
// groups.
func (d *Detector) path(t *rudderview.Target) *path {
	service := ""
	if t != nil {
		service = t.Service
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paths == nil {
		d.paths = map[string]*path{}
	}
	if d.paths[service] == nil {
		d.paths[service] = &path{}
	}
	return d.paths[service]
}

// lost reports whether a recent check has found no path.
func (p *path) lost(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checkedAt > 0 && !p.found && now-p.checkedAt < lostTTL
}

// HasPath reports whether a new connection to another target of the service of t can be opened, or to one of any service with
// groups if t is nil. It is true if there is no other target. Checks share their results.
func (d *Detector) HasPath(ctx context.Context, t *rudderview.Target) bool {
	p := d.path(t)
	p.mu.Lock()
	if running := p.running; running != nil {
		p.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
			return false
		}
		p.mu.Lock()
	} else if p.checkedAt == 0 || d.Uptime()-p.checkedAt >= pathTTL {
		running = make(chan struct{})
		p.running = running
		p.mu.Unlock()
		found := d.connect(d.pathTargets(t))
		p.mu.Lock()
		p.found, p.checkedAt, p.running = found, max(d.Uptime(), 1), nil
		close(running)
	}
	defer p.mu.Unlock()
	return p.found
}

// pathTargets returns the addresses of random other targets, each in another fabric domain if possible: the targets of one
// domain are often lost together.
func (d *Detector) pathTargets(t *rudderview.Target) []string {
	s := d.Snapshot()
	var list []*rudderview.Target
	for _, x := range s.Targets {
		if t != nil && x.Service == t.Service && x.Name != t.Name || t == nil && s.HasGroups(x.Service) {
			list = append(list, x)
		}
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	seen := map[string]bool{}
	if t != nil {
		seen[t.FabricDomain] = true
	}
	var first, rest []string
	for _, x := range list {
		if seen[x.FabricDomain] || s.Suspected(x) {
			rest = append(rest, x.Address)
			continue
		}
		seen[x.FabricDomain] = true
		first = append(first, x.Address)
	}
	first = append(first, rest...)
	return first[:min(len(first), pathTargets)]
}

// connect reports whether a connection to one of the addresses can be opened. It is true if there are none.
func (d *Detector) connect(addresses []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout+pathTargets*connectDelay)
	defer cancel()
	results := make(chan error, len(addresses))
	failures := 0
	for i, address := range addresses {
		go func() {
			attempt, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			results <- d.Connect(attempt, address)
		}()
		if i == len(addresses)-1 {
			break
		}
		select {
		case err := <-results:
			if err == nil {
				return true
			}
			failures++
		case <-time.After(connectDelay):
		}
	}
	for ; failures < len(addresses); failures++ {
		if err := <-results; err == nil {
			return true
		}
	}
	return len(addresses) == 0
}

package rudderchange

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderstore"
)

// platform is an in-memory key-value store that can be down, lose answers and revert to an older state.
type platform struct {
	mu       sync.Mutex
	entries  map[string]rudderstore.Entry
	revision int64
	changed  chan struct{}
	down     bool
	lose     int // number of answers to writes of control/config still to be lost
}

func newPlatform() *platform {
	return &platform{entries: map[string]rudderstore.Entry{}, changed: make(chan struct{})}
}

func (p *platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) get(key string) (rudderstore.Entry, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, found := p.entries[key]
	if !found {
		return e, p.revision, rudderstore.ErrNotFound
	}
	return e, p.revision, nil
}

func (p *platform) put(r rudderstore.PutRequest) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Expected != rudderstore.AnyRevision && p.entries[r.Key].Revision != r.Expected {
		return 0, rudderstore.ErrConflict
	}
	p.revision++
	p.entries[r.Key] = rudderstore.Entry{Key: r.Key, Value: r.Value, Revision: p.revision}
	p.notify()
	if r.Key == rudderconfig.Key && p.lose > 0 {
		p.lose--
		return 0, rudderstore.ErrUnknownOutcome
	}
	return p.revision, nil
}

func (p *platform) watch(ctx context.Context, q rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
	timeout := time.After(q.Wait)
	for {
		p.mu.Lock()
		result, changed := rudderstore.WatchResult{Revision: p.revision}, p.changed
		compacted := q.After > p.revision
		for key, e := range p.entries {
			for _, prefix := range q.Prefixes {
				if strings.HasPrefix(key, prefix) && e.Revision > q.After {
					result.Events = append(result.Events, rudderstore.Event{Entry: e})
					break
				}
			}
		}
		p.mu.Unlock()
		switch {
		case compacted:
			return rudderstore.WatchResult{}, rudderstore.ErrCompacted
		case len(result.Events) > 0:
			return result, nil
		}
		select {
		case <-ctx.Done():
			return rudderstore.WatchResult{}, rudderstore.ErrUnavailable
		case <-timeout:
			return result, nil
		case <-changed:
		}
	}
}

// snapshot returns a function that restores the current state.
func (p *platform) snapshot() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries, revision := maps.Clone(p.entries), p.revision
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.entries, p.revision = maps.Clone(entries), revision
		p.notify()
	}
}

func putMembers(value string, expected int64) rudderstore.PutRequest {
	return rudderstore.PutRequest{Key: ruddermember.RegistryKey, Value: []byte(value), Expected: expected}
}

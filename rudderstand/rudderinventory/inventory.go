// Package rudderinventory simulates the platform's list of hosts, which shows a change only after a lag.
package rudderinventory

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/shared/rudderhost"
)

// Inventory is the host list. Set the exported fields before the first call.
type Inventory struct {
	// Clock times the lag; nil means the real clock.
	Clock clockwork.Clock
	// Lag is the time from a change to its appearance in the list.
	Lag time.Duration

	mu      sync.Mutex
	down    bool
	shown   map[string]rudderhost.Host // what readers see, by name
	pending []change
}

// change is an update of one host that becomes visible at a time.
type change struct {
	at   time.Time
	name string
	host *rudderhost.Host // nil removes the host
}

// Set replaces the list and all pending changes without a lag.
func (i *Inventory) Set(hosts []rudderhost.Host) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = nil
	i.shown = map[string]rudderhost.Host{}
	for _, h := range hosts {
		i.shown[h.Name] = h
	}
}

// Put adds or replaces a host after the lag.
func (i *Inventory) Put(host rudderhost.Host) { i.add(change{name: host.Name, host: &host}) }

// Remove removes a host from the list after the lag.
func (i *Inventory) Remove(name string) { i.add(change{name: name}) }

// SetState changes a host's state after the lag. Unknown names are ignored.
func (i *Inventory) SetState(name string, state rudderhost.State) {
	i.mu.Lock()
	host, found := i.shown[name]
	for _, c := range i.pending {
		if c.name == name && c.host != nil {
			host, found = *c.host, true
		}
	}
	i.mu.Unlock()
	if found {
		host.State = state
		i.Put(host)
	}
}

// SetDown makes the list refuse reads with ErrUnavailable, or ends that.
func (i *Inventory) SetDown(down bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.down = down
}

func (i *Inventory) add(c change) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c.at = i.now().Add(i.Lag)
	i.pending = append(i.pending, c)
}

func (i *Inventory) now() time.Time {
	if i.Clock == nil {
		return time.Now()
	}
	return i.Clock.Now()
}

// List returns an in-process client.
func (i *Inventory) List() *rudderhost.List {
	return &rudderhost.List{Hosts: func(context.Context) ([]rudderhost.Host, error) { return i.hosts() }}
}

// hosts applies the changes that are due and returns the list in order of name.
func (i *Inventory) hosts() ([]rudderhost.Host, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down {
		return nil, rudderhost.ErrUnavailable
	}
	if i.shown == nil {
		i.shown = map[string]rudderhost.Host{}
	}
	now := i.now()
	for len(i.pending) > 0 && !i.pending[0].at.After(now) {
		c := i.pending[0]
		i.pending = i.pending[1:]
		if c.host == nil {
			delete(i.shown, c.name)
			continue
		}
		i.shown[c.name] = *c.host
	}
	hosts := make([]rudderhost.Host, 0, len(i.shown))
	for _, name := range slices.Sorted(maps.Keys(i.shown)) {
		hosts = append(hosts, i.shown[name])
	}
	return hosts, nil
}

// Handler returns the list's HTTP API: GET /v1/hosts.
func (i *Inventory) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		hosts, err := i.hosts()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the caller has disconnected.
		_ = json.NewEncoder(w).Encode(hosts)
	})
	return mux
}

package rudderedge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// relayDialTimeout bounds the set-up of a connection to an entry host that relays requests.
	relayDialTimeout = 400 * time.Millisecond
	// relayedPerCore is the number of requests per core that are relayed at once for other entry hosts, and defaultRelayed
	// the number if the capacity is not known.
	relayedPerCore = 256
	defaultRelayed = 256
	// minRelayed is the least number.
	minRelayed = 32
)

// newPath returns the monitor of the paths to targets. Its checks dial as requests do.
func (e *Edge) newPath() *rudderpath.Monitor {
	return &rudderpath.Monitor{
		Uptime: e.uptime,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			e.count("path.checks")
			return e.forwarder.Client.Transport.(*http.Transport).DialContext(ctx, network, address)
		},
		Targets:    e.pathTargets,
		EntryHosts: func() int { return len(e.view.Snapshot().EntryHosts) },
		OnChange: func(t rudderpath.Target, reachable bool) {
			e.Logger.Info().Str("target", t.Name).Int64("born", t.Born).Bool("reachable", reachable).Bool("isolated", e.path.Isolated()).
				Msg("path to a target changed")
		},
	}
}

func (e *Edge) pathTargets() []rudderpath.Target {
	snapshot := e.view.Snapshot()
	list := make([]rudderpath.Target, 0, len(snapshot.Targets))
	for _, t := range snapshot.Targets {
		list = append(list, rudderpath.Target{Name: t.Name, Born: t.Born, Service: t.Service, Address: t.Address})
	}
	return list
}

// newRelay returns the client for requests that go through other entry hosts. It has connections of its own, so that
// long responses do not delay other calls.
func (e *Edge) newRelay() *rudderpath.Relay {
	e.pathPeers = &pathPeers{edge: e}
	dialer := Dialer()
	dialer.Timeout = relayDialTimeout
	return &rudderpath.Relay{
		Uptime: e.uptime, Responses: e.Account.Budgets.Responses,
		Transport: &rudderpeer.Transport{
			Keys: e.peers.keys, Clock: clockwork.NewRealClock(), Base: &rudderpeer.Pool{Dial: dialer.DialContext},
		},
		Peers: e.pathPeers.of,
	}
}

// pathPeers caches the other entry hosts of a snapshot.
type pathPeers struct {
	edge *Edge

	mu       sync.Mutex
	snapshot *rudderview.Snapshot
	list     []rudderpath.Peer
}

func (p *pathPeers) of() []rudderpath.Peer {
	snapshot := p.edge.view.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot == snapshot {
		return p.list
	}
	p.snapshot, p.list = snapshot, nil
	for _, x := range snapshot.EntryHosts {
		if x.Peer != "" && x.Name != p.edge.Settings.Name {
			p.list = append(p.list, rudderpath.Peer{Name: x.Name, Address: x.Peer})
		}
	}
	return p.list
}

// maxRelayed bounds the requests that this entry host relays at once.
func (e *Edge) maxRelayed() int {
	if e.Settings.Capacity <= 0 {
		return defaultRelayed
	}
	return max(minRelayed, int(relayedPerCore*e.Settings.Capacity))
}

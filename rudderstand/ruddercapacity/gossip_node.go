package ruddercapacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderchange"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

// countedConn adds the bytes read and written on a connection to a counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

// gossipNode runs the membership and configuration parts of an entry host, with real peer calls over loopback.
type gossipNode struct {
	node       *ruddermember.Node
	registrar  *ruddermember.Registrar
	controller *rudderchange.Controller
	bytes      atomic.Int64 // sent and received on peer connections
	calls      atomic.Int64
	silent     atomic.Bool // accepts calls without answering, and gets no watch events from the store
	server     *http.Server
	pool       *rudderpeer.Pool
	listener   net.Listener
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// gossipFleet holds the nodes of one measurement.
type gossipFleet struct {
	nodes []*gossipNode
	// pollAll replaces gossip by the baseline, in which each node polls every other node once per interval.
	pollAll bool
}

// startGossipFleet starts size nodes, spread over regions and data centres. The first and the middle node are
// the seeds of all.
func startGossipFleet(size int, store rudderstore.Store, ttl time.Duration, pollAll bool) (*gossipFleet, error) {
	f := &gossipFleet{pollAll: pollAll}
	for i := range size {
		n, err := newGossipNode(i, store, ttl)
		if err != nil {
			f.stop()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.node.Seeds = []string{f.nodes[0].node.Self.PeerAddress, f.nodes[size/2].node.Self.PeerAddress}
		f.run(n)
	}
	return f, nil
}

func newGossipNode(i int, store rudderstore.Store, ttl time.Duration) (*gossipNode, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &gossipNode{listener: listener, pool: &rudderpeer.Pool{}}
	n.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{c, &n.bytes}, nil
	}
	clock := clockwork.NewRealClock()
	keys := rudderpeer.NewKeyring([]byte("measurement"))
	client := &http.Client{Transport: &rudderpeer.Transport{Keys: keys, Clock: clock, Base: n.pool}}
	dataCentre := i % designDataCentres
	n.node = &ruddermember.Node{
		Self: ruddermember.Member{
			Name: fmt.Sprintf("entry-%03d", i), PeerAddress: listener.Addr().String(),
			CallerAddress: listener.Addr().String(),
			Region:        fmt.Sprintf("region-%d", dataCentre%designRegions), DataCentre: fmt.Sprintf("dc-%d", dataCentre),
		},
		Incarnation: 1, Clock: clock, Peer: ruddermember.NewPeer(client),
		Load: func() ruddermember.Load { return ruddermember.Load{InFlight: 300 + i, QueuePermille: 250} },
	}
	store = n.withWatchBlockedWhenSilent(store)
	n.registrar = &ruddermember.Registrar{Node: n.node, Store: store, Clock: clock, PermitTTL: ttl}
	n.controller = &rudderchange.Controller{Node: n.node, Registrar: n.registrar, Store: store, Clock: clock, PermitTTL: ttl}
	n.controller.Connect()
	verifier := &rudderpeer.Verifier{Keys: keys, Clock: clock, Host: listener.Addr().String()}
	handler := verifier.Wrap(rudderpeer.NewMembershipServer(n.node))
	n.server = rudderpeer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.calls.Add(1)
		if n.silent.Load() {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	return n, nil
}

// withWatchBlockedWhenSilent wraps a store so that a silent node receives no watch events. Its other
// calls to the store go on.
func (n *gossipNode) withWatchBlockedWhenSilent(store rudderstore.Store) rudderstore.Store {
	watch := store.Watch
	store.Watch = func(ctx context.Context, q rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
		result, err := watch(ctx, q)
		if n.silent.Load() {
			<-ctx.Done()
			return rudderstore.WatchResult{}, rudderstore.ErrUnavailable
		}
		return result, err
	}
	return store
}

func (f *gossipFleet) run(n *gossipNode) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.running.Go(func() { _ = n.server.Serve(countedListener{n.listener, &n.bytes}) })
	n.running.Go(func() { _ = n.registrar.Run(ctx) })
	n.running.Go(func() { _ = n.controller.Run(ctx) })
	if f.pollAll {
		n.running.Go(func() { f.pollAllMembers(ctx, n) })
		return
	}
	n.running.Go(func() { _ = n.node.Run(ctx) })
}

// pollAllMembers is the polling baseline: it calls every other member once per gossip interval.
func (f *gossipFleet) pollAllMembers(ctx context.Context, n *gossipNode) {
	for {
		n.node.AdvanceHeartbeat()
		var calls sync.WaitGroup
		for _, m := range n.node.Members() {
			if m.Name == n.node.Self.Name {
				continue
			}
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, ruddermember.GossipInterval)
				defer cancel()
				q := &rudderpeer.AcknowledgeRequest{
					Caller: n.node.Self.PeerAddress, ConfigVersion: n.controller.Version().Number,
					RegistryVersion: n.node.Registry().Version, // otherwise each response would carry the whole registry
				}
				_, _ = n.node.Peer.Acknowledge(ctx, m.PeerAddress, q)
			})
		}
		select {
		case <-ctx.Done():
			calls.Wait()
			return
		case <-time.After(ruddermember.GossipInterval):
		}
		calls.Wait()
	}
}

func (f *gossipFleet) stop() {
	for _, n := range f.nodes {
		if n.cancel != nil {
			n.cancel()
		}
		_ = n.server.Close()
		_ = n.listener.Close()
	}
	for _, n := range f.nodes {
		n.running.Wait()
		n.pool.CloseIdleConnections()
	}
}

// inMemoryStore is a key-value store without a network, so that its traffic is not counted as that of the
// nodes. It implements only the calls that the configuration and the registry use.
type inMemoryStore struct {
	mu       sync.Mutex
	entries  map[string]rudderstore.Entry
	revision int64
	changed  chan struct{}
}

func newInMemoryStore() rudderstore.Store {
	s := &inMemoryStore{entries: map[string]rudderstore.Entry{}, changed: make(chan struct{})}
	return rudderstore.Store{
		Get: s.get, Put: s.put, Watch: s.watch,
		Delete: func(context.Context, string, int64) (int64, error) { return 0, rudderstore.ErrNotFound },
	}
}

func (s *inMemoryStore) get(_ context.Context, key string) (rudderstore.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.entries[key]
	if !found {
		return e, s.revision, rudderstore.ErrNotFound
	}
	return e, s.revision, nil
}

func (s *inMemoryStore) put(_ context.Context, r rudderstore.PutRequest) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Expected != rudderstore.AnyRevision && s.entries[r.Key].Revision != r.Expected {
		return 0, rudderstore.ErrConflict
	}
	s.revision++
	s.entries[r.Key] = rudderstore.Entry{Key: r.Key, Value: r.Value, Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, nil
}

func (s *inMemoryStore) watch(ctx context.Context, q rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
	timeout := time.NewTimer(q.Wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		result, changed := rudderstore.WatchResult{Revision: s.revision}, s.changed
		for key, e := range s.entries {
			for _, prefix := range q.Prefixes {
				if strings.HasPrefix(key, prefix) && e.Revision > q.After {
					result.Events = append(result.Events, rudderstore.Event{Entry: e})
					break
				}
			}
		}
		s.mu.Unlock()
		if len(result.Events) > 0 {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return rudderstore.WatchResult{}, rudderstore.ErrUnavailable
		case <-timeout.C:
			return result, nil
		case <-changed:
		}
	}
}

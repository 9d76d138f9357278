package rudderfaults

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Names of parties that are neither entry hosts nor targets.
const (
	partyCaller   = "caller"
	partyKeyValue = "key-value"
	partyList     = "host-list"
)

// dialTimeout is that of rudderd, so that a cut looks the same to it.
const dialTimeout = time.Second

// Network carries the connections between named parties and can cut single directions. A cut is
// silent: bytes wait until it ends, as with packet loss, and nobody is told. The zero value is ready.
type Network struct {
	mu      sync.Mutex
	names   map[string]string // party by address
	cuts    map[direction]bool
	severed map[string]bool
	change  chan struct{} // closed and replaced at every change
	conns   map[*link]struct{}
}

// direction is a flow of bytes. An empty name stands for any party.
type direction struct{ from, to string }

// Name tells which party listens at an address.
func (n *Network) Name(address, party string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	n.names[address] = party
}

func (n *Network) init() {
	if n.names == nil {
		n.names, n.cuts, n.severed = map[string]string{}, map[direction]bool{}, map[string]bool{}
		n.conns, n.change = map[*link]struct{}{}, make(chan struct{})
	}
}

func (n *Network) partyAt(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	if party, known := n.names[address]; known {
		return party
	}
	return address
}

// Cut stops the flow of bytes from one party to another, or lets it go on. An empty name stands for
// any party.
func (n *Network) Cut(from, to string, cut bool) {
	n.update(func() {
		if cut {
			n.cuts[direction{from, to}] = true
		} else {
			delete(n.cuts, direction{from, to})
		}
	})
}

// Partition stops the flow between two parties in both directions, or lets it go on.
func (n *Network) Partition(a, b string, cut bool) {
	n.Cut(a, b, cut)
	n.Cut(b, a, cut)
}

// Sever closes all connections of a party and refuses new ones, as the end of its process does. Other
// processes under the same name are possible again after Rejoin.
func (n *Network) Sever(party string) {
	n.update(func() { n.severed[party] = true })
	n.closeConns(func(l *link) bool { return l.from == party || l.to == party })
}

// Reconnect ends Sever.
func (n *Network) Reconnect(party string) {
	n.update(func() { delete(n.severed, party) })
}

// BlackholeOpen makes the connections that exist now silent for good. New ones work.
func (n *Network) BlackholeOpen() {
	n.update(func() {
		for l := range n.conns {
			l.silent = true
		}
	})
}

// Heal ends all cuts. Connections that are silent for good stay so.
func (n *Network) Heal() {
	n.update(func() { n.cuts = map[direction]bool{} })
}

// Close closes all connections.
func (n *Network) Close() {
	n.closeConns(func(*link) bool { return true })
}

func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	change()
	close(n.change)
	n.change = make(chan struct{})
}

func (n *Network) closeConns(matches func(*link) bool) {
	n.mu.Lock()
	var matched []*link
	for l := range n.conns {
		if matches(l) {
			matched = append(matched, l)
		}
	}
	n.mu.Unlock()
	for _, l := range matched {
		_ = l.Close()
	}
}

// blocked needs the mutex.
func (n *Network) blocked(from, to string) bool {
	return n.cuts[direction{from, to}] || n.cuts[direction{from, ""}] || n.cuts[direction{"", to}]
}

// Dial returns the dial function of a party.
func (n *Network) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := n.partyAt(address)
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		for {
			n.mu.Lock()
			refused := n.severed[from] || n.severed[to]
			waits := n.blocked(from, to) || n.blocked(to, from)
			change := n.change
			n.mu.Unlock()
			if refused {
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			}
			if !waits {
				break
			}
			select {
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
			case <-change:
			}
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		l := &link{Conn: inner, network: n, from: from, to: to, closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[l] = struct{}{}
		n.mu.Unlock()
		return l, nil
	}
}

// link is one connection.
type link struct {
	net.Conn
	network  *Network
	from, to string
	silent   bool // guarded by the network's mutex

	once   sync.Once
	closed chan struct{}
}

// pass waits until bytes can flow. It returns net.ErrClosed when the connection is closed first.
func (l *link) pass(from, to string) error {
	n := l.network
	for {
		n.mu.Lock()
		waits := l.silent || n.blocked(from, to)
		change := n.change
		n.mu.Unlock()
		select {
		case <-l.closed:
			return net.ErrClosed
		default:
		}
		if !waits {
			return nil
		}
		select {
		case <-l.closed:
			return net.ErrClosed
		case <-change:
		}
	}
}

// Read implements net.Conn. Bytes that arrive during a cut wait for its end.
func (l *link) Read(b []byte) (int, error) {
	count, err := l.Conn.Read(b)
	if passed := l.pass(l.to, l.from); passed != nil {
		return 0, passed
	}
	return count, err
}

// Write implements net.Conn.
func (l *link) Write(b []byte) (int, error) {
	if err := l.pass(l.from, l.to); err != nil {
		return 0, err
	}
	return l.Conn.Write(b)
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.conns, l)
		l.network.mu.Unlock()
	})
	return l.Conn.Close()
}

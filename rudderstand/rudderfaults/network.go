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

// dialTimeout equals the dial timeout of rudderd, so that rudderd sees a cut as it would in production.
const dialTimeout = time.Second

// Network dials the connections between named parties and can block each direction separately. A cut gives no
// error: bytes are held until it ends, as with packet loss. The zero value is ready to use.
type Network struct {
	mu      sync.Mutex
	names   map[string]string // party by address
	cuts    map[direction]bool
	severed map[string]bool
	change  chan struct{} // closed and replaced at every change, to wake waiting connections
	conns   map[*faultConn]struct{}
}

// direction is the flow of bytes from one party to another. An empty name matches any party.
type direction struct{ from, to string }

// Register registers the party that listens at an address.
func (n *Network) Register(address, party string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	n.names[address] = party
}

func (n *Network) init() {
	if n.names == nil {
		n.names, n.cuts, n.severed = map[string]string{}, map[direction]bool{}, map[string]bool{}
		n.conns, n.change = map[*faultConn]struct{}{}, make(chan struct{})
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

// Cut blocks (cut is true) or unblocks the flow of bytes from one party to another. An empty name matches any
// party.
func (n *Network) Cut(from, to string, cut bool) {
	n.update(func() {
		if cut {
			n.cuts[direction{from, to}] = true
		} else {
			delete(n.cuts, direction{from, to})
		}
	})
}

// Partition blocks or unblocks the flow between two parties in both directions.
func (n *Network) Partition(a, b string, cut bool) {
	n.Cut(a, b, cut)
	n.Cut(b, a, cut)
}

// Sever closes all connections of a party and refuses new ones, as if its process had ended. After Reconnect a
// new process can use the same name.
func (n *Network) Sever(party string) {
	n.update(func() { n.severed[party] = true })
	n.closeConns(func(c *faultConn) bool { return c.from == party || c.to == party })
}

// Reconnect undoes Sever: the party can open and accept connections again.
func (n *Network) Reconnect(party string) {
	n.update(func() { delete(n.severed, party) })
}

// BlackholeOpen stops all traffic on the connections that are open now, permanently and without an error. New
// connections work.
func (n *Network) BlackholeOpen() {
	n.update(func() {
		for c := range n.conns {
			c.blackholed = true
		}
	})
}

// Heal ends all cuts. It does not restore connections that BlackholeOpen or Sever has hit.
func (n *Network) Heal() {
	n.update(func() { n.cuts = map[direction]bool{} })
}

// Close closes all connections.
func (n *Network) Close() {
	n.closeConns(func(*faultConn) bool { return true })
}

func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	change()
	close(n.change)
	n.change = make(chan struct{})
}

func (n *Network) closeConns(matches func(*faultConn) bool) {
	n.mu.Lock()
	var matched []*faultConn
	for c := range n.conns {
		if matches(c) {
			matched = append(matched, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matched {
		_ = c.Close()
	}
}

// blocked reports whether a cut covers the direction. The caller holds the mutex.
func (n *Network) blocked(from, to string) bool {
	return n.cuts[direction{from, to}] || n.cuts[direction{from, ""}] || n.cuts[direction{"", to}]
}

// Dial returns the dial function that a party uses for its outgoing connections.
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
		c := &faultConn{Conn: inner, network: n, from: from, to: to, closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

// faultConn is a connection whose reads and writes obey the cuts of its network.
type faultConn struct {
	net.Conn
	network    *Network
	from, to   string
	blackholed bool // guarded by the network's mutex

	once   sync.Once
	closed chan struct{}
}

// awaitFlow blocks while the direction is cut. It returns net.ErrClosed if the connection is closed meanwhile.
func (c *faultConn) awaitFlow(from, to string) error {
	n := c.network
	for {
		n.mu.Lock()
		waits := c.blackholed || n.blocked(from, to)
		change := n.change
		n.mu.Unlock()
		select {
		case <-c.closed:
			return net.ErrClosed
		default:
		}
		if !waits {
			return nil
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-change:
		}
	}
}

// Read implements net.Conn. Bytes that arrive during a cut are delivered when it ends.
func (c *faultConn) Read(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	if passed := c.awaitFlow(c.to, c.from); passed != nil {
		return 0, passed
	}
	return count, err
}

// Write implements net.Conn.
func (c *faultConn) Write(b []byte) (int, error) {
	if err := c.awaitFlow(c.from, c.to); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

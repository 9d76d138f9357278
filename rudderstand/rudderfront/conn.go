package rudderfront

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// gate blocks traffic while it is shut.
type gate struct {
	mu       sync.Mutex
	released chan struct{} // nil while open
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.released == nil:
		g.released = make(chan struct{})
	case !shut && g.released != nil:
		close(g.released)
		g.released = nil
	}
}

// wait blocks until the gate is open. It reports false if the channel is closed first.
func (g *gate) wait(closed <-chan struct{}) bool {
	for {
		g.mu.Lock()
		released := g.released
		g.mu.Unlock()
		if released == nil {
			return true
		}
		select {
		case <-released:
		case <-closed:
			return false
		}
	}
}

// listener wraps accepted connections in conn.
type listener struct {
	net.Listener
	front *Front
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.front.accept(inner), nil
}

// conn is a connection whose traffic passes only while all of its gates are open.
type conn struct {
	net.Conn
	front  *Front
	gates  []*gate
	once   sync.Once
	closed chan struct{}
}

// Read returns data or the peer's close only while all gates are open. Timeouts are returned at once, because
// the HTTP server interrupts its own reads with deadlines.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	var timeout net.Error
	if n == 0 && errors.As(err, &timeout) && timeout.Timeout() {
		return n, err
	}
	if !c.pass() {
		return 0, net.ErrClosed
	}
	return n, err
}

// pass waits until all gates are open. It reports false if the connection is closed first.
func (c *conn) pass() bool {
	for _, g := range c.gates {
		if !g.wait(c.closed) {
			return false
		}
	}
	return true
}

func (c *conn) Write(data []byte) (int, error) {
	if !c.pass() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.front.forget(c)
	})
	return c.Conn.Close()
}

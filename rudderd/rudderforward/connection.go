package rudderforward

import (
	"context"
	"net"
	"sync/atomic"
)

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// trackedConn counts the bytes that are written to a connection.
type trackedConn struct {
	net.Conn
	written atomic.Int64
}

// TrackWrites returns a Dial whose connections show whether any byte of a failed send was written. The HTTP client
// reports a request as written once it is in its buffer.
func TrackWrites(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// NetConn returns the connection within.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// sendConn is the connection of one send.
type sendConn struct {
	net.Conn
	reused  bool
	written int64 // bytes that were written to it before
}

func newSendConn(c net.Conn, reused bool) *sendConn {
	s := &sendConn{Conn: c, reused: reused}
	if tracked, ok := c.(*trackedConn); ok {
		s.written = tracked.written.Load()
	}
	return s
}

// unwritten reports whether no byte of the send was written. It is false for a connection without TrackWrites.
func (c *sendConn) unwritten() bool {
	tracked, ok := c.Conn.(*trackedConn)
	return ok && tracked.written.Load() == c.written
}

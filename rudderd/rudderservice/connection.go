package rudderservice

import (
	"context"
	"net"
	"sync/atomic"
)

// countedConn counts the bytes that a connection has accepted.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func countWrites(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// NetConn returns the connection within.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// writeWatch finds out whether a call was written to its connection.
type writeWatch struct {
	head       atomic.Bool // the HTTP client reports a head as written once it is in its buffer
	connection atomic.Pointer[countedConn]
	before     atomic.Int64 // bytes that the connection had accepted before the call
}

// start begins to watch a connection.
func (w *writeWatch) start(c net.Conn) {
	counted, _ := c.(*countedConn)
	if counted != nil {
		w.before.Store(counted.written.Load())
	}
	w.connection.Store(counted)
}

// sent reports whether the head of the call may have been written to the latest connection.
func (w *writeWatch) sent() bool {
	c := w.connection.Load()
	return w.head.Load() && (c == nil || c.written.Load() != w.before.Load())
}

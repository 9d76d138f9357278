package rudderpath

import (
	"context"
	"net"
	"sync/atomic"
)

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// countedConn counts the bytes that are written to a connection.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// CountWrites returns a Dial whose connections show whether any byte of a failed send was written. The HTTP client
// reports a request as written once it is in its buffer.
func CountWrites(dial Dial) Dial {
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

// Written returns the number of bytes that were written to a connection. ok is false if they are not counted.
func Written(c net.Conn) (bytes int64, ok bool) {
	counted, ok := c.(*countedConn)
	if !ok {
		return 0, false
	}
	return counted.written.Load(), true
}

package rudderpath

import (
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
)

// maxRequests is the number of requests that one connection carries. It bounds the memory for their IDs.
const maxRequests = 512

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// trackedConn counts the bytes that are written to a connection, and remembers the IDs of the requests on it.
type trackedConn struct {
	net.Conn
	written atomic.Int64

	mu      sync.Mutex
	ids     []uint64 // hashes, in the order of the claims
	retired bool
}

// hashSeed keeps callers from choosing IDs with the same hash.
var hashSeed = maphash.MakeSeed()

// Track returns a Dial whose connections can be used with Written and Claim.
func Track(dial Dial) Dial {
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

// Written returns the number of bytes that were written to a connection, which shows whether any byte of a failed send was written:
// the HTTP client reports a request as written once it is in its buffer. ok is false if they are not counted.
func Written(c net.Conn) (bytes int64, ok bool) {
	tracked, ok := c.(*trackedConn)
	if !ok {
		return 0, false
	}
	return tracked.written.Load(), true
}

// Claim reports whether a request with an ID may be sent on a connection, and records the ID. No ID may be sent twice: a target may
// write a response once more at any time, and only the ID tells which request it belongs to. The caller closes a connection that it
// cannot claim. A connection that is not tracked can always be claimed.
func Claim(c net.Conn, id string) bool {
	tracked, ok := c.(*trackedConn)
	if !ok {
		return true
	}
	hash := maphash.String(hashSeed, id)
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	if tracked.retired || len(tracked.ids) >= maxRequests || slices.Contains(tracked.ids, hash) {
		return false
	}
	tracked.ids = append(tracked.ids, hash)
	return true
}

// Retire keeps a connection from being claimed after the request with an ID, whose exchange has ended. It closes the connection unless
// another request, which its client may have written already, has claimed it meanwhile.
func Retire(c net.Conn, id string) {
	tracked, ok := c.(*trackedConn)
	if !ok {
		return
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	tracked.retired = true
	if n := len(tracked.ids); n > 0 && tracked.ids[n-1] == maphash.String(hashSeed, id) {
		_ = tracked.Close()
	}
}

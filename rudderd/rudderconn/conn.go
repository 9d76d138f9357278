package rudderconn

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// pieceBytes is the size of the parts in which a write is made, so that its progress is seen.
const pieceBytes = 16 << 10

// errUnsupported reports a connection without a socket.
var errUnsupported = errors.New("connection has no socket")

// phase is what a connection with a request does.
type phase int

const (
	phaseOther phase = iota // waits for a request, or its request is being served
	phaseBody               // a body has not ended
)

// conn is one connection of a caller.
type conn struct {
	net.Conn
	table *Table
	waits *list.Element // in the waiting ones; nil while a request is being served. Guarded by the table's lock.

	mu      sync.Mutex
	phase   phase
	moved   time.Time // last progress of the body
	arrived int       // bytes since moved
	writing time.Time // begin or last progress of the write that is under way; zero without one
	renewed time.Time // when the write deadline was set
	stopped bool      // the body is not read any further
	service string    // of the last request
}

func (c *conn) setPhase(p phase, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.moved, c.arrived, c.stopped = p, now, 0, false
}

// stalled returns how long the body or the response has made no progress, and which of them, if that is long enough to end it.
func (c *conn) stalled(now time.Time) (stalled time.Duration, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := stallTimeout
	switch {
	case !c.writing.IsZero():
		stalled, kind, least = now.Sub(c.writing), ReasonUnread, unreadTimeout
	case c.phase == phaseBody:
		stalled, kind = now.Sub(c.moved), ReasonBody
	}
	if stalled < least {
		return 0, ""
	}
	return stalled, kind
}

// bodyStopped reports whether the body is not read any further.
func (c *conn) bodyStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// serves reports whether the last request was one of a service.
func (c *conn) serves(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service == service
}

// stopBody makes the read of the body fail, so that its request is refused.
func (c *conn) stopBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrived += n; c.arrived >= progressBytes {
		c.moved, c.arrived = c.table.time(), 0
	}
	return n, err
}

// Write implements net.Conn. Each part has to be taken within writeTimeout.
func (c *conn) Write(p []byte) (written int, err error) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writing = time.Time{}
	}()
	for {
		c.beginPiece()
		n, err := c.Conn.Write(p[written:min(written+pieceBytes, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// beginPiece notes the begin of a part and renews the write deadline, at most once a second.
func (c *conn) beginPiece() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.table.time()
	c.writing = now
	if now.Sub(c.renewed) >= time.Second {
		c.renewed = now
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout + time.Second))
	}
}

// SetWriteDeadline implements net.Conn. The next write sets its own deadline.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewed = time.Time{}
	return c.Conn.SetWriteDeadline(at)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.table.remove(c)
	return c.Conn.Close()
}

// CloseWrite ends the sending side of the connection.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errUnsupported
}

package ruddertestnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// bufferBytes is the number of bytes that are on their way in one direction before the sender blocks.
const bufferBytes = 64 << 10

// stream is one direction of a connection.
type stream struct {
	mu       sync.Mutex
	changed  *sync.Cond
	data     []byte
	ended    bool // by the sender
	broken   bool // reset, or closed by the receiver
	deadline [2]deadline
}

// The deadlines of a stream.
const (
	reading = iota
	writing
)

type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newStream() *stream {
	s := &stream{}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.changed.Broadcast()
}

func (s *stream) setDeadline(side int, at time.Time) {
	s.update(func() {
		if old := s.deadline[side].timer; old != nil {
			old.Stop()
		}
		s.deadline[side] = deadline{at: at}
		// In a bubble the race detector of Go 1.26 fails if a timer that is due at once starts beside another one.
		if left := time.Until(at); left > 0 {
			s.deadline[side].timer = time.AfterFunc(left, s.changed.Broadcast)
		}
	})
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.deadline[reading].passed():
			return 0, os.ErrDeadlineExceeded
		case len(s.data) > 0 || len(p) == 0: // on Linux also after a reset
			n := copy(p, s.data)
			s.data = s.data[n:]
			s.changed.Broadcast()
			return n, nil
		case s.broken:
			return 0, syscall.ECONNRESET
		case s.ended:
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

func (s *stream) write(p []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n < len(p) {
		switch space := bufferBytes - len(s.data); {
		case s.deadline[writing].passed():
			return n, os.ErrDeadlineExceeded
		case s.broken, s.ended:
			return n, syscall.EPIPE
		case space > 0:
			more := p[n:min(n+space, len(p))]
			s.data = append(s.data, more...)
			n += len(more)
			s.changed.Broadcast()
		default:
			s.changed.Wait()
		}
	}
	return n, nil
}

// conn is one end of a connection.
type conn struct {
	in, out       *stream
	local, remote net.Addr
	mu            sync.Mutex
	closed        bool
}

func pair(from, to net.Addr) (client, server *conn) {
	a, b := newStream(), newStream()
	return &conn{in: a, out: b, local: from, remote: to}, &conn{in: b, out: a, local: to, remote: from}
}

func (c *conn) failed(operation string, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		err = net.ErrClosed
	}
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: operation, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.read(p)
	return n, c.failed("read", err)
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p)
	return n, c.failed("write", err)
}

// Close closes the connection. The other end reads what has been sent and then its end, or a reset if this one has not read all.
func (c *conn) Close() error {
	c.mu.Lock()
	again := c.closed
	c.closed = true
	c.mu.Unlock()
	if again {
		return net.ErrClosed
	}
	unread := false
	c.in.update(func() { unread, c.in.broken, c.in.data = len(c.in.data) > 0, true, nil })
	c.out.update(func() { c.out.ended, c.out.broken = true, c.out.broken || unread })
	return c.SetDeadline(time.Time{})
}

// CloseWrite ends what this end sends. It can still read.
func (c *conn) CloseWrite() error {
	c.out.update(func() { c.out.ended = true })
	return nil
}

func (c *conn) reset() {
	for _, s := range []*stream{c.in, c.out} {
		s.update(func() { s.broken = true })
	}
}

// SetLinger with 0 makes Close reset the connection, like that of a net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if seconds == 0 {
		c.reset()
	}
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(at time.Time) error {
	_ = c.SetReadDeadline(at)
	return c.SetWriteDeadline(at)
}

func (c *conn) SetReadDeadline(at time.Time) error {
	c.in.setDeadline(reading, at)
	return nil
}

func (c *conn) SetWriteDeadline(at time.Time) error {
	c.out.setDeadline(writing, at)
	return nil
}

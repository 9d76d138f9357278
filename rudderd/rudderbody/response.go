package rudderbody

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// MaxHeadBytes bounds the head of one response.
	MaxHeadBytes = 64 << 10
	// freeHeadBytes is what a head takes without a reservation, less than the buffers and goroutines of its connection, so that
	// responses of usual size need none. What arrives with a head in one read counts too.
	freeHeadBytes = 12 << 10
	// headCopies is the number of copies of a head that are held while it is parsed.
	headCopies = 2
	// fieldBytes is what a parsed header field takes beside its text. A head of empty fields takes 15 times its length.
	fieldBytes = 128
	// wholeCopies is the number of copies of a body that a client holds that reads it as a whole and decodes it.
	wholeCopies = 2
)

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function whose connections reserve memory for the heads that arrive on them, for requests that are sent
// with Do.
func (b *Budget) Dial(dial dialFunc) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil || b == nil {
			return c, err
		}
		return &meteredConn{Conn: c}, nil
	}
}

// Do sends a request and reserves memory for the head of its response until the response's body is closed. The error is
// ErrNoMemory if there is none; the request has been sent then.
func (b *Budget) Do(r *http.Request, send func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	return b.do(r, send, 0)
}

func (b *Budget) do(r *http.Request, send func(*http.Request) (*http.Response, error), bodyCopies int64) (*http.Response, error) {
	if b == nil {
		return send(r)
	}
	m := &responseMemory{reservation: b.ReservationAbove(freeHeadBytes, 1)}
	var used atomic.Pointer[meteredConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c := metered(info.Conn); c != nil {
			c.head.Store(m)
			used.Store(c)
		}
	}}
	response, err := send(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	c := used.Load()
	if c != nil {
		c.head.CompareAndSwap(m, nil)
	} else if err == nil {
		_ = m.add(headerMemory(response.Header)) // HTTP/2, or another transport
	}
	if full := m.full(); full != nil {
		if err == nil {
			_ = response.Body.Close()
		}
		err = full
	}
	if err != nil {
		m.release()
		return nil, err
	}
	response.Body = &meteredBody{ReadCloser: response.Body, memory: m, copies: bodyCopies}
	return response, nil
}

// Transport is an http.RoundTripper for clients that read responses as a whole: it reserves memory for their heads and their
// bodies until the bodies are closed. Base's connections have to come from Dial, but for HTTP/2.
type Transport struct {
	Base   http.RoundTripper
	Budget *Budget
	// Streamed leaves out the bodies, for clients that hold only a part of them or reserve memory for them themselves.
	Streamed bool
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.Streamed {
		return t.Budget.do(r, t.Base.RoundTrip, 0)
	}
	return t.Budget.do(r, t.Base.RoundTrip, wholeCopies)
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

func headerMemory(h http.Header) int64 {
	var size int64
	for name, values := range h {
		for _, v := range values {
			size += int64(len(name)+len(v)) + fieldBytes
		}
	}
	return size
}

// responseMemory is the memory of one response. After the first failure to reserve more, it stays full.
type responseMemory struct {
	reservation *Reservation

	mu       sync.Mutex
	bytes    int64
	err      error
	released bool
}

// add reserves memory for more bytes. Without memory, the error is ErrNoMemory.
func (m *responseMemory) add(size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil || m.released {
		return m.err
	}
	if m.err = m.reservation.Resize(m.bytes + size); m.err == nil {
		m.bytes += size
	}
	return m.err
}

func (m *responseMemory) full() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

func (m *responseMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = true
	m.reservation.Release()
}

// meteredConn reserves memory for the head that is being read from a connection.
type meteredConn struct {
	net.Conn
	head atomic.Pointer[responseMemory]
}

// metered returns the metered connection within a connection, or nil.
func metered(c net.Conn) *meteredConn {
	for {
		if m, ok := c.(*meteredConn); ok {
			return m
		}
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = outer.NetConn()
	}
}

// Read implements net.Conn. The read after the one that exceeds the memory fails: a first read that fails looks to net/http
// like a connection on which the request can be sent again.
func (c *meteredConn) Read(p []byte) (int, error) {
	if m := c.head.Load(); m != nil {
		if err := m.full(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if m := c.head.Load(); m != nil && n > 0 {
		_ = m.add(headCopies*int64(n) + fieldBytes*int64(bytes.Count(p[:n], []byte("\n")))) // seen by the next read, or by Do
	}
	return n, err
}

// NetConn returns the connection within.
func (c *meteredConn) NetConn() net.Conn { return c.Conn }

type meteredBody struct {
	io.ReadCloser
	memory *responseMemory
	copies int64
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.copies > 0 && n > 0 {
		if full := b.memory.add(b.copies * int64(n)); full != nil {
			return n, errors.WithStack(full)
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *meteredBody) Close() error {
	err := b.ReadCloser.Close()
	b.memory.release()
	return err
}

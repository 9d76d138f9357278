// Package rudderconn bounds the open connections of callers. When the bound is reached, it closes those that make the least progress, so
// that ordinary callers get in, and it ends writes to callers that do not read.
package rudderconn

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// writeTimeout is how long a write may make no progress because the caller does not read. A target cuts off a response that
	// stays unread for some seconds, so nothing more than what is held would arrive after it.
	writeTimeout = 15 * time.Second
	// stallTimeout is how long the body of a request may make no progress before its connection may be ended for others: longer than the
	// first repetition of a lost packet, 1 s, with its round trip. unreadTimeout is that for the write of a response. It is longer, because
	// the request may have run, and a write stalls only if the buffers of both sockets are full.
	stallTimeout  = 1500 * time.Millisecond
	unreadTimeout = 3 * time.Second
	// progressBytes is what has to arrive of a body, or to be written, to count as progress. Callers that send single bytes would
	// otherwise keep their memory.
	progressBytes = 4 << 10
	// searchInterval is the least time between two searches among the connections with a request that found none to end, because a
	// search looks at all of them.
	searchInterval = 100 * time.Millisecond
)

// Reasons for which a connection is ended, for counters.
const (
	// ReasonWaiting is the end of a connection without a whole head of a request.
	ReasonWaiting = "waiting"
	// ReasonBody and ReasonUnread are those of a body and of a response without progress.
	ReasonBody   = "body_stalled"
	ReasonUnread = "response_unread"
	// ReasonFull is that of a new connection while there is none to end.
	ReasonFull = "full"
)

// Table holds the open connections of a server. Set the exported fields before use.
type Table struct {
	// Limit is the greatest number of connections; 0 sets none.
	Limit int
	// OnEnd is called for each connection that is ended, with the reason; optional.
	OnEnd func(reason string)

	now func() time.Time // replaced in tests

	mu          sync.Mutex
	connections map[*conn]bool
	// waiting holds the connections without a whole head of a request, the one that has waited longest first.
	waiting  list.List
	searched time.Time // when the last search found none to end
}

// Open returns the number of open connections.
func (t *Table) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.connections)
}

func (t *Table) time() time.Time {
	if t.now != nil {
		return t.now()
	}
	return time.Now()
}

// Listen returns a listener whose connections the table holds.
func (t *Table) Listen(l net.Listener) net.Listener { return &listener{Listener: l, table: t} }

type listener struct {
	net.Listener
	table *Table
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if added := l.table.add(c); added != nil {
			return added, nil
		}
	}
}

// add adds a connection. At the limit it ends another one first. If there is none to end, it closes the new one and returns nil.
func (t *Table) add(inner net.Conn) net.Conn {
	victim, reason := t.makeRoom()
	if victim != nil {
		_ = victim.Close()
		t.ended(reason)
	}
	c := &conn{Conn: inner, table: t}
	if !t.insert(c) {
		_ = inner.Close()
		t.ended(ReasonFull)
		return nil
	}
	return c
}

// insert adds a connection if there is room.
func (t *Table) insert(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Limit > 0 && len(t.connections) >= t.Limit {
		return false
	}
	if t.connections == nil {
		t.connections = map[*conn]bool{}
	}
	t.connections[c] = true
	c.waits = t.waiting.PushBack(c)
	return true
}

// makeRoom returns the connection to end so that another one can be added; nil if there is room or none to end.
func (t *Table) makeRoom() (*conn, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Limit <= 0 || len(t.connections) < t.Limit {
		return nil, ""
	}
	if first := t.waiting.Front(); first != nil {
		c, _ := first.Value.(*conn)
		return c, ReasonWaiting
	}
	return t.slowest(func(*conn, string) bool { return true })
}

// slowest returns the connection whose body or response has made no progress for the longest time, among those that may be ended; nil
// if there is none. Bodies come first: their requests have not run. The caller holds the lock.
func (t *Table) slowest(may func(c *conn, kind string) bool) (found *conn, reason string) {
	now := t.time()
	if now.Sub(t.searched) < searchInterval {
		return nil, ""
	}
	var longest time.Duration
	for c := range t.connections {
		stalled, kind := c.stalled(now)
		better := reason == "" || kind == ReasonBody && reason == ReasonUnread || kind == reason && stalled > longest
		if kind != "" && better && may(c, kind) {
			found, reason, longest = c, kind, stalled
		}
	}
	if found == nil {
		t.searched = now
	}
	return found, reason
}

// EndSlowest ends the connection whose body or response has made no progress for the longest time, so that its memory can be used
// for others. The request of a body is answered. It reports whether there was one.
func (t *Table) EndSlowest() bool {
	return t.end(func(c *conn, kind string) bool { return kind == ReasonUnread || !c.bodyStopped() })
}

// EndUnread does so for a response of a service, so that the place at its target can be used for others.
func (t *Table) EndUnread(service string) bool {
	return t.end(func(c *conn, kind string) bool { return kind == ReasonUnread && c.serves(service) })
}

func (t *Table) end(may func(c *conn, kind string) bool) bool {
	t.mu.Lock()
	c, reason := t.slowest(may)
	t.mu.Unlock()
	if c == nil {
		return false
	}
	if reason == ReasonBody {
		c.stopBody()
	} else {
		_ = c.Close()
	}
	t.ended(reason)
	return true
}

func (t *Table) ended(reason string) {
	if t.OnEnd != nil {
		t.OnEnd(reason)
	}
}

func (t *Table) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.connections, c)
	t.stopWaiting(c)
}

// stopWaiting takes a connection off the waiting ones. The caller holds the lock.
func (t *Table) stopWaiting(c *conn) {
	if c.waits != nil {
		t.waiting.Remove(c.waits)
		c.waits = nil
	}
}

// Idle notes that a connection waits for its next request.
func (t *Table) Idle(c net.Conn) {
	if own, ok := c.(*conn); ok {
		own.setPhase(phaseOther, t.time())
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.connections[own] && own.waits == nil {
			own.waits = t.waiting.PushBack(own)
		}
	}
}

type contextKey struct{}

// ConnContext adds the connection to the context of its requests, for Wrap.
func (t *Table) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// SetService notes the service of the request with a context.
func SetService(ctx context.Context, service string) {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.service = service
	}
}

// Wrap returns a handler that follows the bodies of requests.
func (t *Table) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, known := r.Context().Value(contextKey{}).(*conn)
		if known {
			t.mu.Lock()
			t.stopWaiting(c)
			t.mu.Unlock()
			if r.Body != nil && r.Body != http.NoBody {
				r.Body = &body{ReadCloser: r.Body, c: c}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	c     *conn
	begun bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.c.setPhase(phaseBody, b.c.table.time())
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.c.setPhase(phaseOther, b.c.table.time())
	}
	return n, err
}

// Package rudderdrain ends an HTTP server without losing requests that the kernel has accepted for it: connections in the queue of its
// listener, and requests that have arrived on idle connections. http.Server.Shutdown closes both unread.
package rudderdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderconn"
)

const (
	// checkInterval is the interval at which the connections are checked while draining.
	checkInterval = 5 * time.Millisecond
	// firstRequestTimeout is how long a new connection may take until its first request arrives.
	firstRequestTimeout = time.Second
)

// Server is an HTTP server with its listener. Set the exported fields before Serve.
type Server struct {
	HTTP     *http.Server
	Listener net.Listener
	// Connections bounds the open connections; nil sets no bound.
	Connections *rudderconn.Table

	draining atomic.Bool
	accepted chan struct{} // closed when no more connections are accepted
	once     sync.Once
	queue    *drainingListener // nil unless the kernel queues the connections of the listener

	mu          sync.Mutex
	connections map[net.Conn]connection
}

// connection is the state of a connection.
type connection struct {
	state http.ConnState
	since time.Time
}

// prepare connects the parts.
func (s *Server) prepare() {
	s.once.Do(func() {
		s.accepted = make(chan struct{})
		s.connections = map[net.Conn]connection{}
		s.HTTP.ConnState = s.observe
		s.HTTP.Handler = s.closing(s.HTTP.Handler)
		if s.Connections != nil {
			s.HTTP.Handler = s.Connections.Wrap(s.HTTP.Handler)
			s.HTTP.ConnContext = chain(s.HTTP.ConnContext, s.Connections.ConnContext)
		}
		if l, ok := s.Listener.(socketListener); ok {
			s.queue = &drainingListener{socketListener: l}
		}
	})
}

type contextFunc = func(ctx context.Context, c net.Conn) context.Context

// chain returns a function that calls two others; the first one may be nil.
func chain(first, second contextFunc) contextFunc {
	if first == nil {
		return second
	}
	return func(ctx context.Context, c net.Conn) context.Context { return second(first(ctx, c), c) }
}

// Serve serves until the server is closed or drained.
func (s *Server) Serve() error {
	s.prepare()
	defer close(s.accepted)
	listener := s.Listener
	if s.queue != nil {
		listener = s.queue
	}
	if s.Connections != nil {
		listener = s.Connections.Listen(listener)
	}
	err := s.HTTP.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Drain closes the listener once no connection is waiting, and each connection once no request has arrived on it. It returns when all are
// closed, or when the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.prepare()
	s.draining.Store(true)
	if s.queue != nil {
		s.queue.drain()
	} else {
		_ = s.Listener.Close()
	}
	select {
	case <-s.accepted:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for s.closeUnused() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// closing returns a handler whose responses close their connections while the server drains.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// observe is the ConnState hook of the server.
func (s *Server) observe(c net.Conn, state http.ConnState) {
	if s.Connections != nil && state == http.StateIdle {
		s.Connections.Idle(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.connections, c)
		return
	}
	s.connections[c] = connection{state: state, since: time.Now()}
}

// closeUnused closes the connections on which no request has arrived or is served, and returns the number of the others.
func (s *Server) closeUnused() (others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, x := range s.connections {
		unused := x.state == http.StateIdle || x.state == http.StateNew && time.Since(x.since) > firstRequestTimeout
		if socket, ok := c.(syscall.Conn); unused && (!ok || !readable(socket, func(int) {})) {
			_ = c.Close()
			delete(s.connections, c)
			continue
		}
		others++
	}
	return others
}

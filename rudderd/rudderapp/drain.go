package rudderapp

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// drainingListener accepts the connections that the kernel has completed before it closes, because closing a listener
// resets them.
type drainingListener struct {
	*net.TCPListener
	draining atomic.Bool
}

// drain lets Accept return net.ErrClosed as soon as no connection is waiting.
func (l *drainingListener) drain() {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0)) // wakes Accept
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	if l.closeIfIdle() {
		return nil, net.ErrClosed
	}
	_ = l.SetDeadline(time.Time{})
	defer func() { _ = l.SetDeadline(time.Unix(1, 0)) }()
	return l.TCPListener.Accept()
}

// closeIfIdle closes the socket to new connections if none is waiting, and reports whether it did. Both steps are system
// calls in a row, so that hardly any connection arrives in between.
func (l *drainingListener) closeIfIdle() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return true
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		socket := int(fd) //nolint:gosec // a file descriptor
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(socket), Events: unix.POLLIN}}, 0)
		if ready == 0 {
			_ = unix.Shutdown(socket, unix.SHUT_RD)
		}
	})
	return err != nil || ready == 0
}

// callerServer is the HTTP server for callers with its listener.
type callerServer struct {
	server      *http.Server
	listener    *drainingListener
	connections connections
	drained     chan struct{}
}

const (
	// drainPoll is the interval at which the connections are checked while draining.
	drainPoll = 5 * time.Millisecond
	// drainTimeout bounds the wait for requests on connections that have been accepted.
	drainTimeout = time.Second
)

func newCallerServer(server *http.Server, listener *net.TCPListener) *callerServer {
	s := &callerServer{server: server, listener: &drainingListener{TCPListener: listener}, drained: make(chan struct{})}
	server.ConnState = s.connections.observe
	return s
}

func (s *callerServer) serve() error {
	defer close(s.drained)
	return s.server.Serve(s.listener)
}

// drain closes the listener and returns when the requests on all connections have been served, or after drainTimeout.
func (s *callerServer) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	s.listener.drain()
	select {
	case <-s.drained:
	case <-ctx.Done():
	}
	for s.connections.busy() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(drainPoll):
		}
	}
}

// connections tracks the connections of an HTTP server. Server.Shutdown closes connections on which a request has just
// arrived, so that they have to be served before it is called.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// observe is the ConnState hook of the server.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = make(map[net.Conn]http.ConnState)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// busy reports whether a request is awaited on a new connection, or served.
func (c *connections) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		if state != http.StateIdle {
			return true
		}
	}
	return false
}

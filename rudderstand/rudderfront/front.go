// Package rudderfront simulates the network of a host: a TCP port whose connections can be closed, refused or
// stalled.
package rudderfront

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// loopback is the only address that simulated hosts listen on.
const loopback = "127.0.0.1"

// readHeaderTimeout bounds the time to read the header of a request.
const readHeaderTimeout = 10 * time.Second

// Front listens on a loopback port. Set Handler before Start. The port stays reserved from Start to
// Close, so a host that is down refuses connections and comes back at the same address.
type Front struct {
	Handler http.Handler

	mu       sync.Mutex
	holder   int // file descriptor of a bound socket that does not listen, to reserve the port
	port     int
	server   *http.Server
	conns    map[*conn]struct{}
	open     *gate // for the connections since the last StallConnections
	paused   gate
	isolated gate
	blocked  map[string]*gate // by the caller's IP
	running  bool
	closed   bool
}

// ErrClosed reports a Restart after Close.
var ErrClosed = errors.New("front: closed")

// Start reserves a port and listens.
func (f *Front) Start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.reserve(); err != nil {
		return err
	}
	f.open = &gate{}
	f.blocked = map[string]*gate{}
	f.conns = map[*conn]struct{}{}
	return f.listen()
}

// reserve binds a socket without listening. The kernel refuses connections to it and does not assign its port
// to any socket that does not ask for that port number.
func (f *Front) reserve() error {
	holder, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return errors.Wrap(err, "reserve port")
	}
	f.holder = holder
	// Both sockets of the port need this option, and net.Listen sets it on its own.
	if err := syscall.SetsockoptInt(holder, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return errors.Wrap(err, "reserve port")
	}
	if err := syscall.Bind(holder, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return errors.Wrap(err, "reserve port")
	}
	name, err := syscall.Getsockname(holder)
	if err != nil {
		return errors.Wrap(err, "reserve port")
	}
	if address, ok := name.(*syscall.SockaddrInet4); ok {
		f.port = address.Port
	}
	return nil
}

// listen starts the HTTP server. It needs the mutex.
func (f *Front) listen() error {
	inner, err := net.Listen("tcp4", f.address())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	f.server = &http.Server{Handler: f.Handler, ReadHeaderTimeout: readHeaderTimeout}
	f.running = true
	server := f.server
	// Serve always returns an error when the listener is closed.
	go func() { _ = server.Serve(&listener{Listener: inner, front: f}) }()
	return nil
}

func (f *Front) address() string { return net.JoinHostPort(loopback, strconv.Itoa(f.port)) }

// Address returns the host:port that the front listens on after Start.
func (f *Front) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address()
}

// Kill closes all connections and refuses new ones.
func (f *Front) Kill() {
	f.mu.Lock()
	server, conns := f.server, f.conns
	wasRunning := f.running
	f.running = false
	f.conns = map[*conn]struct{}{}
	f.mu.Unlock()
	if !wasRunning {
		return
	}
	// An error only means that a connection was closed already.
	_ = server.Close()
	for c := range conns {
		_ = c.Close()
	}
}

// Restart listens again after Kill. A new process is not paused, but SetIsolated and SetBlocked stay in effect.
func (f *Front) Restart() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return ErrClosed
	}
	if f.running {
		return nil
	}
	f.open = &gate{}
	f.paused.set(false)
	return f.listen()
}

// StallConnections stops all traffic on the existing connections for good. New ones work.
func (f *Front) StallConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open.set(true)
	f.open = &gate{}
}

// Pause stops all traffic, on existing and new connections, as a paused process does, or lets it
// continue.
func (f *Front) Pause(pause bool) { f.paused.set(pause) }

// SetIsolated stops all traffic, on existing and new connections, as a network fault does, or lets it
// continue.
func (f *Front) SetIsolated(isolated bool) { f.isolated.set(isolated) }

// SetBlocked stops all traffic with the callers at one IP, or lets it continue. It can block single processes
// if each of them calls from its own loopback address.
func (f *Front) SetBlocked(ip string, blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callerGate(ip).set(blocked)
}

// callerGate returns the gate of the callers at one IP. It needs the mutex.
func (f *Front) callerGate(ip string) *gate {
	g, found := f.blocked[ip]
	if !found {
		g = &gate{}
		f.blocked[ip] = g
	}
	return g
}

// CloseConnections closes the existing connections. New ones work.
func (f *Front) CloseConnections() {
	f.mu.Lock()
	conns := f.conns
	f.conns = map[*conn]struct{}{}
	f.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

// Close kills the front and releases its port.
func (f *Front) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.Kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder > 0 {
		_ = syscall.Close(f.holder)
		f.holder = 0
	}
}

func (f *Front) accept(inner net.Conn) net.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The error is impossible: the address of a TCP connection is always host:port.
	ip, _, _ := net.SplitHostPort(inner.RemoteAddr().String())
	gates := []*gate{f.open, &f.paused, &f.isolated, f.callerGate(ip)}
	c := &conn{Conn: inner, front: f, gates: gates, closed: make(chan struct{})}
	f.conns[c] = struct{}{}
	return c
}

func (f *Front) forget(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

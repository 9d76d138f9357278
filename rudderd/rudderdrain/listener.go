package rudderdrain

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// acceptTimeout bounds the wait for a connection that was waiting, and may have been closed meanwhile.
const acceptTimeout = 20 * time.Millisecond

// socketListener is a listener whose connections wait in a queue of the kernel.
type socketListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// drainingListener accepts the connections that the kernel has completed before it closes, because closing a listener
// resets them.
type drainingListener struct {
	socketListener
	draining atomic.Bool
}

// drain lets Accept return net.ErrClosed as soon as no connection is waiting.
func (l *drainingListener) drain() {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0)) // wakes Accept
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.socketListener.Accept()
		if err == nil || !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if l.closeIfIdle() {
			return nil, net.ErrClosed
		}
		_ = l.SetDeadline(time.Now().Add(acceptTimeout))
	}
}

// closeIfIdle closes the socket to new connections if none is waiting, and reports whether it did. Both steps are system
// calls in a row, so that hardly any connection arrives in between.
func (l *drainingListener) closeIfIdle() bool {
	waiting := readable(l, func(socket int) { _ = unix.Shutdown(socket, unix.SHUT_RD) })
	return !waiting
}

// readable reports whether a read or accept on a socket would not block, and calls otherwise if it would.
func readable(c syscall.Conn, otherwise func(socket int)) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		socket := int(fd) //nolint:gosec // a file descriptor
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(socket), Events: unix.POLLIN}}, 0)
		if ready <= 0 {
			otherwise(socket)
		}
	})
	return err == nil && ready > 0
}

package rudderedge

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection; within a region it takes a few milliseconds, and one lost
	// packet costs a second.
	dialTimeout = 1200 * time.Millisecond
	// unackedTimeout ends a connection whose data is not acknowledged, because something between the
	// two ends has lost track of it.
	unackedTimeout = 1500 * time.Millisecond
	// maxAnswerHeaderBytes bounds the head of an answer. A head may come without end, and a small host waits for hundreds
	// of answers at once.
	maxAnswerHeaderBytes = 64 << 10
	// idleConnections to one target are kept for the next request.
	idleConnections = 16
	// mostIdleConnections are kept to all other ends together: each takes some ten kilobytes, and a planner calls thousands
	// of targets.
	mostIdleConnections = 512
	// idleConnectionTime is how long they are kept.
	idleConnectionTime = 30 * time.Second
)

// Dialer opens connections that notice a silent other end.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(err, failed)
		},
	}
}

// NewClient returns a client that sends each request once and changes nothing in it.
func NewClient(idlePerHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: Dialer().DialContext, DisableCompression: true, MaxIdleConnsPerHost: idlePerHost, MaxIdleConns: mostIdleConnections,
			IdleConnTimeout: idleConnectionTime, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
			MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func targetClient() *http.Client { return NewClient(idleConnections) }

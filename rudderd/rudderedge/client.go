package rudderedge

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/shared/rudderresponse"
)

const (
	// dialTimeout bounds the set-up of a connection. Within a region it takes a few milliseconds; one lost packet adds a
	// second.
	dialTimeout = 1200 * time.Millisecond
	// unackedTimeout closes a connection whose data is not acknowledged, for example because a middlebox has lost the
	// connection's state.
	unackedTimeout = 1500 * time.Millisecond
	// targetUnackedTimeout replaces it for targets. A sound one may be silent for about a second, and the time counts from the
	// last packet before.
	targetUnackedTimeout = 2500 * time.Millisecond
	// maxIdleConnectionsPerTarget is the number of idle connections to one target that are kept for reuse.
	maxIdleConnectionsPerTarget = 16
	// maxIdleConnections bounds the idle connections of a client to all servers together: each takes some 10 kB, and a planner calls
	// thousands of targets.
	maxIdleConnections = 512
	// idleConnectionTimeout closes connections that have been idle for this long.
	idleConnectionTimeout = 30 * time.Second
)

// Dialer returns a dialer whose connections detect an unresponsive peer, by TCP keep-alives and TCP_USER_TIMEOUT.
func Dialer() *net.Dialer { return dialer(unackedTimeout) }

func dialer(unackedTimeout time.Duration) *net.Dialer {
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

// NewClient returns a client that neither follows redirects nor negotiates compression, so that each request is sent once
// and passes unchanged. It keeps up to idlePerHost idle connections to one server.
func NewClient(idlePerHost int) *http.Client {
	return checkedClient(newClient(idlePerHost, maxIdleConnections, rudderresponse.Dial(Dialer().DialContext)))
}

func newClient(idlePerHost, idle int, dial rudderpath.Dial) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: idlePerHost, MaxIdleConns: idle,
			IdleConnTimeout: idleConnectionTimeout, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
			MaxResponseHeaderBytes: rudderbody.MaxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// checkedClient makes a client check its responses.
func checkedClient(c *http.Client) *http.Client {
	c.Transport = &rudderresponse.Transport{Base: c.Transport}
	return c
}

// NewMeteredClient returns a client like that of NewClient for responses that are read as a whole. They take memory from a budget
// until their bodies are closed.
func NewMeteredClient(idlePerHost int, memory *rudderbody.Budget) *http.Client {
	client := checkedClient(newClient(idlePerHost, maxIdleConnections, memory.Dial(rudderresponse.Dial(Dialer().DialContext))))
	client.Transport = &rudderbody.Transport{Base: client.Transport, Budget: memory}
	return client
}

// targetClient returns the client for requests to targets. The heads of the responses take memory from a budget. The forwarder
// checks the responses itself.
func targetClient(memory *rudderbody.Budget, idle int) *http.Client {
	return newClient(maxIdleConnectionsPerTarget, idle, rudderpath.Track(memory.Dial(rudderresponse.Dial(dialer(targetUnackedTimeout).DialContext))))
}

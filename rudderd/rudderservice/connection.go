package rudderservice

import (
	"net"
	"sync/atomic"

	"comfreyrudder.example/rudderd/rudderpath"
)

// writeWatch finds out whether a call was written to its connection.
type writeWatch struct {
	claimed    atomic.Bool // the latest connection, which was closed otherwise
	head       atomic.Bool // the HTTP client reports a head as written once it is in its buffer
	connection atomic.Pointer[net.Conn]
	before     atomic.Int64 // bytes that were written to the connection before the call
}

// start begins to watch a connection.
func (w *writeWatch) start(c net.Conn) {
	written, _ := rudderpath.Written(c)
	w.before.Store(written)
	w.connection.Store(&c)
}

// sent reports whether the head of the call may have been written to the latest connection.
func (w *writeWatch) sent() bool {
	if !w.head.Load() {
		return false
	}
	c := w.connection.Load()
	if c == nil {
		return true
	}
	written, counted := rudderpath.Written(*c)
	return !counted || written != w.before.Load()
}

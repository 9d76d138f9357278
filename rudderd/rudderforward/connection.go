package rudderforward

import (
	"net"

	"comfreyrudder.example/rudderd/rudderpath"
)

// sendConn is the connection of one send.
type sendConn struct {
	net.Conn
	reused  bool
	written int64 // bytes that were written to it before
}

func newSendConn(c net.Conn, reused bool) *sendConn {
	s := &sendConn{Conn: c, reused: reused}
	s.written, _ = rudderpath.Written(c)
	return s
}

// unwritten reports whether no byte of the send was written. It is false for a connection without rudderpath.Track.
func (c *sendConn) unwritten() bool {
	written, counted := rudderpath.Written(c.Conn)
	return counted && written == c.written
}

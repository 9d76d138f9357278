package rudderforward

import (
	"net"

	"comfreyrudder.example/rudderd/rudderpath"
)

// sendConn is the connection of one send.
type sendConn struct {
	net.Conn
	reused  bool
	claimed bool  // by rudderpath.Claim; otherwise it was closed before the send
	written int64 // bytes that were written to it before
}

func newSendConn(c net.Conn, requestID string, reused bool) *sendConn {
	s := &sendConn{Conn: c, reused: reused, claimed: rudderpath.Claim(c, requestID)}
	s.written, _ = rudderpath.Written(c)
	return s
}

// unwritten reports whether no byte of the send was written. It is false for a connection without rudderpath.Track.
func (c *sendConn) unwritten() bool {
	written, counted := rudderpath.Written(c.Conn)
	return counted && written == c.written
}

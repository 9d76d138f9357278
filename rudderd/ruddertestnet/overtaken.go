package ruddertestnet

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// overtakenRead is the time after which a text is read from a closed connection: the HTTP client expects a response by then.
	// overtakenWrite is how long a write to it takes to fail.
	overtakenRead  = 10 * time.Millisecond
	overtakenWrite = 50 * time.Millisecond
)

// Overtaken is a connection on which a text arrives in the moment in which it is closed, so that it is read once after that.
type Overtaken struct {
	net.Conn
	// Text returns the text, or "" as long as none arrives.
	Text func() string

	read atomic.Bool
}

// Read implements net.Conn.
func (c *Overtaken) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil || c.Text() == "" || c.read.Swap(true) {
		return n, err
	}
	time.Sleep(overtakenRead)
	return copy(p, c.Text()), nil
}

// Write implements net.Conn.
func (c *Overtaken) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && c.Text() != "" {
		time.Sleep(overtakenWrite)
	}
	return n, err
}

package rudderfaults

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoServer starts a server that sends back every byte and returns its address.
func echoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// Guards against a fault network whose cuts have no effect, which would make the matrix meaningless. A cut
// must block each direction on open and new connections without an error, and deliver the held bytes after
// healing.
func TestNetworkCuts(t *testing.T) {
	var n Network
	address := echoServer(t)
	n.Register(address, "b")
	dial := n.Dial("a")
	tests := []struct {
		name      string
		cut, heal func()
	}{
		{"to", func() { n.Cut("a", "b", true) }, func() { n.Cut("a", "b", false) }},
		{"from", func() { n.Cut("b", "a", true) }, func() { n.Cut("b", "a", false) }},
		{"all to", func() { n.Cut("", "b", true) }, func() { n.Cut("", "b", false) }},
		{"both", func() { n.Partition("a", "b", true) }, n.Heal},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := dial(context.Background(), "tcp", address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			test.cut()
			got := make(chan error, 1)
			go func() {
				_, err := conn.Write([]byte("x"))
				if err == nil {
					_, err = io.ReadFull(conn, make([]byte, 1))
				}
				got <- err
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err = dial(ctx, "tcp", address)
			var operation *net.OpError
			require.ErrorAs(t, err, &operation)
			require.Equal(t, "dial", operation.Op, "nothing was sent")
			require.Empty(t, got, "a byte passed the cut")
			test.heal()
			require.NoError(t, <-got)
		})
	}
}

// Guards against a severed or black-holed connection that still carries bytes.
func TestNetworkSeverAndSilence(t *testing.T) {
	var n Network
	address := echoServer(t)
	n.Register(address, "b")
	open := func() net.Conn {
		conn, err := n.Dial("a")(context.Background(), "tcp", address)
		require.NoError(t, err)
		return conn
	}
	silent := open()
	n.BlackholeOpen()
	written := make(chan error, 1)
	go func() {
		_, err := silent.Write([]byte("x"))
		written <- err
	}()
	fresh := open()
	_, err := fresh.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(fresh, make([]byte, 1))
	require.NoError(t, err)
	require.Empty(t, written)
	n.Sever("b")
	require.ErrorIs(t, <-written, net.ErrClosed)
	_, err = fresh.Write([]byte("x"))
	require.Error(t, err)
	_, err = n.Dial("a")(context.Background(), "tcp", address)
	require.Error(t, err)
	n.Reconnect("b")
	require.NoError(t, open().Close())
}

// Guards against a pause that does not stop time: no timer fires while the clock is held, and after the
// release the time spent in the pause counts.
func TestClockHold(t *testing.T) {
	c := &Clock{}
	c.Hold()
	frozen := c.Now()
	timer, tick := c.NewTimer(time.Millisecond), c.NewTicker(time.Millisecond)
	defer tick.Stop()
	time.Sleep(30 * time.Millisecond)
	require.Equal(t, frozen, c.Now())
	require.Empty(t, timer.Chan())
	require.Empty(t, tick.Chan())
	c.Release()
	<-timer.Chan()
	<-tick.Chan()
	require.GreaterOrEqual(t, c.Since(frozen), 30*time.Millisecond)
	require.False(t, c.Held())
}

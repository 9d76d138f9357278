package rudderedge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// dropPackets makes the kernel drop all packets that arrive for a connection, so that it acknowledges nothing.
func dropPackets(t *testing.T, c net.Conn, drop bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var failed error
	require.NoError(t, raw.Control(func(fd uintptr) {
		if !drop {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		none := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &none[0]})
	}))
	require.NoError(t, failed)
}

// A target works on a request and does not acknowledge packets for 1.2 s. Guards against keep-alive probes that give up a connection
// whose target goes on.
func TestConnectionOutlivesSilence(t *testing.T) {
	for _, after := range []time.Duration{910 * time.Millisecond, 950 * time.Millisecond, 990 * time.Millisecond, 1500 * time.Millisecond, 1960 * time.Millisecond, 2000 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				time.Sleep(after)
				dropPackets(t, c, true)
				time.Sleep(1200 * time.Millisecond)
				dropPackets(t, c, false)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				time.Sleep(100 * time.Millisecond)
			}()
			begin := time.Now()
			response, err := targetClient(nil, maxIdleConnections).Get("http://" + listener.Addr().String())
			require.NoError(t, err, "after %v", time.Since(begin))
			_ = response.Body.Close()
		})
	}
}

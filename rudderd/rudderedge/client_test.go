package rudderedge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderresponse"
)

// serveEndless serves one connection: it writes the beginning of a response and then repeats filler until the client
// closes the connection. The returned channel yields the number of bytes sent.
func serveEndless(t *testing.T, begin, filler string) (address string, written <-chan int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	done := make(chan int64, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		sent := int64(0)
		for text := begin; ; text = filler {
			n, err := io.WriteString(c, text)
			sent += int64(n)
			if err != nil {
				done <- sent
				return
			}
		}
	}()
	return listener.Addr().String(), done
}

// Guards against response headers without end: each of hundreds of requests would hold megabytes of memory until its
// time limit.
func TestEndlessResponseHeaderIsRejected(t *testing.T) {
	line := "X: " + strings.Repeat("x", 1000) + "\r\n"
	for _, test := range []struct{ name, begin, filler string }{
		{"header fields", "HTTP/1.1 200 OK\r\n", line},
		{"one header field", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1000)},
		{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 1000)},
		{"no HTTP response", "", strings.Repeat("x", 1000)},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n" + line + "\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, written := serveEndless(t, test.begin, test.filler)
			client := targetClient(nil, maxIdleConnections)
			begin := time.Now()
			response, err := client.Get("http://" + address)
			if err == nil {
				_ = response.Body.Close()
			}
			require.Error(t, err)
			require.Less(t, time.Since(begin), 5*time.Second)
			select {
			case sent := <-written:
				// The count includes what the kernel buffers of both ends hold, which takes no memory of the process.
				require.Less(t, sent, int64(9<<20))
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// Guards against clients of the key-value service, of targets' reports and of other entry hosts that take a response for valid although
// its head cannot be one.
func TestClientsRejectInvalidHeads(t *testing.T) {
	for _, test := range []struct {
		name   string
		client *http.Client
	}{{"plain", NewClient(1)}, {"metered", NewMeteredClient(1, nil)}} {
		t.Run(test.name, func(t *testing.T) {
			address, _ := serveEndless(t, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", "x")
			response, err := test.client.Get("http://" + address)
			if err == nil {
				_ = response.Body.Close()
			}
			require.ErrorIs(t, err, rudderresponse.ErrInvalidHead)
		})
	}
}

package rudderforward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderresponse"
)

// Guards against passing on a response whose head no response can have: a panic without a response to the caller, a field with an
// invalid name, and a body whose framing is hidden by such a name.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for _, head := range []string{
		"HTTP/1.1 000 None\r\nContent-Length: 47\r\n", "HTTP/1.1 099 None\r\nContent-Length: 47\r\n", "HTTP/1.1 600 None\r\nContent-Length: 47\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 15\r\nConnection: close\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 47\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 47\r\nX\x01Odd: 1\r\n",
	} {
		for _, test := range []struct {
			name    string
			kind    rudderroute.Kind
			resume  bool
			relayed bool
			want    int
			runs    int32
		}{
			{"at most once", rudderroute.KindAtMostOnce, false, false, 502, 1},
			{"idempotent", rudderroute.KindIdempotent, false, false, 200, 2},
			{"stream", rudderroute.KindStream, false, false, 502, 1},
			{"resumable stream", rudderroute.KindStream, true, false, 200, 2},
			{"idempotent, relayed", rudderroute.KindIdempotent, false, true, 200, 2},
		} {
			t.Run(fmt.Sprintf("%.24q/%s", head, test.name), func(t *testing.T) {
				t.Parallel()
				b := newTestbed(t)
				b.route("/x/", func(r *rudderroute.Route) { r.Kind, r.Resumable = test.kind, test.resume })
				var runs atomic.Int32
				var targets []rudderpath.Target
				for range 2 {
					b.rawTarget("plain", func(w net.Conn, _ *http.Request, _, _ int) {
						text := "HTTP/1.1 200 OK\r\nContent-Length: 47\r\n"
						if runs.Add(1) == 1 {
							text = head
						}
						_, _ = io.WriteString(w, text+"Seal: s\r\nId: q1\r\nContent-Type: text/event-stream\r\n\r\n"+events+"\n\n")
						if text == head {
							_ = w.Close()
						}
					})
					targets = append(targets, rudderpath.Target{Name: fmt.Sprint("t", b.targets), Born: 1, Service: "plain"})
				}
				b.start()
				if test.relayed {
					b.relayThrough(t, targets)
				}
				response, body, err := b.send("POST", "/x/y", "body")
				require.NoError(t, err)
				require.Equal(t, test.want, response.StatusCode)
				require.Equal(t, test.runs, runs.Load())
				if test.want == 200 {
					require.Equal(t, events+"\n\n", body)
				}
			})
		}
	}
}

// resetConn is a connection to a target that responds at once and resets the connection while the request is being written. As on
// Linux, the write gets the error and the read the end of file.
type resetConn struct {
	net.Conn
	response io.Reader
	read     chan struct{} // closed when the response has been read
	reset    chan struct{} // closed when the write has failed
	once     sync.Once
	begun    chan struct{} // closed when the head of the request has been written
	written  bool
}

func (c *resetConn) Write(p []byte) (int, error) {
	if !c.written {
		c.written = true
		close(c.begun)
		return len(p), nil
	}
	<-c.read
	c.once.Do(func() { close(c.reset) })
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.begun
	if n, err := c.response.Read(p); err == nil {
		return n, nil
	}
	select {
	case <-c.read:
	default:
		close(c.read)
	}
	<-c.reset
	return 0, io.EOF
}

// Guards against passing on a part of a response as the whole, because the target reset the connection while it was still sent the
// request. Before the check, most of the responses below looked complete.
func TestResetInTheMiddleOfAnUpload(t *testing.T) {
	const rounds = 20
	head := "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, test := range []struct {
		name   string
		kind   rudderroute.Kind
		resume bool
		want   int // 0 for a response that breaks off
	}{
		{"at most once", rudderroute.KindAtMostOnce, false, 502},
		{"stream", rudderroute.KindStream, false, 0},
		{"resumable stream", rudderroute.KindStream, true, 200},
		{"idempotent", rudderroute.KindIdempotent, false, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for range rounds {
				b := newTestbed(t)
				b.route("/x/", func(r *rudderroute.Route) { r.Kind, r.Resumable, r.Timeout = test.kind, test.resume, 3*time.Second })
				for range 2 {
					b.rawTarget("plain", func(w net.Conn, r *http.Request, _, _ int) {
						rest := "id: 2\ndata: b\n\n"
						if r.Header.Get("Last") == "" {
							rest = "id: 1\ndata: a\n\n" + rest
						}
						_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(rest), rest)
					})
				}
				b.start()
				var dials atomic.Int32
				b.forwarder.Client.Transport.(*http.Transport).DialContext = rudderpath.Track(rudderresponse.Dial(func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := b.dial(ctx, network, address)
					if err == nil && dials.Add(1) == 1 {
						c = &resetConn{
							Conn: c, response: strings.NewReader(head + "id: 1\ndata: a\n\n"),
							begun: make(chan struct{}), read: make(chan struct{}), reset: make(chan struct{}),
						}
					}
					return c, err
				}))
				response, body, err := b.send("POST", "/x/y", strings.Repeat("x", 64<<10))
				if test.want == 0 {
					require.True(t, err != nil || response.StatusCode == http.StatusBadGateway, "%d %q looks complete", response.StatusCode, body)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, test.want, response.StatusCode)
				if test.want == 200 {
					require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
				}
			}
		})
	}
}

package rudderforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
)

// rawTarget adds a fake target that writes raw bytes. It serves the requests of a connection one after the
// other; serve gets the number of the connection, and of the request on it, counted from 1.
func (b *testbed) rawTarget(service string, serve func(w net.Conn, r *http.Request, connection, request int)) {
	listener := b.listen()
	b.t.Cleanup(func() { _ = listener.Close() })
	var connections atomic.Int32
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(connections.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for request := 1; ; request++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err = io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					serve(c, r, number, request)
				}
			}()
		}
	}()
	b.add(service, listener.Addr().String())
}

func answer(id, body string) string {
	head := "HTTP/1.1 200 OK\r\nSeal: s\r\n"
	if id != "" {
		head += "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// Guards against responses that belong to another request: late on a reused connection, empty, so that the
// HTTP client keeps the connection, or without a request ID.
func TestAnswerOfAnotherRequest(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  string // response to the first request of the first connection
		second string // bytes sent in place of the second response
		want   []int
		late   bool // the wrong response waits on the reused connection
	}{
		{"empty answer of another request", answer("other", ""), answer("q1", "own"), []int{502, 200}, false},
		{"second copy without a name", answer("q1", "a"), answer("", "a"), []int{200, 502}, true},
		{"earlier refusal once more", answer("q1", "a"), "HTTP/1.1 503 Full\r\nId: q0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", []int{200, 502}, true},
		{"second copy with the not-run header", answer("q1", "a"), "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", []int{200, 502}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.id = shortIDs()
			b.route("/p/", func(r *rudderroute.Route) { r.Kind, r.MaxAttempts = rudderroute.KindAtMostOnce, 1 })
			var runs, reused atomic.Int32
			b.rawTarget("plain", func(w net.Conn, r *http.Request, connection, request int) {
				own := strings.NewReplacer("q1", r.Header.Get("Id"))
				runs.Add(1)
				switch {
				case connection == 1 && request == 1:
					_, _ = own.WriteString(w, test.first)
				case connection == 1:
					reused.Add(1)
					_, _ = own.WriteString(w, test.second)
				default:
					_, _ = own.WriteString(w, answer("q1", "own"))
				}
			})
			b.start()
			for i, want := range test.want {
				response, body, _ := b.send("POST", "/p/x", "body")
				require.Equal(t, want, response.StatusCode, "request %d: %s", i, body)
				if want == 200 && i == 1 {
					require.Equal(t, "own", body)
				}
			}
			require.Equal(t, int32(len(test.want)), runs.Load(), "each request is sent once")
			require.Equal(t, test.late, reused.Load() > 0, "a connection with a wrong answer is not used again")
			response, body, _ := b.send("POST", "/p/x", "body")
			require.Equal(t, 200, response.StatusCode)
			require.Equal(t, "own", body)
		})
	}
}

// closedConn is a connection to a target that this host closes after its first request.
type closedConn struct {
	net.Conn
	writes atomic.Int32
}

func (c *closedConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) > 1 {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Guards against a request that counts as one that may have run because its reused connection was closed before any byte
// of it was written.
func TestReusedConnectionThatIsClosed(t *testing.T) {
	for _, method := range []string{"GET", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			b := newTestbed(t)
			b.id = shortIDs()
			b.route("/p/", func(r *rudderroute.Route) { r.Kind, r.MaxAttempts = rudderroute.KindAtMostOnce, 1 })
			var runs atomic.Int32
			b.target("plain", func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				sealed(w)
				w.Header().Set("Id", r.Header.Get("Id"))
			})
			b.start()
			b.forwarder.Client.Transport.(*http.Transport).DialContext = rudderpath.Track(func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &closedConn{Conn: c}, err
			})
			for range 3 {
				response, _, _ := b.send(method, "/p/x", "")
				require.Equal(t, 200, response.StatusCode)
			}
			require.Equal(t, int32(3), runs.Load())
		})
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Guards against delivering a stream as complete that ends inside an event but is well-formed as an HTTP
// response.
func TestStreamThatEndsInsideAnEvent(t *testing.T) {
	for _, test := range []struct {
		name      string
		resumable bool
	}{{"resumable", true}, {"not resumable", false}} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/s/", streamRoute(test.resumable))
			var arrivals atomic.Int32
			for range 2 {
				b.rawTarget("llm", func(w net.Conn, r *http.Request, _, _ int) {
					if arrivals.Add(1) == 1 {
						_, _ = io.WriteString(w, streamHead+chunk("id: 1\ndata: a\n\n")+chunk("id: 2\ndata: hal")+"0\r\n\r\n")
						return
					}
					_, _ = io.WriteString(w, streamHead+chunk("id: 2\ndata: half\n\n")+"0\r\n\r\n")
				})
			}
			b.start()
			_, body, err := b.send("POST", "/s/x", "prompt")
			if !test.resumable {
				require.Error(t, err, "a truncated stream must not look complete: %q", body)
				require.Equal(t, "id: 1\ndata: a\n\n", body)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: half\n\n", body)
		})
	}
}

// Guards against the text of an error, or a whole response, in the middle of a stream, and against a stream that ends as if
// it were complete: the target that is to resume it answers with something else.
func TestErrorInPlaceOfTheRestOfAStream(t *testing.T) {
	sealed := "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\n"
	for _, test := range []struct{ name, second string }{
		{"failure", "HTTP/1.1 500 Failed\r\nSeal: s\r\nId: q1\r\nContent-Length: 7\r\n\r\nfailed\n"},
		{"failure in chunks", "HTTP/1.1 500 Failed\r\nId: q1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("data: failed\n\n") + "0\r\n\r\n"},
		{"not found", "HTTP/1.1 404 Gone\r\nId: q1\r\nContent-Length: 6\r\n\r\ngone\n\n"},
		{"refusal", "HTTP/1.1 503 Full\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 6\r\n\r\nfull\n\n"},
		{"page", sealed + "Content-Type: text/html\r\nContent-Length: 14\r\n\r\n<p>failed\n\n</p>"},
		{"empty page", sealed + "Content-Type: text/html\r\nContent-Length: 0\r\n\r\n"},
		{"text without a type", sealed + "Content-Length: 8\r\n\r\nfailed\n\n"},
		{"object in the stream", streamHead + chunk(`{"error":"failed"}`+"\n\n") + "0\r\n\r\n"},
		{"field in the stream", streamHead + chunk("error: failed\n\n") + "0\r\n\r\n"},
		{"response in the stream", streamHead + chunk("HTTP/1.1 503 Full\r\nContent-Type: text/plain\r\n\r\nfull\n\n") + "0\r\n\r\n"},
		{"response in place of a chunk", streamHead + "HTTP/1.1 503 Full\r\nContent-Length: 6\r\n\r\nfull\n\n"},
		{"response in a stream without chunks", sealed + "Content-Type: text/event-stream\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 6\r\n\r\nfull\n\n"},
		{"response for another request", strings.Replace(streamHead, "q1", "q0", 1) + chunk("id: 2\ndata: x\n\n") + "0\r\n\r\n"},
		{"head alone", sealed + "Content-Type: text/event-stream\r\n\r\n"},
		{"head and a comment", sealed + "Content-Type: text/event-stream\r\n\r\n: here\n\n"},
		{"head and blank lines", sealed + "Content-Type: text/event-stream\r\n\r\n\n\n"},
		{"head and a repeated event", sealed + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"},
	} {
		for _, attempts := range []int{2, 3} {
			t.Run(fmt.Sprint(test.name, " of ", attempts), func(t *testing.T) {
				b := newTestbed(t)
				b.route("/s/", func(r *rudderroute.Route) { streamRoute(true)(r); r.MaxAttempts = attempts })
				var arrivals atomic.Int32
				for range attempts {
					b.rawTarget("llm", func(w net.Conn, _ *http.Request, _, _ int) {
						switch n := arrivals.Add(1); {
						case n == 1:
							_, _ = io.WriteString(w, streamHead+chunk("id: 1\ndata: a\n\n"))
						case n == 2 || attempts == 2:
							_, _ = io.WriteString(w, test.second)
						default:
							_, _ = io.WriteString(w, streamHead+chunk("id: 2\ndata: b\n\n")+"0\r\n\r\n")
						}
						_ = w.Close()
					})
				}
				b.start()
				_, body, err := b.send("POST", "/s/x", "prompt")
				body = strings.NewReplacer(": here\n\n", "", "\n\n\n\n", "\n\n").Replace(body) // passed on as they arrive
				if attempts == 2 {
					require.Error(t, err, "the stream is not complete")
					require.Equal(t, "id: 1\ndata: a\n\n", body)
					return
				}
				require.NoError(t, err)
				require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
			})
		}
	}
}

// Guards against treating a response without a length as complete when its connection was reset.
func TestAnswerWithoutLengthThatIsReset(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(r *rudderroute.Route) { r.Kind, r.MaxAttempts = rudderroute.KindAtMostOnce, 1 })
	b.rawTarget("plain", func(w net.Conn, _ *http.Request, _, _ int) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\n\r\nhalf of an ans")
		time.Sleep(50 * time.Millisecond) // a reset overtakes bytes that were not read yet
		_ = w.(*net.TCPConn).SetLinger(0)
		_ = w.Close()
	})
	b.start()
	response, _, _ := b.send("POST", "/p/x", "body")
	require.Equal(t, 502, response.StatusCode)
}

// Guards against a stalled stream that is kept alive by bytes without progress: blank lines, comments and
// repeated events.
func TestStreamWithoutProgress(t *testing.T) {
	for _, filler := range []string{"\n\n", ": still here\n\n", "id: 1\ndata: a\n\n"} {
		t.Run(strings.TrimSpace(filler), func(t *testing.T) {
			b := newTestbed(t)
			b.route("/s/", func(r *rudderroute.Route) { streamRoute(true)(r); r.Timeout = 20 * time.Second })
			var arrivals atomic.Int32
			for range 2 {
				b.rawTarget("llm", func(w net.Conn, _ *http.Request, _, _ int) {
					if arrivals.Add(1) > 1 {
						_, _ = io.WriteString(w, streamHead+chunk("id: 2\ndata: b\n\n")+"0\r\n\r\n")
						return
					}
					_, _ = io.WriteString(w, streamHead+chunk("id: 1\ndata: a\n\n"))
					for {
						if _, err := io.WriteString(w, chunk(filler)); err != nil {
							return
						}
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
			b.start()
			begin := time.Now()
			_, body, err := b.send("POST", "/s/x", "prompt")
			require.NoError(t, err)
			require.Contains(t, body, "data: b")
			require.Equal(t, 1, strings.Count(body, "data: a"))
			require.Less(t, time.Since(begin), 5*time.Second)
		})
	}
}

// Guards against cancelling a working stream because its target is slow, when it cannot be resumed elsewhere.
func TestSlowStreamIsNotCut(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", func(r *rudderroute.Route) { streamRoute(false)(r); r.Timeout = 20 * time.Second })
	b.rawTarget("llm", func(w net.Conn, _ *http.Request, _, _ int) {
		_, _ = io.WriteString(w, streamHead)
		for i := range 3 {
			_, _ = io.WriteString(w, chunk(fmt.Sprintf("id: %d\ndata: x\n\n", i+1)))
			time.Sleep(2500 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	})
	b.start()
	_, body, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, 3, strings.Count(body, "data: x"))
}

// Guards against a stream that runs twice, and is then refused as not run, because the error response of its target broke
// off.
func TestFailureThatBreaksOffIsNotSentAgain(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", streamRoute(false))
	var arrivals atomic.Int32
	for range 2 {
		b.rawTarget("llm", func(w net.Conn, _ *http.Request, _, _ int) {
			arrivals.Add(1)
			_, _ = io.WriteString(w, "HTTP/1.1 500 Failed\r\nId: q1\r\nContent-Length: 100\r\n\r\nhalf")
			_ = w.Close()
		})
	}
	b.start()
	response, _, _ := b.send("POST", "/s/x", "prompt")
	require.Equal(t, 502, response.StatusCode)
	require.Equal(t, int32(1), arrivals.Load())
}

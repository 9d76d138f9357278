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
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/ruddertestnet"
	"comfreyrudder.example/rudderd/rudderview"
)

const wholeStream = streamHead + "10\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n"

// copyingTarget refuses its first request. When the next one arrives on the same connection, it writes the refusal once more while
// that request runs.
type copyingTarget struct {
	refusal string
	pause   time.Duration // inside the head of the first refusal

	mu      sync.Mutex
	refused map[int]bool // connections on which a request was refused
	runs    int
}

func (c *copyingTarget) serve(w net.Conn, r *http.Request, connection, _ int) {
	c.mu.Lock()
	first, again := len(c.refused) == 0, c.refused[connection]
	if first {
		c.refused = map[int]bool{connection: true}
	} else {
		c.runs++
	}
	c.mu.Unlock()
	if first {
		_, _ = io.WriteString(w, c.refusal[:1])
		time.Sleep(c.pause)
		_, _ = io.WriteString(w, c.refusal[1:])
		return
	}
	if again {
		_, _ = io.WriteString(w, c.refusal)
		time.Sleep(50 * time.Millisecond)
	}
	own := strings.NewReplacer("q1", r.Header.Get("Id"))
	if strings.HasPrefix(r.RequestURI, "/s/") {
		_, _ = own.WriteString(w, wholeStream)
	} else {
		_, _ = own.WriteString(w, answer("q1", "own"))
	}
}

func (c *copyingTarget) ran() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs
}

// Targets refuse a request on kept connections. Its ID comes again, and while it runs the refusal is written once more. Guards
// against a copy of a refusal that is taken for the answer, so that the request runs at each target in turn, or is answered
// with 503 although it runs.
func TestCopyOfARefusal(t *testing.T) {
	const head = "HTTP/1.1 503 Full\r\nId: q1\r\nNot-Run: 1\r\n"
	kinds := []struct {
		name, path string
		route      func(r *rudderroute.Route)
	}{
		{"at most once", "/p/x", func(r *rudderroute.Route) { r.Kind = rudderroute.KindAtMostOnce }},
		{"idempotent", "/p/x", func(*rudderroute.Route) {}},
		{"stream", "/s/x", streamRoute(false)},
		{"resumable stream", "/s/x", streamRoute(true)},
	}
	for _, test := range []struct {
		name    string
		refusal string
		pause   time.Duration
		relayed bool // all sends go through another entry host
		// first sends the request that is refused.
		first func(b *testbed, path string)
	}{
		{"caller's repeat", head + "Content-Length: 0\r\n\r\n", 0, false, sendRefused},
		{"caller's repeat, in chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", 0, false, sendRefused},
		{"other method", head + "Content-Length: 0\r\n\r\n", 0, false, func(b *testbed, path string) {
			response, _, _ := b.send("GET", path, "")
			require.Equal(b.t, http.StatusServiceUnavailable, response.StatusCode)
		}},
		{"after a late refusal", head + "Content-Length: 0\r\n\r\n", 300 * time.Millisecond, false, func(b *testbed, path string) {
			b.leaveAfter(150*time.Millisecond, path)
			time.Sleep(300 * time.Millisecond)
		}},
		{"relayed", head + "Content-Length: 0\r\n\r\n", 0, true, sendRefused},
	} {
		for _, kind := range kinds {
			t.Run(test.name+"/"+kind.name, func(t *testing.T) {
				b := newTestbed(t)
				b.route(kind.path[:3], kind.route)
				var targets []*copyingTarget
				for range 2 {
					c := &copyingTarget{refusal: test.refusal, pause: test.pause}
					targets = append(targets, c)
					b.rawTarget(map[bool]string{true: "llm", false: "plain"}[kind.path == "/s/x"], c.serve)
				}
				b.start()
				if test.relayed {
					b.relayAll()
				}
				test.first(b, kind.path)
				time.Sleep(failureBackoff / 2)
				response, body, err := b.send("POST", kind.path, "body")
				runs := targets[0].ran() + targets[1].ran()
				require.Equal(t, 1, runs, "answered %d %s", response.StatusCode, body)
				require.Equal(t, http.StatusOK, response.StatusCode, body)
				require.NoError(t, err)
			})
		}
	}
}

// A target writes a refusal once more before its response to the next request on the connection. Guards against a request that ends
// as one that may have run, because the copy came instead of its response.
func TestCopyOfARefusalCostsNoOtherRequest(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		b := newTestbed(t)
		b.id = shortIDs()
		b.route("/p/", func(r *rudderroute.Route) { r.Kind, r.MaxAttempts = rudderroute.KindAtMostOnce, 1 })
		c := &copyingTarget{refusal: "HTTP/1.1 503 Full\r\nId: ab\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}
		b.rawTarget("plain", c.serve)
		b.start()
		if relayed {
			b.relayAll()
		}
		sendRefused(b, "/p/x")
		for range 3 {
			response, body, _ := b.send("POST", "/p/x", "body")
			require.Equal(t, http.StatusOK, response.StatusCode, body)
		}
		require.Equal(t, 3, c.ran())
	}
}

func sendRefused(b *testbed, path string) {
	response, body, _ := b.send("POST", path, "body")
	require.Equal(b.t, http.StatusServiceUnavailable, response.StatusCode, body)
}

// relayAll makes the forwarder send all requests through another one.
func (b *testbed) relayAll() {
	var paths []rudderpath.Target
	for _, x := range b.forwarder.View.Snapshot().Targets {
		paths = append(paths, pathTarget(x))
	}
	b.relayThrough(b.t, paths)
}

// leaveAfter sends a request whose caller leaves after a time.
func (b *testbed) leaveAfter(d time.Duration, path string) {
	client := &http.Client{Timeout: d}
	r, err := http.NewRequest(http.MethodPost, b.server.URL+path, strings.NewReader("body"))
	require.NoError(b.t, err)
	r.Host, r.Header = "h", http.Header{"Id": {"q1"}, "Key": {"key"}}
	_, err = client.Do(r) //nolint:bodyclose // no response
	require.Error(b.t, err, fmt.Sprint("the caller leaves after ", d))
}

// An entry host of an earlier version relays a refusal that may be a copy: it sends an ID again on the same connection. Guards against
// a 503, or a send to another target, while the request runs.
func TestRefusalRelayedByAnEarlierVersion(t *testing.T) {
	for _, test := range []struct {
		name    string
		kind    rudderroute.Kind
		claimed bool
		want    int
		calls   int32
	}{
		{"earlier version", rudderroute.KindAtMostOnce, false, http.StatusBadGateway, 1},
		{"earlier version, idempotent", rudderroute.KindIdempotent, false, http.StatusServiceUnavailable, 2},
		{"this version", rudderroute.KindAtMostOnce, true, http.StatusServiceUnavailable, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(r *rudderroute.Route) { r.Kind = test.kind })
			for range 2 {
				b.add("plain", "127.0.0.1:9")
			}
			b.start()
			b.relayAll()
			var calls atomic.Int32
			relay := b.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				head, err := rudderpath.ResponseHead{Status: 503, Header: http.Header{"Id": {"q1"}, "Not-Run": {"1"}}, Claimed: test.claimed}.Encode()
				assert.NoError(t, err)
				w.Header().Set(rudderpath.HeaderOutcome, rudderpath.OutcomeAnswered)
				_, _ = w.Write(head)
			}))
			t.Cleanup(relay.Close)
			b.forwarder.Relay.Peers = func() []rudderpath.Peer {
				return []rudderpath.Peer{{Name: "earlier", Address: strings.TrimPrefix(relay.URL, "http://")}}
			}
			response, body, _ := b.send("POST", "/p/x", "body")
			require.Equal(t, test.want, response.StatusCode, body)
			require.Equal(t, test.calls, calls.Load())
		})
	}
}

// A target writes an answer to an earlier request once more. Guards against what it says about the target being taken for news, and
// against a target that counts as crashed because of it.
func TestCopyOfAnotherAnswerTellsNothing(t *testing.T) {
	const notices = "Load: 7\r\nPause: 9\r\nLimit: 5\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
	for _, test := range []struct {
		name, copied string
		kind         rudderroute.Kind
	}{
		{"refusal", "HTTP/1.1 503 Full\r\nId: q0\r\nNot-Run: 1\r\n" + notices, rudderroute.KindAtMostOnce},
		{"refusal, idempotent", "HTTP/1.1 503 Full\r\nId: q0\r\nNot-Run: 1\r\n" + notices, rudderroute.KindIdempotent},
		{"answer", "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q0\r\n" + notices, rudderroute.KindAtMostOnce},
		{"refusal without an ID", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + notices, rudderroute.KindAtMostOnce},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.id = shortIDs()
			b.route("/p/", func(r *rudderroute.Route) { r.Kind = test.kind })
			b.rawTarget("plain", func(w net.Conn, r *http.Request, _, request int) {
				if request == 1 {
					_, _ = io.WriteString(w, answer(r.Header.Get("Id"), "own"))
				} else {
					_, _ = io.WriteString(w, test.copied)
				}
			})
			b.start()
			b.forwarder.Suspect = func(*rudderview.Target, string) { t.Error("the target is suspected") }
			b.forwarder.RecordCrash = func(*rudderview.Target, []rudderpoison.SuspectRequest) { t.Error("a crash is recorded") }
			b.forwarder.Report = unreachable
			for _, want := range []int{http.StatusOK, http.StatusBadGateway} {
				response, body, _ := b.send("POST", "/p/x", "body")
				require.Equal(t, want, response.StatusCode, body)
			}
			time.Sleep(2 * crashCollectTime)
			f, x := b.forwarder, b.forwarder.View.Snapshot().Targets["t1"]
			f.loads.mu.Lock()
			require.Zero(t, f.loads.leaders["t1"].reported)
			f.loads.mu.Unlock()
			require.Zero(t, f.pauses.left(x, f.Uptime()))
			require.False(t, f.Limits.Limited(processOf(x)))
			require.False(t, x.Leaving())
		})
	}
}

// A response is written once more just before its connection is closed, because the ID comes again. Guards against a copy that is taken
// for the response to a request that was not sent.
func TestCopyOnAConnectionThatIsClosed(t *testing.T) {
	for _, body := range []string{"body", ""} {
		b := newTestbed(t)
		b.route("/p/", func(r *rudderroute.Route) { r.Kind = rudderroute.KindAtMostOnce })
		var runs atomic.Int32
		b.rawTarget("plain", func(w net.Conn, _ *http.Request, _, _ int) {
			_, _ = io.WriteString(w, answer("q1", fmt.Sprint("run ", runs.Add(1))))
		})
		b.start()
		b.forwarder.Client.Transport.(*http.Transport).DialContext = rudderpath.Track(func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &ruddertestnet.Overtaken{Conn: c, Text: func() string { return answer("q1", "run 1") }}, err
		})
		for _, want := range []string{"run 1", "run 2"} {
			_, got, err := b.send("POST", "/p/x", body)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
	}
}

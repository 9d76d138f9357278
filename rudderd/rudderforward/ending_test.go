package rudderforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// unframedHead is the head of a response that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"

const threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// writeRaw writes a response without the help of the HTTP server and closes the connection, after before.
func writeRaw(w http.ResponseWriter, text string, before func()) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(connection, text)
	time.Sleep(10 * time.Millisecond)
	before()
	_ = connection.Close()
}

// endings is a testbed with two targets, of which the first one that is sent to ends its response early.
type endings struct {
	*testbed
	mu      sync.Mutex
	servers []*httptest.Server
	runs    int
	checks  atomic.Int32
	born    atomic.Int64 // incarnation that answers reports
	silent  atomic.Bool  // reports are not answered
}

// newEndings serves text on the first run, after which before is called with the target's server, and the events after
// the last one that was received on the others.
func newEndings(t *testing.T, service, text string, before func(e *endings, s *httptest.Server), change func(r *rudderroute.Route)) *endings {
	return newEndingsOn(newTestbed(t), service, text, before, change)
}

func newEndingsOn(b *testbed, service, text string, before func(e *endings, s *httptest.Server), change func(r *rudderroute.Route)) *endings {
	e := &endings{testbed: b}
	e.route("/x/", func(r *rudderroute.Route) {
		r.Shares = []rudderroute.Share{{Service: service, Weight: 1}}
		change(r)
	})
	for i := range 2 {
		server := e.target(service, func(w http.ResponseWriter, r *http.Request) {
			e.mu.Lock()
			e.runs++
			first, self := e.runs == 1, e.servers[i]
			e.mu.Unlock()
			if first {
				writeRaw(w, text, func() { before(e, self) })
				return
			}
			after, rest := 0, threeEvents
			_, _ = fmt.Sscan(r.Header.Get("Last"), &after)
			for range after {
				_, rest, _ = strings.Cut(rest, "\n\n")
			}
			sealed(w)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Content-Length", fmt.Sprint(len(rest)))
			_, _ = io.WriteString(w, rest)
		})
		e.mu.Lock()
		e.servers = append(e.servers, server)
		e.mu.Unlock()
	}
	e.born.Store(1)
	e.start()
	e.forwarder.Metrics.Count = func(name string) {
		if name == "targets.end_checks" {
			e.checks.Add(1)
		}
	}
	e.forwarder.Path.Targets = func() []rudderpath.Target { return e.pathTargets(service) }
	e.forwarder.Report = func(ctx context.Context, address string) (ruddertarget.GroupReport, error) {
		if e.silent.Load() {
			<-ctx.Done()
			return ruddertarget.GroupReport{}, ctx.Err()
		}
		connection, err := e.dial(ctx, "tcp", address)
		if err != nil {
			return ruddertarget.GroupReport{}, err
		}
		return ruddertarget.GroupReport{Born: e.born.Load(), Orders: 1}, connection.Close()
	}
	return e
}

func (e *endings) pathTargets(service string) []rudderpath.Target {
	var list []rudderpath.Target
	for _, x := range e.forwarder.View.Snapshot().Targets {
		if x.Service == service {
			list = append(list, pathTarget(x))
		}
	}
	return list
}

func sound(*endings, *httptest.Server) {}

// died ends the process of a target: its listener closes with its connections.
func died(_ *endings, s *httptest.Server) { _ = s.Listener.Close() }

func restarted(e *endings, _ *httptest.Server) { e.born.Store(2) }

// silent makes targets answer no reports. They accept connections.
func silent(e *endings, _ *httptest.Server) { e.silent.Store(true) }

// leavingAndDied is a target that has announced its end and ends after its last response.
func leavingAndDied(e *endings, s *httptest.Server) {
	for _, x := range e.forwarder.View.Snapshot().Targets {
		if strings.HasSuffix(s.URL, x.Address) {
			e.forwarder.View.MarkLeaving(rudderview.Announcement{Target: x.Name, Born: x.Born})
		}
	}
	died(e, s)
}

// Guards against a response without length and chunks that looks complete although its target crashed in the middle of it,
// and against one that is cut or held for long because its target is silent, ends as announced or is sound.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	resumable := func(r *rudderroute.Route) { r.Kind, r.Resumable = rudderroute.KindStream, true }
	stream := func(r *rudderroute.Route) { r.Kind = rudderroute.KindStream }
	idempotent := func(r *rudderroute.Route) { r.Kind = rudderroute.KindIdempotent }
	once := func(r *rudderroute.Route) { r.Kind = rudderroute.KindAtMostOnce }
	framed := strings.Replace(unframedHead, "Connection: close", fmt.Sprintf("Content-Length: %d", len(twoEvents)), 1)
	large := "data: " + strings.Repeat("x", maxBufferedBytes) + "\n\n"
	for _, test := range []struct {
		name    string
		service string
		change  func(r *rudderroute.Route)
		before  func(e *endings, s *httptest.Server)
		text    string
		status  int
		body    string
		cut     bool
		runs    int
		checks  int32
		relayed bool
	}{
		{"resumable stream, sound", "llm", resumable, sound, unframedHead + twoEvents, 200, twoEvents, false, 1, 1, false},
		{"resumable stream, died", "llm", resumable, died, unframedHead + twoEvents, 200, threeEvents, false, 2, 1, false},
		{"resumable stream, started again", "llm", resumable, restarted, unframedHead + twoEvents, 200, threeEvents, false, 2, 1, false},
		{"resumable stream, silent", "llm", resumable, silent, unframedHead + twoEvents, 200, twoEvents, false, 1, 1, false},
		{"resumable stream, left", "llm", resumable, leavingAndDied, unframedHead + twoEvents, 200, twoEvents, false, 1, 0, false},
		{"resumable stream, framed", "llm", resumable, died, framed + twoEvents, 200, twoEvents, false, 1, 0, false},
		{"resumable stream of a plain service, died", "plain", resumable, died, unframedHead + twoEvents, 200, threeEvents, false, 2, 1, false},
		{"resumable stream of a plain service, sound", "plain", resumable, sound, unframedHead + twoEvents, 200, twoEvents, false, 1, 1, false},
		{"stream, died", "llm", stream, died, unframedHead + twoEvents, 200, twoEvents, true, 1, 1, false},
		{"stream, sound", "llm", stream, sound, unframedHead + twoEvents, 200, twoEvents, false, 1, 1, false},
		{"idempotent, sound", "plain", idempotent, sound, unframedHead + "whole", 200, "whole", false, 1, 1, false},
		{"idempotent, died", "plain", idempotent, died, unframedHead + "par", 200, threeEvents, false, 2, 1, false},
		{"idempotent, died, model service", "llm", idempotent, died, unframedHead + "par", 200, threeEvents, false, 2, 1, false},
		{"idempotent, framed", "plain", idempotent, died, framed + twoEvents, 200, twoEvents, false, 1, 0, false},
		{"at most once, died", "plain", once, died, unframedHead + "par", 502, "", false, 1, 1, false},
		{"at most once, large, died", "plain", once, died, unframedHead + large, 200, large[:maxBufferedBytes], true, 1, 1, false},
		{"resumable stream, relayed, died", "llm", resumable, died, unframedHead + twoEvents, 200, threeEvents, false, 2, 1, true},
		{"resumable stream, relayed, sound", "llm", resumable, sound, unframedHead + twoEvents, 200, twoEvents, false, 1, 1, true},
		{"resumable stream, relayed, framed", "llm", resumable, died, framed + twoEvents, 200, twoEvents, false, 1, 0, true},
		{"at most once, relayed, died", "plain", once, died, unframedHead + "par", 502, "", false, 1, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				e := newEndingsOn(newBubbleTestbed(t), test.service, test.text, test.before, test.change)
				if test.relayed {
					e.relayThrough(t, e.pathTargets(test.service))
				}
				begin := time.Now()
				response, body, err := e.send("POST", "/x/x", "prompt")
				took := time.Since(begin)
				require.Equal(t, test.status, response.StatusCode, body)
				if test.status == 200 {
					require.Equal(t, test.cut, err != nil, "cut: %v", err)
					require.True(t, test.body == body, "%d bytes: %.100s", len(body), body)
				}
				require.Less(t, took, 2*time.Second)
				e.mu.Lock()
				require.Equal(t, test.runs, e.runs)
				e.mu.Unlock()
				require.Equal(t, test.checks, e.checks.Load(), "checks")
			})
		})
	}
}

// Guards against a check for each of many responses that end together, and against a result from before a response ended.
func TestEndChecksAreShared(t *testing.T) {
	e := newEndings(t, "llm", "", sound, func(*rudderroute.Route) {})
	begun, release := make(chan bool, 10), make(chan bool)
	e.forwarder.Report = func(context.Context, string) (ruddertarget.GroupReport, error) {
		begun <- true
		<-release
		return ruddertarget.GroupReport{Born: 1}, nil
	}
	target := &rudderview.Target{Service: "llm", Born: 1}
	first := map[*endCheck]bool{}
	for range 50 {
		first[e.forwarder.endCheck(target)] = true
	}
	require.Len(t, first, 1)
	<-begun
	later := e.forwarder.endCheck(target)
	require.NotContains(t, first, later, "a check that has begun does not show what happens after")
	close(release)
	<-later.done
	require.False(t, later.ended)
	require.Equal(t, int32(2), e.checks.Load())
}

// Guards against an answer that is cut because this entry host, not the target, has lost its connections.
func TestEndWithoutAPath(t *testing.T) {
	e := newEndings(t, "llm", unframedHead+"id: 1\ndata: a\n\n", func(e *endings, _ *httptest.Server) {
		for _, s := range e.servers {
			_ = s.Listener.Close() // as all connections from here are refused
		}
	}, func(r *rudderroute.Route) { r.Kind, r.Resumable = rudderroute.KindStream, true })
	_, body, err := e.send("POST", "/x/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", body)
}

package rudderforward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
)

// cutHeads counts the runs of requests at targets whose first response breaks off in its head.
type cutHeads struct {
	mu   sync.Mutex
	runs map[string]int
	kept int // first responses on connections that had served a request
}

// serve answers a request. Its first run, or its second if it asks for that, gets the bytes of a head before an offset and
// loses its connection then.
func (c *cutHeads) serve(head, whole string) func(w net.Conn, r *http.Request, connection, request int) {
	return func(w net.Conn, r *http.Request, _, request int) {
		q := r.URL.Query()
		c.mu.Lock()
		c.runs[r.RequestURI]++
		run := c.runs[r.RequestURI]
		if q.Get("cut") != "" && request > 1 && run == 1 {
			c.kept++
		}
		c.mu.Unlock()
		own := strings.NewReplacer("Id: q1", "Id: "+r.Header.Get("Id"))
		head, whole := own.Replace(head), own.Replace(whole)
		switch offset, _ := strconv.Atoi(q.Get("cut")); {
		case q.Get("cut") != "" && run == 1 && q.Get("begun") != "":
			_, _ = own.WriteString(w, streamHead+chunk("id: 1\ndata: a\n\n")+chunk("id: 2\ndata: b\n\n"))
			_ = w.Close()
		case q.Get("cut") != "" && (run == 1 || run == 2 && q.Get("begun") != ""):
			_, _ = io.WriteString(w, head[:offset])
			if q.Get("reset") != "" {
				_ = w.(interface{ SetLinger(seconds int) error }).SetLinger(0)
			}
			_ = w.Close()
		default:
			_, _ = io.WriteString(w, whole)
		}
	}
}

// relayThrough makes a forwarder send its requests to targets through another one, which it returns.
func (b *testbed) relayThrough(t *testing.T, targets []rudderpath.Target) *Forwarder {
	f := b.forwarder
	other := &Forwarder{
		View: f.View, Protocol: f.Protocol, Client: f.Client, Logger: f.Logger, Uptime: f.Uptime, Metrics: f.Metrics, Limits: f.Limits, Path: f.Path,
		Relay: f.Relay, Report: f.Report, Verdict: f.Verdict, Confirm: f.Confirm, ReachedElsewhere: f.ReachedElsewhere, Suspect: f.Suspect, RecordCrash: f.RecordCrash, RecordSurvival: f.RecordSurvival, MaxRelayed: 10,
	}
	server, transport := b.serve(http.HandlerFunc(other.ServeRelayed)), &http.Transport{DialContext: b.dial}
	t.Cleanup(server.Close)
	t.Cleanup(transport.CloseIdleConnections)
	f.Relay = &rudderpath.Relay{Uptime: f.Uptime, Transport: transport, Peers: func() []rudderpath.Peer {
		return []rudderpath.Peer{{Name: "other", Address: strings.TrimPrefix(server.URL, "http://")}}
	}}
	f.Path = &rudderpath.Monitor{
		Uptime: f.Uptime, Targets: func() []rudderpath.Target { return targets }, EntryHosts: func() int { return 2 }, OnChange: func(rudderpath.Target, bool) {},
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed },
	}
	for _, x := range targets {
		f.Path.Failed(x)
	}
	return other
}

const answerLines = "Seal: s\r\nId: q1\r\nContent-Type: text/event-stream\r\n"

// Guards against a response that looks complete, a request that runs twice, and one that is reported as not run, because its
// target closes or resets the connection inside the head of its response.
func TestHeadThatBreaksOff(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(events))
	heads := []string{
		"HTTP/1.1 200 OK\r\n" + length + answerLines + "\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + answerLines + "Transfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + answerLines + "\r\n",
	}
	for _, test := range []struct {
		name     string
		kind     rudderroute.Kind
		attempts int
		resume   bool // the stream may be resumed
		begun    bool // a target has begun the stream
		relayed  bool
		want     int // 0 for a response that breaks off
		runs     int
	}{
		{"at most once", rudderroute.KindAtMostOnce, 2, false, false, false, 502, 1},
		{"idempotent", rudderroute.KindIdempotent, 2, false, false, false, 200, 2},
		{"stream", rudderroute.KindStream, 2, false, false, false, 502, 1},
		{"resumable stream", rudderroute.KindStream, 2, true, false, false, 200, 2},
		{"resumed stream", rudderroute.KindStream, 3, true, true, false, 200, 3},
		{"resumed stream, no attempt left", rudderroute.KindStream, 2, true, true, false, 0, 2},
		{"at most once, relayed", rudderroute.KindAtMostOnce, 2, false, false, true, 502, 1},
		{"idempotent, relayed", rudderroute.KindIdempotent, 2, false, false, true, 200, 2},
		{"resumable stream, relayed", rudderroute.KindStream, 2, true, false, true, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newBubbleTestbed(t)
				b.id = shortIDs()
				var targets []rudderpath.Target
				c := &cutHeads{runs: map[string]int{}}
				for i, head := range heads {
					prefix, service := fmt.Sprint("/", i, "/"), fmt.Sprint("s", i)
					b.document.Services = append(b.document.Services, rudderroute.Service{Name: service})
					b.route(prefix, func(r *rudderroute.Route) {
						r.Kind, r.MaxAttempts, r.Resumable, r.Timeout = test.kind, test.attempts, test.resume, 20*time.Second
						r.Shares = []rudderroute.Share{{Service: service, Weight: 1}}
					})
					for range 3 {
						b.rawTarget(service, c.serve(head, "HTTP/1.1 200 OK\r\n"+length+answerLines+"\r\n"+events))
						targets = append(targets, rudderpath.Target{Name: fmt.Sprint("t", b.targets), Born: 1, Service: service})
					}
				}
				b.start()
				b.forwarder.Retries.Extra = 10000
				if test.relayed {
					b.relayThrough(t, targets)
				}
				for i, head := range heads {
					for offset := range len(head) {
						for _, ending := range []string{"", "&reset=1"} {
							if offset%2 == 0 { // the next request reuses a connection
								_, _, err := b.send("POST", fmt.Sprintf("/%d/x?before=%d%s", i, offset, ending), "body")
								require.NoError(t, err)
							}
							target := fmt.Sprintf("/%d/x?cut=%d%s", i, offset, ending)
							if test.begun {
								target += "&begun=1"
							}
							response, body, err := b.send("POST", target, "body")
							switch {
							case test.want != 0:
								require.Equal(t, test.want, response.StatusCode, "%s: %s", target, body)
							case response.StatusCode == http.StatusOK:
								require.Error(t, err, "%s: looks complete: %q", target, body)
							default:
								require.Equal(t, 502, response.StatusCode, target)
							}
							if test.want == 200 {
								require.NoError(t, err, target)
								require.Equal(t, events, body, target)
							}
							c.mu.Lock()
							require.Equal(t, test.runs, c.runs[target], target)
							c.mu.Unlock()
						}
					}
				}
				require.Positive(t, c.kept)
			})
		})
	}
}

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
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// lateTarget reads no request until it wakes. Then it refuses those that it finds, asks for a pause and announces that it leaves.
type lateTarget struct {
	wakes time.Time
	pause time.Duration
	mu    sync.Mutex
	found []time.Time // arrivals of requests
}

func (a *lateTarget) serve(w net.Conn, r *http.Request, _, _ int) {
	a.mu.Lock()
	a.found = append(a.found, time.Now())
	a.mu.Unlock()
	time.Sleep(time.Until(a.wakes))
	_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nPause: %.3f\r\nLimit: 1.5\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"), a.pause.Seconds())
}

func (a *lateTarget) arrivals() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.found)
}

// A target is silent for 1.2 s, and the sends that waited for it are cancelled meanwhile. Guards against losing what its refusals say
// when it wakes, so that requests reach it within a pause that it has asked for.
func TestRefusalOfCancelledSend(t *testing.T) {
	for _, test := range []struct {
		name  string
		route func(r *rudderroute.Route)
		start func(b *testbed)
		leave time.Duration // after which the caller leaves; 0 if it stays
	}{
		{"call hangs", func(r *rudderroute.Route) { r.Timeout = 1500 * time.Millisecond }, func(*testbed) {}, 0},
		{"time limit", func(r *rudderroute.Route) { r.MaxAttempts, r.Timeout = 1, 600*time.Millisecond }, func(*testbed) {}, 0},
		{"caller leaves", func(r *rudderroute.Route) { r.MaxAttempts = 1 }, func(*testbed) {}, 400 * time.Millisecond},
		{"path is lost", func(*rudderroute.Route) {}, func(b *testbed) {
			woken := time.Now().Add(1200 * time.Millisecond)
			b.forwarder.Path.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if time.Now().Before(woken) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return b.dial(ctx, network, address)
			}
			b.forwarder.Relay.Transport = &http.Transport{DialContext: b.dial}
			b.forwarder.Relay.Peers = func() []rudderpath.Peer { return []rudderpath.Peer{{Name: "e1", Address: "127.0.0.1:9999"}} }
		}, 0},
		{"member of its group is silent", streamRoute(true), func(b *testbed) {
			b.forwarder.ExamineGroup = func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
				return GroupFinding{Silent: []string{"t"}}, true
			}
		}, 0},
		{"member of its group is dead", streamRoute(true), func(b *testbed) {
			b.forwarder.ExamineGroup = func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
				return GroupFinding{Dead: []string{"t"}}, true
			}
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBubbleTestbed(t)
				b.route("/p/", test.route)
				service := b.document.Routes[0].Shares[0].Service
				late := &lateTarget{wakes: time.Now().Add(1200 * time.Millisecond), pause: 20 * time.Second}
				b.rawTarget(service, late.serve)
				b.target(service, func(w http.ResponseWriter, r *http.Request) { events(w, 0, 2, 0) })
				b.start()
				test.start(b)
				for late.arrivals() == 0 {
					b.sendUntil(test.leave)
				}
				time.Sleep(time.Until(late.wakes) + 100*time.Millisecond)
				found := late.arrivals()
				require.Positive(t, b.forwarder.pauses.left(b.forwarder.View.Snapshot().Targets["t1"], b.forwarder.Uptime()), "the pause is known")
				for range 40 {
					b.sendUntil(0)
					time.Sleep(50 * time.Millisecond)
				}
				require.Equal(t, found, late.arrivals(), "no request reaches the target within its pause")
				require.Zero(t, b.forwarder.lateResponses.Load())
			})
		})
	}
}

// sendUntil sends a request whose caller leaves after a time; 0 if it stays.
func (b *testbed) sendUntil(leave time.Duration) {
	ctx := context.Background()
	if leave > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, leave)
		defer cancel()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/p/x", strings.NewReader("body"))
	require.NoError(b.t, err)
	r.Host, r.Header = "h", http.Header{"Id": {"q1"}, "Key": {"key"}}
	if response, err := b.client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// Another entry host relays a request to a silent target and is told to end it. Guards against losing the pause that the target asks
// that host for when it wakes.
func TestRefusalOfCancelledRelayedSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBubbleTestbed(t)
		b.route("/p/", func(r *rudderroute.Route) { r.MaxAttempts, r.Timeout = 1, 600*time.Millisecond })
		late := &lateTarget{wakes: time.Now().Add(1200 * time.Millisecond), pause: 20 * time.Second}
		b.rawTarget("plain", late.serve)
		b.start()
		t1 := b.forwarder.View.Snapshot().Targets["t1"]
		other := b.relayThrough(t, []rudderpath.Target{pathTarget(t1)})
		b.sendUntil(0)
		require.Equal(t, 1, late.arrivals())
		time.Sleep(time.Until(late.wakes) + 100*time.Millisecond)
		require.Positive(t, other.pauses.left(t1, other.Uptime()), "the entry host that sent the request knows the pause")
	})
}

// A suspended process refuses the requests that it finds when it goes on, after all their sends have been cancelled. Guards against
// more than two requests within the pause that it asks for, half a second after its first refusal.
func TestRefusalsOfSuspendedProcess(t *testing.T) {
	const requests = 40
	b := newTestbed(t)
	b.slots = 1000
	b.route("/refused/", func(r *rudderroute.Route) { r.MaxAttempts, r.Timeout = 1, 500*time.Millisecond })
	p := startTargetProcess(t, 1000)
	b.add("plain", p.address)
	b.start()
	p.signal(t, syscall.SIGSTOP)
	var callers sync.WaitGroup
	send := func(id string, leave time.Duration) {
		ctx, cancel := context.WithTimeout(t.Context(), leave)
		defer cancel()
		b.sendAs(ctx, http.DefaultClient, id, "/refused/x", "body", nil)
	}
	for i := range requests {
		callers.Go(func() { send(fmt.Sprint("a", i), time.Duration(300+10*i)*time.Millisecond) })
	}
	callers.Wait()
	time.Sleep(500 * time.Millisecond)
	p.signal(t, syscall.SIGCONT)
	time.Sleep(pauseGrace)
	before := len(p.await(50 * time.Millisecond))
	require.GreaterOrEqual(t, before, requests)
	for i := range requests { // at once: the pause has to be known before
		callers.Go(func() { send(fmt.Sprint("b", i), time.Second) })
	}
	callers.Wait()
	require.LessOrEqual(t, len(p.await(100*time.Millisecond))-before, 2)
}

// Guards against a target that goes on with a request that nobody waits for: it sees its caller leave at once, and its connection is
// closed when its response begins.
func TestCancelledSendEndsAtItsTarget(t *testing.T) {
	for _, begins := range []bool{false, true} {
		t.Run(fmt.Sprint("response begins ", begins), func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(r *rudderroute.Route) {
				streamRoute(true)(r)
				r.MaxAttempts = 1
			})
			ended := make(chan time.Duration, 1)
			b.target("llm", func(w http.ResponseWriter, r *http.Request) {
				began := time.Now()
				_, _ = io.Copy(io.Discard, r.Body) // a server looks for the end of its connection after the body
				if !begins {
					<-r.Context().Done()
					ended <- time.Since(began)
					return
				}
				time.Sleep(time.Second) // does not notice that its caller has left
				sealed(w)
				control := http.NewResponseController(w)
				var err error
				for i := 1; err == nil && i < 1000; i++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000))
					err = control.Flush()
					time.Sleep(10 * time.Millisecond)
				}
				ended <- time.Since(began)
			})
			b.start()
			b.sendUntil(400 * time.Millisecond)
			limit := 700 * time.Millisecond // the target sees its caller leave
			if begins {
				limit = 1400 * time.Millisecond // its connection is closed when the response begins
			}
			select {
			case took := <-ended:
				require.Less(t, took, limit)
			case <-time.After(5 * time.Second):
				require.Fail(t, "the target still works on the request")
			}
		})
	}
}

// Guards against late responses that are awaited without a bound on their number, their memory or their time.
func TestLateResponsesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBubbleTestbed(t)
		b.route("/p/", func(r *rudderroute.Route) { r.MaxAttempts, r.Timeout = 1, 600*time.Millisecond })
		asleep, wake := context.WithCancel(t.Context())
		defer wake()
		for range maxLateResponses / 4 {
			b.rawTarget("plain", func(net.Conn, *http.Request, int, int) { <-asleep.Done() })
		}
		b.start()
		sendAll := func(n int) {
			var callers sync.WaitGroup
			for range n {
				callers.Go(func() { b.sendUntil(0) })
			}
			callers.Wait()
		}
		sendAll(maxLateResponses + 20)
		require.Equal(t, int64(maxLateResponses), b.forwarder.lateResponses.Load())
		time.Sleep(targetSilence + time.Millisecond)
		require.Zero(t, b.forwarder.lateResponses.Load(), "none is awaited after the time in which a sound target answers")
		b.forwarder.Bodies = rudderbody.NewBudget(64 * lateResponseBytes)
		sendAll(80)
		require.Positive(t, b.forwarder.lateResponses.Load())
		require.Less(t, b.forwarder.Bodies.Held(), int64(64*lateResponseBytes))
		time.Sleep(targetSilence + time.Millisecond)
		require.Zero(t, b.forwarder.Bodies.Held())
	})
}

// Requests have chosen a target, and wait for a connection to it, when it asks for a pause. Guards against sending them within the
// pause.
func TestPauseAppliesToChosenTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBubbleTestbed(t)
		b.route("/p/", func(*rudderroute.Route) {})
		var arrivals, dials atomic.Int32
		b.rawTarget("plain", func(w net.Conn, _ *http.Request, _, _ int) {
			arrivals.Add(1)
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(w, "HTTP/1.1 503 Full\r\nId: q1\r\nNot-Run: 1\r\nPause: 5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		})
		b.start()
		b.forwarder.Client.Transport.(*http.Transport).DialContext = rudderpath.Track(func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				time.Sleep(900 * time.Millisecond) // as long as a lost packet takes
			}
			return b.dial(ctx, network, address)
		})
		var callers sync.WaitGroup
		for range 3 {
			callers.Go(func() { b.sendUntil(0) })
			synctest.Wait()
		}
		callers.Wait()
		require.Equal(t, int32(3), dials.Load())
		require.Equal(t, int32(1), arrivals.Load())
	})
}

// A stream is to go on in another group, whose leader asks for a pause. Guards against sending it there, and against taking a second
// retry from the budget for the next choice.
func TestPauseAppliesToMoves(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", streamRoute(true))
	for range 2 {
		b.target("llm", func(w http.ResponseWriter, _ *http.Request) { events(w, 0, 1, 0) })
	}
	b.start()
	f, snapshot := b.forwarder, b.forwarder.View.Snapshot()
	groups := snapshot.Groups("llm", "m")
	f.Retries = RetryLimits{Window: 10 * time.Second}
	f.pauses.set(groups[0].Leader, f.Uptime()+time.Minute, f.Uptime())
	j := &job{begin: f.Uptime(), limit: time.Minute, route: snapshot.Table.Match("h", "/p/x"), service: "llm", public: true, runs: 1, sends: 1, moveTo: groups[0]}
	g, refused := f.nextGroup(t.Context(), j)
	require.Nil(t, refused)
	require.Equal(t, groups[1].ID, g.ID)
}

// Responses without a body arrive in the moment in which their sends end, so that their connections may be in use again. Guards against
// ending or closing a connection under the request of another caller.
func TestCancelledSendLeavesReusedConnection(t *testing.T) {
	for _, serve := range []string{"empty", "refused"} {
		t.Run(serve, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBubbleTestbed(t)
				b.id = shortIDs()
				b.route("/p/", func(r *rudderroute.Route) {
					r.Kind, r.MaxAttempts, r.Timeout = rudderroute.KindAtMostOnce, 1, 100*time.Millisecond
				})
				head := "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\nContent-Length: 0\r\n\r\n"
				if serve == "refused" {
					head = "HTTP/1.1 503 Full\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
				}
				b.rawTarget("plain", func(w net.Conn, r *http.Request, _, _ int) {
					if r.URL.Path == "/p/slow" {
						time.Sleep(100 * time.Millisecond)
						_, _ = strings.NewReplacer("q1", r.Header.Get("Id")).WriteString(w, head)
						return
					}
					time.Sleep(time.Millisecond)
					_, _ = io.WriteString(w, answer(r.Header.Get("Id"), "own"))
				})
				b.start()
				for range 500 {
					var callers sync.WaitGroup
					callers.Go(func() { _, _, _ = b.send("POST", "/p/slow", "body") })
					time.Sleep(100 * time.Millisecond)
					for range 3 {
						callers.Go(func() {
							response, body, err := b.send("POST", "/p/fast", "body")
							assert.NoError(t, err)
							assert.Equal(t, 200, response.StatusCode, body)
						})
					}
					callers.Wait()
				}
			})
		})
	}
}

// A target asks for a pause while a connection to it is not set up in time. Guards against sending the request through another entry
// host, which does not know the pause.
func TestPauseAppliesToRelayedSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBubbleTestbed(t)
		b.route("/p/", func(*rudderroute.Route) {})
		var arrivals, dials atomic.Int32
		b.rawTarget("plain", func(w net.Conn, _ *http.Request, _, _ int) {
			arrivals.Add(1)
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(w, "HTTP/1.1 503 Full\r\nId: q1\r\nNot-Run: 1\r\nPause: 5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		})
		b.start()
		b.forwarder.Client.Transport.(*http.Transport).DialContext = rudderpath.Track(func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) == 2 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return b.dial(ctx, network, address)
		})
		b.relayThrough(t, nil)
		var callers sync.WaitGroup
		for range 2 {
			callers.Go(func() { b.sendUntil(0) })
			synctest.Wait()
		}
		callers.Wait()
		require.Equal(t, int32(1), arrivals.Load())
	})
}

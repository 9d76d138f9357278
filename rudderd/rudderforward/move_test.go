package rudderforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// Guards against cutting an accepted stream at the end of a shutdown because its group is slow, although another one could
// have finished it, and against moves that cannot help.
func TestStreamLeavesSlowGroupDuringShutdown(t *testing.T) {
	const allowed = 40
	for _, test := range []struct {
		name      string
		length    int           // events of the answer
		otherPace time.Duration // of the second group
		change    func(r *rudderroute.Route)
		retries   float64
		moved     bool
		whole     bool
	}{
		{"other group is fast", allowed, 5 * time.Millisecond, nil, 100, true, true},
		{"answer ends early", 10, 5 * time.Millisecond, nil, 100, false, true},
		{"other group is as slow", allowed, 60 * time.Millisecond, nil, 100, false, false},
		{"one attempt", allowed, 5 * time.Millisecond, func(r *rudderroute.Route) { r.MaxAttempts = 1 }, 100, false, false},
		{"not resumable", allowed, 5 * time.Millisecond, func(r *rudderroute.Route) { r.Resumable = false }, 100, false, false},
		{"retry budget is spent", allowed, 5 * time.Millisecond, nil, 0, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t)
			b.route("/s/", streamRoute(true))
			var arrivals atomic.Int32
			for range 2 {
				b.target("llm", func(w http.ResponseWriter, r *http.Request) {
					pace := 60 * time.Millisecond
					if arrivals.Add(1) > 1 {
						pace = test.otherPace
					}
					var after int
					_, _ = fmt.Sscan(r.Header.Get("Last"), &after)
					for i := after; i < test.length && r.Context().Err() == nil; i++ {
						time.Sleep(pace)
						events(w, i, i+1, 0)
					}
				})
			}
			if test.change != nil {
				test.change(&b.document.Routes[0])
			}
			b.start()
			b.forwarder.Retries = RetryLimits{Extra: test.retries, Window: 10 * time.Second}
			f := b.forwarder
			for range minDurationSamples {
				f.durations.observe("llm\x00m", durationSample{endedAt: f.Uptime(), firstByte: test.otherPace, perEvent: test.otherPace})
			}
			stop := time.AfterFunc(200*time.Millisecond, func() { f.BeginShutdown(f.Uptime() + 1500*time.Millisecond) })
			end := time.AfterFunc(1700*time.Millisecond, f.CancelRunning)
			defer func() { stop.Stop(); end.Stop() }()
			r, err := http.NewRequest(http.MethodPost, b.server.URL+"/s/x", strings.NewReader("prompt"))
			require.NoError(t, err)
			r.Host = "h"
			for name, value := range map[string]string{"Id": "q1", "Key": "key", "Answer": fmt.Sprint(allowed)} {
				r.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			ids := eventIDs(string(body))
			require.Equal(t, test.whole, err == nil, "%v", err)
			require.Equal(t, test.moved, arrivals.Load() == 2)
			for i, id := range ids {
				require.Equal(t, fmt.Sprint(i+1), id)
			}
			if test.whole {
				require.Len(t, ids, test.length)
			}
		})
	}
}

// slowGroupBed is a testbed whose first target that runs a stream is slow.
type slowGroupBed struct {
	*testbed
	arrivals atomic.Int32
}

// sendSlow sends a stream and begins the shutdown after a number of events.
func (b *slowGroupBed) sendSlow(allowed int) ([]string, error) {
	r, err := http.NewRequest(http.MethodPost, b.server.URL+"/s/x", strings.NewReader("prompt"))
	require.NoError(b.t, err)
	r.Host = "h"
	for name, value := range map[string]string{"Id": "q1", "Key": "key", "Answer": fmt.Sprint(allowed)} {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	require.NoError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return eventIDs(string(body)), err
}

const (
	slowPace = 60 * time.Millisecond
	fastPace = 10 * time.Millisecond
)

// streamSlowly sends the events of a stream and begins a shutdown after the tenth.
func streamSlowly(w http.ResponseWriter, r *http.Request, f *Forwarder, length int, left time.Duration) {
	for i := 0; i < length && r.Context().Err() == nil; i++ {
		if i == 10 {
			f.BeginShutdown(f.Uptime() + left)
			time.AfterFunc(left, f.CancelRunning)
		}
		time.Sleep(slowPace)
		events(w, i, i+1, 0)
	}
}

func streamFast(w http.ResponseWriter, r *http.Request, length int) {
	var after int
	_, _ = fmt.Sscan(r.Header.Get("Last"), &after)
	for i := after; i < length && r.Context().Err() == nil; i++ {
		time.Sleep(fastPace)
		events(w, i, i+1, 0)
	}
}

func observeFast(f *Forwarder, firstByte time.Duration) {
	for range minDurationSamples {
		f.durations.observe("llm\x00m", durationSample{endedAt: f.Uptime(), firstByte: firstByte, perEvent: fastPace})
	}
}

// Guards against moves that count once in the retry budget and allow any number of repeated sends after it.
func TestMoveTakesOneRetry(t *testing.T) {
	b := &slowGroupBed{testbed: newTestbed(t)}
	b.route("/s/", func(r *rudderroute.Route) { streamRoute(true)(r); r.MaxAttempts = 4 })
	for range 5 {
		b.target("llm", func(w http.ResponseWriter, r *http.Request) {
			if b.arrivals.Add(1) == 1 {
				streamSlowly(w, r, b.forwarder, 40, 1200*time.Millisecond)
				return
			}
			sealed(w)
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	b.start()
	b.forwarder.Retries = RetryLimits{Extra: 2, Window: 10 * time.Second} // one retry for this entry host
	observeFast(b.forwarder, fastPace)
	_, _ = b.sendSlow(40)
	require.LessOrEqual(t, b.arrivals.Load(), int32(2), "the first send and one retry")
}

// Guards against a move of a stream that may not be sent again, because targets have refused it.
func TestNoMoveWithoutSendsLeft(t *testing.T) {
	const length = 20
	b := &slowGroupBed{testbed: newTestbed(t)}
	b.route("/s/", streamRoute(true)) // two attempts and two more sends
	for range 5 {
		b.target("llm", func(w http.ResponseWriter, r *http.Request) {
			switch n := b.arrivals.Add(1); {
			case n <= 3:
				sealed(w)
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			case n == 4:
				streamSlowly(w, r, b.forwarder, length, time.Second)
			default:
				streamFast(w, r, length)
			}
		})
	}
	b.start()
	observeFast(b.forwarder, fastPace)
	ids, err := b.sendSlow(40)
	require.NoError(t, err, "the stream would have ended in its own group")
	require.Len(t, ids, length)
}

// Guards against moving a stream when the time that is left is too short for another group; most answers end before their
// greatest length.
func TestNoMoveThatCannotHelp(t *testing.T) {
	const length = 20
	b := &slowGroupBed{testbed: newTestbed(t)}
	b.route("/s/", streamRoute(true))
	for range 2 {
		b.target("llm", func(w http.ResponseWriter, r *http.Request) {
			if b.arrivals.Add(1) == 1 {
				streamSlowly(w, r, b.forwarder, length, time.Second)
				return
			}
			time.Sleep(1500 * time.Millisecond) // until the prompt has been read
			streamFast(w, r, length)
		})
	}
	b.start()
	observeFast(b.forwarder, 1500*time.Millisecond)
	ids, err := b.sendSlow(40)
	require.NoError(t, err, "the stream would have ended in its own group")
	require.Len(t, ids, length)
}

// BenchmarkTooSlow measures the cost of an event during a shutdown.
func BenchmarkTooSlow(b *testing.B) {
	for _, n := range []int{50, 500} {
		uptime := func() time.Duration { return time.Minute }
		f := &Forwarder{View: &rudderview.View{Uptime: uptime}, Uptime: uptime}
		now := f.Uptime()
		for i := range durationSamples {
			f.durations.observe("llm\x00m", durationSample{endedAt: now, took: time.Second, firstByte: 100 * time.Millisecond, perEvent: time.Duration(20+i%7) * time.Millisecond})
		}
		for i := range lengthSamples {
			f.lengths.observe("llm", 1+float64(i%13)/13, now)
		}
		var j *job
		g := &rudderview.Group{Leader: &rudderview.Target{}}
		for range n {
			r := &runningRequest{kind: "llm\x00m", begin: now}
			r.firstEvent.Store(int64(now - 29*25*time.Millisecond))
			r.events.Store(30)
			f.shutdown.running.Store(r, true)
			j = &job{running: r, begin: now, limit: 20 * time.Second, service: "llm", request: Request{AnswerTokens: 400, ExpectedTokens: 200, Model: "m"},
				route: &rudderroute.Route{Kind: rudderroute.KindStream, Resumable: true, MaxAttempts: 2}, events: 30}
		}
		f.BeginShutdown(now + time.Hour)
		b.Run(fmt.Sprintf("%d/event, would end", n), func(b *testing.B) {
			for range b.N {
				f.tooSlow(j, g, now)
			}
		})
		f.shutdown.end.Store(int64(now + 2*time.Second))
		b.Run(fmt.Sprintf("%d/event, would not end", n), func(b *testing.B) {
			for range b.N {
				f.tooSlow(j, g, now)
			}
		})
	}
}

// Guards against a move out of a group when no other one has room: the stream may still end in its own.
func TestNoMoveWithoutRoomElsewhere(t *testing.T) {
	const length = 20
	b := &slowGroupBed{testbed: newTestbed(t)}
	b.route("/s/", streamRoute(true))
	for range 2 {
		b.target("llm", func(w http.ResponseWriter, r *http.Request) {
			b.arrivals.Add(1)
			streamSlowly(w, r, b.forwarder, length, time.Second)
		})
	}
	b.start()
	observeFast(b.forwarder, fastPace)
	var picks atomic.Int32
	b.forwarder.Pick = func(_ context.Context, q PickQuery) Pick {
		if picks.Add(1) == 1 {
			return Pick{Answered: true, Group: "g-t1"}
		}
		return Pick{Answered: true, Full: true}
	}
	ids, err := b.sendSlow(40)
	require.NoError(t, err, "the stream would have ended in its own group")
	require.Len(t, ids, length)
}

// Guards against a stream that runs into its time limit at a slow group although another one would have finished it, and against
// moves that cannot help or that only add work when all groups are slow.
func TestStreamLeavesSlowGroupBeforeItsTimeLimit(t *testing.T) {
	const allowed, full = 40, 10 * time.Millisecond
	for _, test := range []struct {
		name    string
		length  int // events of the answer
		slow    []string
		wait    time.Duration // expected for another group
		change  func(r *rudderroute.Route)
		retries float64
		moved   bool
		whole   bool
	}{
		{"other group has its usual pace", allowed, []string{"g-t1@1"}, 0, nil, 100, true, true},
		{"answer ends early", 5, []string{"g-t1@1"}, 0, nil, 100, false, true},
		{"all groups are slow", allowed, []string{"g-t1@1", "g-t2@1"}, 0, nil, 100, false, false},
		{"group reads prompts", allowed, nil, 0, nil, 100, false, false},
		{"other group has no room", allowed, []string{"g-t1@1"}, time.Second, nil, 100, false, false},
		{"one attempt", allowed, []string{"g-t1@1"}, 0, func(r *rudderroute.Route) { r.MaxAttempts = 1 }, 100, false, false},
		{"not resumable", allowed, []string{"g-t1@1"}, 0, func(r *rudderroute.Route) { r.Resumable = false }, 100, false, false},
		{"retry budget is spent", allowed, []string{"g-t1@1"}, 0, nil, 0, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b := &slowGroupBed{testbed: newTestbed(t)}
			b.document.Services[1].Engine.Step, b.document.Services[1].Engine.TokensPerEvent = full, 1
			b.route("/s/", func(r *rudderroute.Route) {
				streamRoute(true)(r)
				r.Timeout = 1500 * time.Millisecond
				if test.change != nil {
					test.change(r)
				}
			})
			for range 2 {
				b.target("llm", func(w http.ResponseWriter, r *http.Request) {
					if b.arrivals.Add(1) > 1 {
						streamFast(w, r, test.length)
						return
					}
					for i := 0; i < test.length && r.Context().Err() == nil; i++ {
						time.Sleep(slowPace)
						events(w, i, i+1, 0)
					}
				})
			}
			b.start()
			b.forwarder.Retries = RetryLimits{Extra: test.retries, Window: 10 * time.Second}
			b.forwarder.ExamineGroup = func(_ context.Context, g *rudderview.Group, _ time.Duration) (GroupFinding, bool) {
				if slices.Contains(test.slow, g.ID) {
					return GroupFinding{Slow: []string{"t"}}, true
				}
				return GroupFinding{}, true
			}
			b.forwarder.Pick = func(_ context.Context, q PickQuery) Pick {
				if !slices.Contains(q.Avoid, "g-t1@1") {
					return Pick{Answered: true, Group: "g-t1@1", Slow: test.slow}
				}
				return Pick{Answered: true, Group: "g-t2@1", Slow: test.slow, Wait: test.wait}
			}
			ids, err := b.sendSlow(allowed)
			require.Equal(t, test.whole, err == nil, "%v", err)
			require.Equal(t, test.moved, b.arrivals.Load() == 2)
			for i, id := range ids {
				require.Equal(t, fmt.Sprint(i+1), id)
			}
			if test.whole {
				require.Len(t, ids, test.length)
			}
		})
	}
}

package rudderforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
)

// Guards against an entry host that accepts requests which cannot end before it stops, or refuses those that can.
func TestAdmissionDuringShutdown(t *testing.T) {
	b := newTestbed(t)
	b.document.Services[1].Engine.Step = 20 * time.Millisecond
	b.target("llm", nil)
	b.start()
	f := b.forwarder
	now := f.Uptime()
	observe := func(service string, n int, took time.Duration) {
		for range n {
			f.durations.observe(service+"\x00", durationSample{endedAt: now, took: took, firstByte: took / 4, perEvent: took * 3 / 4 / 30})
		}
	}
	stream := func(service string, events int64, pace time.Duration) {
		r := &runningRequest{kind: service + "\x00", begin: now - time.Duration(events)*pace}
		r.firstEvent.Store(int64(now - time.Duration(events-1)*pace))
		r.events.Store(events)
		f.shutdown.running.Store(r, true)
	}
	observe("known", minDurationSamples, time.Second)
	observe("few", minDurationSamples-1, time.Second)
	observe("slow", durationSamples, time.Second)
	for range minDurationSamples {
		f.durations.observe("llm\x00m", durationSample{endedAt: now, took: 100 * time.Millisecond, firstByte: 50 * time.Millisecond, perEvent: 500 * time.Microsecond})
	}
	f.shutdown.running.Store(&runningRequest{kind: "slow\x00", begin: now - 4*time.Second}, true)
	for _, service := range []string{"busy", "one busy group", "few streams"} {
		observe(service, durationSamples, time.Second)
	}
	for _, pace := range []time.Duration{100, 100, 25} {
		stream("busy", minPacedEvents, pace*time.Millisecond)
	}
	for _, pace := range []time.Duration{25, 100, 25} {
		stream("one busy group", minPacedEvents, pace*time.Millisecond)
	}
	for range minPacedStreams - 1 {
		stream("few streams", minPacedEvents, 100*time.Millisecond)
	}
	f.BeginShutdown(now + 3*time.Second)
	for _, test := range []struct {
		name    string
		service string
		limit   time.Duration
		tokens  int
		wait    time.Duration
		call    bool
		want    bool
	}{
		{"streams in flight are slow", "busy", 8 * time.Second, 30, 0, false, false},
		{"one stream in flight is slow", "one busy group", 8 * time.Second, 30, 0, false, true},
		{"few streams in flight", "few streams", 8 * time.Second, 30, 0, false, true},
		{"time limit ends before", "new", 2 * time.Second, 30, 0, false, true},
		{"nothing is known", "new", 8 * time.Second, 30, 0, false, false},
		{"too little is known", "few", 8 * time.Second, 30, 0, false, false},
		{"usual length", "known", 8 * time.Second, 30, 0, false, true},
		{"long answer", "known", 8 * time.Second, 120, 0, false, false},
		{"long wait for a group", "known", 8 * time.Second, 30, 2 * time.Second, false, false},
		{"slow requests in flight", "slow", 8 * time.Second, 30, 0, false, false},
		{"silence of the target", "known", 8 * time.Second, 66, 0, false, false},
		{"margin of a stream", "known", 8 * time.Second, 96, 0, false, false},
		{"full length of an answer fits", "llm", 8 * time.Second, 50, 0, false, true},
		{"full length of an answer, recent ones were short", "llm", 8 * time.Second, 100, 0, false, false},
		{"length beyond all bounds", "known", 8 * time.Second, math.MaxInt, 0, false, false},
		{"short call", "known", 8 * time.Second, 30, 0, true, true},
		{"margin of a call", "known", 8 * time.Second, 42, 0, true, false},
	} {
		j := &job{
			begin: now, limit: test.limit, service: test.service, expectedWait: test.wait,
			route: &rudderroute.Route{Kind: rudderroute.KindStream}, request: Request{AnswerTokens: test.tokens},
		}
		if test.call {
			j.route.Kind = rudderroute.KindIdempotent
		}
		require.Equal(t, test.want, f.endsBeforeShutdown(j), test.name)
	}
}

// Most answers end far before the length that their callers allow. Guards against a duration that is expected by the allowed
// length of recent answers, with which a stopping entry host accepts streams that it then cuts; and against refusing the
// streams that callers rightly expect to be short.
func TestExpectedDurationFollowsDeliveredEvents(t *testing.T) {
	const pace = 20 * time.Millisecond
	b := newTestbed(t)
	b.route("/s/", streamRoute(false))
	b.target("llm", func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.Header.Get("Events"))
		for i := range n {
			time.Sleep(pace)
			events(w, i, i+1, 0)
		}
	})
	b.start()
	send := func(allowed, expected, events int) int {
		r, err := http.NewRequest(http.MethodPost, b.server.URL+"/s/x", strings.NewReader("prompt"))
		require.NoError(t, err)
		r.Host = "h"
		for name, value := range map[string]any{"Id": "q1", "Key": "key", "Answer": allowed, "Expected": expected, "Events": events} {
			r.Header.Set(name, fmt.Sprint(value))
		}
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	for range minLengthSamples {
		require.Equal(t, http.StatusOK, send(200, 5, 5))
	}
	b.forwarder.BeginShutdown(b.forwarder.Uptime() + 2500*time.Millisecond) // before the time limit of the route
	require.Equal(t, http.StatusServiceUnavailable, send(200, 0, 200), "an answer of the allowed length takes 4 s")
	require.Equal(t, http.StatusServiceUnavailable, send(200, 100, 200), "the caller expects an answer of 2 s")
	require.Equal(t, http.StatusOK, send(200, 5, 5), "the caller expects a short answer")
	require.Equal(t, http.StatusOK, send(5, 100, 5), "the caller allows a short answer only")
}

// Guards against requests that end with a closed connection when the grace time is over, or with the promise that they
// have not run.
func TestCancelledAtTheEndOfAShutdown(t *testing.T) {
	for _, test := range []struct {
		name  string
		begun bool // the target has sent an event
		want  int
	}{{"no response yet", false, http.StatusBadGateway}, {"stream has begun", true, http.StatusOK}} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/s/", streamRoute(false))
			arrived := make(chan struct{})
			b.target("llm", func(w http.ResponseWriter, r *http.Request) {
				if test.begun {
					events(w, 0, 1, 0)
				}
				_, _ = io.ReadAll(r.Body) // so that the server notices a closed connection
				close(arrived)
				<-r.Context().Done()
			})
			b.start()
			go func() {
				<-arrived
				time.Sleep(50 * time.Millisecond) // until the event has been passed on
				b.forwarder.BeginShutdown(b.forwarder.Uptime())
				b.forwarder.CancelRunning()
			}()
			response, body, err := b.send("POST", "/s/x", "prompt")
			require.Equal(t, test.want, response.StatusCode)
			if test.begun {
				require.Error(t, err, "a truncated stream looks complete: %q", body)
				return
			}
			require.NoError(t, err)
			require.Contains(t, body, "stopping")
		})
	}
}

// Guards against a service whose calls are all refused during a shutdown because its targets answer with a status of
// success other than 200.
func TestDurationsOfAllSuccesses(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	b.target("plain", func(w http.ResponseWriter, _ *http.Request) {
		sealed(w)
		w.WriteHeader(http.StatusCreated)
	})
	b.start()
	for range minDurationSamples {
		response, _, err := b.send("POST", "/p/x", "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, response.StatusCode)
	}
	b.forwarder.BeginShutdown(b.forwarder.Uptime() + 2*time.Second) // before the time limit of the route
	response, body, err := b.send("POST", "/p/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, response.StatusCode, body)
}

// Guards against a request that is sent although the owner of the model expects a wait beyond the end of the shutdown.
func TestShutdownRefusesLongWaits(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", streamRoute(false))
	for range 2 {
		b.target("llm", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
	}
	b.start()
	f := b.forwarder
	for range minDurationSamples {
		f.durations.observe("llm\x00m", durationSample{endedAt: f.Uptime(), took: 20 * time.Millisecond, firstByte: 10 * time.Millisecond})
	}
	wait := time.Duration(0)
	f.Pick = func(context.Context, PickQuery) Pick { return Pick{Answered: true, Group: "g-t1", Wait: wait} }
	f.BeginShutdown(f.Uptime() + 2*time.Second)
	response, _, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	wait = 2 * time.Second
	response, body, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Contains(t, body, "stopping")
}

// Guards against failing a request whose target failed during a shutdown, because the rest of the time no longer covers the
// expected duration. It may have run, so that it cannot be refused any more.
func TestRequestIsRepeatedDuringShutdown(t *testing.T) {
	for _, path := range []string{"/c/", "/s/"} {
		t.Run(path, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/c/", func(*rudderroute.Route) {})
			b.route("/s/", streamRoute(true))
			var arrivals atomic.Int32
			for _, service := range []string{"plain", "plain", "llm", "llm"} {
				b.target(service, func(w http.ResponseWriter, _ *http.Request) {
					if arrivals.Add(1) == 1 {
						b.forwarder.BeginShutdown(b.forwarder.Uptime() + time.Second) // durations are not known
						cut(w)
						return
					}
					events(w, 0, 1, 0)
				})
			}
			b.start()
			response, body, err := b.send("POST", path, "body")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode, body)
		})
	}
}

// Guards against a refusal that waits for the body of the request.
func TestShutdownRefusesBeforeTheBody(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
	b.start()
	b.forwarder.BeginShutdown(b.forwarder.Uptime() + time.Second)
	c, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /p/x HTTP/1.1\r\nHost: h\r\nKey: key\r\nContent-Length: 10\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// Guards against expecting that a stream can move when its model has one group.
func TestExpectedDurationWithOneGroup(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", streamRoute(true))
	b.target("llm", nil)
	b.start()
	f := b.forwarder
	now := f.Uptime()
	for i := range 9 {
		pace := 20 * time.Millisecond
		if i == 0 {
			pace *= 4
		}
		f.durations.observe("llm\x00m", durationSample{endedAt: now, took: time.Second, firstByte: 10 * time.Millisecond, perEvent: pace})
	}
	f.BeginShutdown(now + 3*time.Second)
	j := &job{begin: now, limit: 8 * time.Second, service: "llm", request: Request{AnswerTokens: 60, Model: "m"},
		route: &rudderroute.Route{Kind: rudderroute.KindStream, Resumable: true, MaxAttempts: 2}}
	require.False(t, f.endsBeforeShutdown(j), "at the slowest pace it takes 4.8 s, and no group can take it over")
}

// Guards against counting the whole age of a stream that is resumed as its wait for the first event, so that all streams of
// its model are refused meanwhile.
func TestResumedStreamIsNoLongWait(t *testing.T) {
	b := newTestbed(t)
	b.start()
	f := b.forwarder
	begin := f.Uptime()
	now := begin + 5*time.Second
	r := &runningRequest{kind: "plain\x00", begin: begin}
	f.shutdown.running.Store(r, true)
	r.countEvent(begin + 100*time.Millisecond)
	require.Zero(t, f.runningProgress(r.kind, now).longestWait)
	r.startSend(now)
	require.Less(t, f.runningProgress(r.kind, now+time.Millisecond).longestWait, time.Second)
	waiting := &runningRequest{kind: r.kind, begin: begin}
	waiting.startSend(now) // its first target did not answer
	f.shutdown.running.Store(waiting, true)
	require.Equal(t, 5*time.Second, f.runningProgress(r.kind, now).longestWait)
}

// Guards against sending a request again when the shutdown ends before an answer can arrive: the run is in vain, and the
// caller, who may ask another entry host, waits for the error until the end.
func TestNoRepeatThatCannotEndBeforeShutdown(t *testing.T) {
	const took = 800 * time.Millisecond
	b := newTestbed(t)
	b.route("/c/", func(r *rudderroute.Route) { r.MaxAttempts = 2 })
	var arrivals atomic.Int32
	for range 2 {
		b.target("plain", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			if arrivals.Add(1) == 1 {
				b.forwarder.BeginShutdown(b.forwarder.Uptime() + took/2)
				time.AfterFunc(took/2, b.forwarder.CancelUnanswered)
				cut(w)
				return
			}
			select {
			case <-time.After(took):
			case <-r.Context().Done():
			}
			events(w, 0, 1, 0)
		})
	}
	b.start()
	for range durationSamples {
		b.forwarder.durations.observe("plain\x00", durationSample{endedAt: b.forwarder.Uptime(), took: took, firstByte: took})
	}
	begin := time.Now()
	response, _, err := b.send("POST", "/c/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.EqualValues(t, 1, arrivals.Load(), "runs, of which none has a response after %v", time.Since(begin))
}

// Guards against expecting the answers of one service by the estimates of another one's callers.
func TestLengthsOfOtherServices(t *testing.T) {
	b := newTestbed(t)
	b.start()
	f := b.forwarder
	now := f.Uptime()
	finish := func(service string, n, events, estimate int) {
		for range n {
			j := &job{service: service, begin: now, status: http.StatusOK, events: events, request: Request{AnswerTokens: 400, ExpectedTokens: estimate}}
			f.observeDuration(service+"\x00", j)
		}
	}
	finish("rare", minLengthSamples, 80, 10) // callers underestimate by far
	finish("frequent", 400, 10, 10)
	j := &job{service: "rare", request: Request{AnswerTokens: 400, ExpectedTokens: 10}, route: &rudderroute.Route{Kind: rudderroute.KindStream}}
	require.GreaterOrEqual(t, f.maxEvents(j, now), 80, "all recent answers of the service had 80 events")
}

// A service answers calls and streams. Guards against expecting a call to take as long as a stream, so that all calls are
// refused during a shutdown.
func TestExpectedDurationOfACallBesideStreams(t *testing.T) {
	b := newTestbed(t)
	b.start()
	f := b.forwarder
	now := f.Uptime()
	for range durationSamples / 2 {
		call := &job{service: "plain", begin: now - 100*time.Millisecond, firstByte: 100 * time.Millisecond, status: http.StatusOK}
		f.observeDuration("plain\x00", call)
		stream := &job{service: "plain", begin: now - 2*time.Second, firstByte: 100 * time.Millisecond, status: http.StatusOK, events: 20, request: Request{AnswerTokens: 20}}
		f.observeDuration("plain\x00", stream)
	}
	f.BeginShutdown(now + 3*time.Second)
	j := &job{begin: now, limit: 8 * time.Second, service: "plain", route: &rudderroute.Route{Kind: rudderroute.KindIdempotent}}
	require.True(t, f.endsBeforeShutdown(j), "expected %v", j.expectedTime)
}

// Guards against accepting a request by an estimate when its caller should have known of the shutdown and can be served elsewhere.
func TestLateArrivalDuringShutdown(t *testing.T) {
	for _, test := range []struct {
		name      string
		arrived   time.Duration // after the begin of the shutdown
		limit     time.Duration
		elsewhere bool
		want      bool
	}{
		{"early", 500 * time.Millisecond, 8 * time.Second, true, true},
		{"late", 2500 * time.Millisecond, 8 * time.Second, true, false},
		{"late, time limit ends before", 2500 * time.Millisecond, 2 * time.Second, true, true},
		{"late, no other entry host", 2500 * time.Millisecond, 8 * time.Second, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.start()
			f := b.forwarder
			f.AddressLifetime, f.ServedElsewhere = 2*time.Second, func() bool { return test.elsewhere }
			began := f.Uptime()
			f.BeginShutdown(began + 8*time.Second)
			now := began + test.arrived
			f.Uptime = func() time.Duration { return now }
			for range minDurationSamples {
				f.durations.observe("plain\x00", durationSample{endedAt: now, took: 100 * time.Millisecond, firstByte: 100 * time.Millisecond})
			}
			j := &job{begin: now, limit: test.limit, service: "plain", route: &rudderroute.Route{Kind: rudderroute.KindAtMostOnce}}
			require.Equal(t, test.want, f.endsBeforeShutdown(j))
		})
	}
}

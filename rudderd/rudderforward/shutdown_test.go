package rudderforward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
			f.durations.observe(service+"\x00", took/4, took, 30, now)
		}
	}
	observe("known", minDurationSamples, time.Second)
	observe("few", minDurationSamples-1, time.Second)
	observe("slow", durationSamples, time.Second)
	for range minDurationSamples {
		f.durations.observe("llm\x00m", 50*time.Millisecond, 100*time.Millisecond, 100, now)
	}
	f.shutdown.running.Store(&runningRequest{kind: "slow\x00", tokens: 30, begin: now - 4*time.Second}, true)
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
		f.durations.observe("llm\x00m", 10*time.Millisecond, 20*time.Millisecond, 0, f.Uptime())
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

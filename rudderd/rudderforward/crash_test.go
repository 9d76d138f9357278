package rudderforward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// crashRecorder records what a forwarder reports about crashes and survivals.
type crashRecorder struct {
	mu        sync.Mutex
	suspects  []rudderpoison.SuspectRequest
	survivals int
	blocked   rudderpoison.Part
	left      time.Duration
}

func (c *crashRecorder) connect(f *Forwarder) {
	f.RecordCrash = func(_ *rudderview.Target, suspects []rudderpoison.SuspectRequest) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.suspects = append(c.suspects, suspects...)
	}
	f.RecordSurvival = func(rudderpoison.SuspectRequest) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.survivals++
	}
	f.BlockedPart = func(parts []rudderpoison.Part) (rudderpoison.Part, time.Duration, bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, p := range parts {
			if p == c.blocked {
				return p, c.left, false
			}
		}
		return "", 0, false
	}
}

func (c *crashRecorder) result() (suspects []rudderpoison.SuspectRequest, survivals int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]rudderpoison.SuspectRequest(nil), c.suspects...), c.survivals
}

// Guards against holding the crash of a target against requests that were only beside: those that it had not begun, and
// those that had got several events; and against a copy of an earlier report that counts as a crash.
func TestSuspectsOfACrash(t *testing.T) {
	for _, test := range []struct {
		name             string
		headers, chunked bool
		events           int
		report           *ruddertarget.GroupReport // nil if the target does not answer
		suspects         int
		survivals        int
	}{
		{"not begun", false, true, 0, nil, 0, 0},
		{"headers only", true, true, 0, nil, 1, 0},
		{"headers only, without length or chunks", true, false, 0, nil, 1, 0},
		{"one event", true, true, 1, nil, 1, 0},
		{"several events", true, true, 3, nil, 0, 1},
		{"headers only, and the target lives", true, true, 0, &ruddertarget.GroupReport{Orders: 2}, 0, 0},
		{"headers only, and the target wrote its report before its group formed", true, true, 0, &ruddertarget.GroupReport{Born: 1}, 0, 0},
		{"headers only, and the target has restarted", true, true, 0, &ruddertarget.GroupReport{Born: 2}, 1, 0},
		{"headers only, and the target has no orders and does not say its incarnation", true, true, 0, &ruddertarget.GroupReport{}, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/s/", func(r *rudderroute.Route) {
				streamRoute(true)(r)
				r.MaxAttempts = 1
			})
			b.target("llm", func(w http.ResponseWriter, _ *http.Request) {
				connection, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = connection.Close() }()
				if !test.headers {
					return
				}
				head := "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\nContent-Type: text/event-stream\r\n"
				if test.chunked {
					head += "Transfer-Encoding: chunked\r\n"
				}
				_, _ = buffer.WriteString(head + "\r\n")
				for i := range test.events {
					event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
					_, _ = fmt.Fprintf(buffer, "%x\r\n%s\r\n", len(event), event)
				}
				_ = buffer.Flush()
				time.Sleep(20 * time.Millisecond)
			})
			b.start()
			recorder := &crashRecorder{}
			recorder.connect(b.forwarder)
			b.forwarder.Report = unreachable
			if test.report != nil {
				b.forwarder.Report = func(context.Context, string) (ruddertarget.GroupReport, error) { return *test.report, nil }
			}
			_, _, _ = b.send(http.MethodPost, "/s/x", "")
			if test.suspects > 0 {
				require.Eventually(t, func() bool { s, _ := recorder.result(); return len(s) > 0 }, 3*time.Second, 5*time.Millisecond)
			} else {
				time.Sleep(crashCollectTime + firstProbeTimeout)
			}
			suspects, survivals := recorder.result()
			require.Len(t, suspects, test.suspects)
			require.Equal(t, test.survivals, survivals)
		})
	}
}

// Guards against a blocked part that is refused late, without the time until which it is refused, or only before the
// first send.
func TestBlockedPart(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", streamRoute(true))
	arrived, release := make(chan bool, 4), make(chan bool)
	b.target("llm", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-release
		cut(w)
	})
	b.start()
	defer close(release)
	recorder := &crashRecorder{}
	recorder.connect(b.forwarder)
	decode := b.forwarder.Protocol.DecodeRequest
	b.forwarder.Protocol.DecodeRequest = func(r *http.Request) (Request, error) {
		q, err := decode(r)
		q.PromptParts = []string{"part", "own"}
		return q, err
	}
	waiting := make(chan *http.Response, 1)
	go func() {
		response, _, _ := b.send(http.MethodPost, "/s/x", "")
		waiting <- response
	}()
	<-arrived
	recorder.mu.Lock()
	recorder.blocked, recorder.left = "llm/part", 40*time.Second
	recorder.mu.Unlock()
	b.forwarder.CancelBlocked("llm/part")
	require.Equal(t, http.StatusBadGateway, (<-waiting).StatusCode, "it may have run")
	begin := time.Now()
	response, text, err := b.send(http.MethodPost, "/s/x", "")
	require.NoError(t, err)
	require.Less(t, time.Since(begin), time.Second)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "it has not run")
	require.Equal(t, "40", response.Header.Get("Retry-After"))
	require.Contains(t, text, "poison_part")
	require.Empty(t, arrived)
}

// Guards against a crash that several dead members show to be the loss of their hosts.
func TestLossOfSeveralMembersHasNoSuspects(t *testing.T) {
	b := newTestbed(t)
	b.start()
	recorder := &crashRecorder{}
	recorder.connect(b.forwarder)
	b.forwarder.Report = unreachable
	member := func() *rudderview.Target { return &rudderview.Target{Service: "llm"} }
	g := &rudderview.Group{ID: "g@1", Service: "llm", Model: "m", Leader: member(), Members: []*rudderview.Target{member(), member()}}
	j := &job{route: &rudderroute.Route{Kind: rudderroute.KindStream}, answeredAt: 1, writer: httptest.NewRecorder()}
	b.forwarder.checkCrash(j, g, ErrBroken)
	<-j.suspectedIn.done
	time.Sleep(2 * (firstProbeTimeout + secondProbeTimeout))
	suspects, _ := recorder.result()
	require.Empty(t, suspects)
	require.Eventually(t, func() bool { _, found := b.suspects.Load(""); return found }, time.Second, time.Millisecond)
}

// Guards against a probe that another process at the same address answers for a dead target: its group would wait until
// its leader must have broken it.
func TestProbeAnsweredByAnotherIncarnation(t *testing.T) {
	b := newTestbed(t)
	b.start()
	for _, test := range []struct {
		name           string
		known, answers int64
		alive          bool
	}{
		{"the same", 7, 7, true}, {"a later one", 7, 9, false}, {"a report that does not say", 7, 0, true}, {"a record that does not say", 0, 9, true},
	} {
		b.forwarder.Report = func(context.Context, string) (ruddertarget.GroupReport, error) {
			return ruddertarget.GroupReport{Born: test.answers}, nil
		}
		_, alive := b.forwarder.ProbeTarget(t.Context(), &rudderview.Target{Born: test.known}, nil)
		require.Equal(t, test.alive, alive, test.name)
	}
}

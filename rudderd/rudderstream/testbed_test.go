package rudderstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddertestnet"
	"comfreyrudder.example/shared/ruddertarget"
)

// fakeEngine serves scripted streams, one script for each request; the last script repeats.
type fakeEngine struct {
	server *httptest.Server
	mu     sync.Mutex
	seen   []ruddertarget.WorkExtension
}

type script func(w http.ResponseWriter, extension ruddertarget.WorkExtension, r *http.Request)

func newFakeEngine(t *testing.T, scripts ...script) *fakeEngine {
	t.Helper()
	return newFakeEngineOn(t, nil, scripts...)
}

// newFakeEngineOn starts an engine on a network in memory, unless that is nil.
func newFakeEngineOn(t *testing.T, network *ruddertestnet.Network, scripts ...script) *fakeEngine {
	t.Helper()
	e := &fakeEngine{}
	e.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var extension ruddertarget.WorkExtension
		if err := json.NewDecoder(r.Body).Decode(&extension); err != nil {
			panic(err)
		}
		e.mu.Lock()
		n := len(e.seen)
		e.seen = append(e.seen, extension)
		e.mu.Unlock()
		scripts[min(n, len(scripts)-1)](w, extension, r)
	}))
	if network != nil {
		_ = e.server.Listener.Close()
		e.server.Listener = network.Listen()
	}
	e.server.Start()
	t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	return e
}

func (e *fakeEngine) address() string { return strings.TrimPrefix(e.server.URL, "http://") }

func (e *fakeEngine) requests() []ruddertarget.WorkExtension {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ruddertarget.WorkExtension{}, e.seen...)
}

func writeToken(w http.ResponseWriter, x ruddertarget.WorkExtension, seq int, finish string) {
	reason := "null"
	text := fmt.Sprintf("t%d ", seq)
	if finish != "" {
		reason, text = `"`+finish+`"`, ""
	}
	_, _ = fmt.Fprintf(w, "data: {\"rudder_request_id\":%q,\"rudder_attempt\":%d,\"rudder_seq\":%d,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n",
		x.RequestID, x.Attempt, seq, text, reason)
	_ = http.NewResponseController(w).Flush()
}

// tokens sends tokens up to last. It then ends the stream if last is the total, and aborts the connection
// otherwise.
func tokens(last, total int) script {
	return func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
		for seq := x.ResumeAfter + 1; seq <= last; seq++ {
			writeToken(w, x, seq, "")
		}
		if last == total {
			writeToken(w, x, total, "stop")
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		panic(http.ErrAbortHandler)
	}
}

// silent sends tokens up to last and then keeps the connection open without sending.
func silent(last int) script {
	return func(w http.ResponseWriter, x ruddertarget.WorkExtension, r *http.Request) {
		for seq := x.ResumeAfter + 1; seq <= last; seq++ {
			writeToken(w, x, seq, "")
		}
		<-r.Context().Done()
	}
}

func refuseRequest(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
	w.Header().Set(ruddertarget.HeaderRequestID, x.RequestID)
	w.Header().Set(ruddertarget.HeaderAttempt, strconv.Itoa(x.Attempt))
	w.Header().Set(ruddertarget.HeaderNotRun, "true")
	w.WriteHeader(http.StatusConflict)
}

// testRunner returns a runner that sends attempt n to the n-th address, and later attempts to the last one.
func testRunner(addresses ...string) *Runner {
	next := 0
	return &Runner{
		Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(), Engine: &Engine{Client: &http.Client{}},
		Permit: func() error { return nil },
		Acquire: func(context.Context, Request, []string) (Slot, error) {
			address := addresses[min(next, len(addresses)-1)]
			next++
			return Slot{Group: fmt.Sprintf("g%d", next), Address: address, Release: func(Usage) {}}, nil
		},
		Probe: func(context.Context, string, string) (ruddertarget.RequestStatus, error) {
			return ruddertarget.RequestStatus{}, ruddertarget.ErrUnreachable
		},
		Cancel:      func(context.Context, string, string, int) error { return nil },
		GroupDied:   func(context.Context, Slot) bool { return false },
		ReportDeath: func(context.Context, Request, Slot, bool) {},
		Poisoned:    func(Request) bool { return false },
		TakeRetry:   func() bool { return true },
		MaxAttempts: 4, SilenceAfter: 80 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond,
		StragglerAfter: 400 * time.Millisecond, AbandonAfter: time.Minute,
	}
}

func runRequest(t *testing.T, r *Runner) (Page, Timing) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a := NewAnswer("entry.1", "w", "m", time.Now())
	timing := r.Run(ctx, Request{ID: "entry.1", Arrived: time.Now()}, a)
	page, err := a.Read(ctx, 0)
	require.NoError(t, err)
	require.True(t, page.Done)
	return page, timing
}

func expectedTokens(n int) []string {
	var list []string
	for i := 1; i <= n; i++ {
		list = append(list, fmt.Sprintf("t%d ", i))
	}
	return list
}

package rudderstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against answers that are truncated, repeated or mixed up when an engine fails in the middle.
func TestAnswerIsWholeAfterEngineFailures(t *testing.T) {
	otherRequest := func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
		x.RequestID = "entry.other"
		writeToken(w, x, 1, "")
	}
	late := func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
		old := x
		old.Attempt--
		writeToken(w, old, x.ResumeAfter+1, "")
		tokens(5, 5)(w, x, nil)
	}
	gap := func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
		writeToken(w, x, x.ResumeAfter+2, "")
	}
	earlyDone := func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
		writeToken(w, x, x.ResumeAfter+1, "")
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}
	notJSON := func(w http.ResponseWriter, _ ruddertarget.WorkExtension, _ *http.Request) {
		_, _ = w.Write([]byte("data: {\n\n"))
	}
	tests := []struct {
		name     string
		first    script
		attempts int
	}{
		{"no failure", tokens(5, 5), 1},
		{"cut after three tokens", tokens(3, 5), 2},
		{"cut before the first token", tokens(0, 5), 2},
		{"silent after two tokens", silent(2), 2},
		{"silent before the headers", silent(0), 2},
		{"chunk of another request", otherRequest, 2},
		{"late chunk of an older attempt", late, 1},
		{"token missing", gap, 2},
		{"end marker without the end", earlyDone, 2},
		{"malformed chunk", notJSON, 2},
		{"refused by the engine", refuseRequest, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := newFakeEngine(t, test.first, tokens(5, 5))
			page, timing := runRequest(t, testRunner(engine.address()))
			require.Equal(t, OutcomeComplete, page.Result.Outcome, page.Result.Message)
			require.Equal(t, expectedTokens(5), page.Tokens)
			require.Equal(t, test.attempts, timing.Attempts)
		})
	}
}

// Guards against the text of an error, or the end of the stream, in the middle of an answer whose next engine answers with
// something else than the rest.
func TestErrorInPlaceOfTheRestOfAnAnswer(t *testing.T) {
	answer := func(status int, body string) script {
		return func(w http.ResponseWriter, _ ruddertarget.WorkExtension, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for _, test := range []struct {
		name   string
		second script
	}{
		{"failure", answer(500, "data: failed\n\n")},
		{"invalid request", answer(400, "no such parameter")},
		{"not found", answer(404, "")},
		{"page", answer(200, "<p>failed\n\n</p>")},
		{"empty page", answer(200, "")},
		{"end marker", answer(200, "data: [DONE]\n\n")},
		{"response in the stream", answer(200, "HTTP/1.1 503 Full\r\n\r\ndata: full\n\n")},
		{"error in the stream", answer(200, "data: {\"error\":{\"message\":\"failed\"}}\n\n")},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newFakeEngine(t, tokens(3, 5), test.second, tokens(5, 5))
			page, timing := runRequest(t, testRunner(engine.address()))
			require.Equal(t, OutcomeComplete, page.Result.Outcome, page.Result.Message)
			require.Equal(t, expectedTokens(5), page.Tokens)
			require.Equal(t, 3, timing.Attempts)
		})
	}
}

// Guards against an answer that is cut because the permit expired after it had begun: it is resumed, while an attempt that
// would begin it is not made.
func TestAnswerThatHasBegunIsResumedWithoutAPermit(t *testing.T) {
	for _, test := range []struct {
		name     string
		received int
		outcome  Outcome
		sent     int
	}{{"begun", 3, OutcomeComplete, 2}, {"sent, not begun", 0, OutcomeMayHaveRun, 1}} {
		t.Run(test.name, func(t *testing.T) {
			engine := newFakeEngine(t, tokens(test.received, 5), tokens(5, 5))
			r := testRunner(engine.address())
			r.Permit = func() error {
				if len(engine.requests()) > 0 {
					return errors.New("permit expired")
				}
				return nil
			}
			page, _ := runRequest(t, r)
			require.Equal(t, test.outcome, page.Result.Outcome, page.Result.Message)
			require.Len(t, engine.requests(), test.sent)
		})
	}
}

// Guards against an answer that is cut because no group has room for it at the moment when its group breaks.
func TestAnswerThatHasBegunWaitsForAGroup(t *testing.T) {
	for _, test := range []struct {
		name     string
		refusal  Refusal
		received int
		refusals int // while no group may take the request, only until it may run beside others
		outcome  Outcome
	}{
		{"suspected for long", Refusal{Code: CodeNoGroup, NoGroup: true, RetryAfter: resumeWait}, 3, 1000, OutcomeComplete},
		{"suspected for long, not begun", Refusal{Code: CodeNoGroup, NoGroup: true, RetryAfter: resumeWait}, 0, 1000, OutcomeMayHaveRun},
		{"full", Refusal{Code: CodeNoCapacity, RetryAfter: 20 * time.Millisecond}, 3, 2, OutcomeComplete},
		{"no group", Refusal{Code: CodeNoGroup, NoGroup: true, RetryAfter: 20 * time.Millisecond}, 3, 3, OutcomeComplete},
		{"full for long", Refusal{Code: CodeNoCapacity, RetryAfter: resumeWait}, 3, 1000, OutcomeMayHaveRun},
		{"entry host stops", Refusal{Code: CodeNotReady, RetryAfter: 20 * time.Millisecond}, 3, 1, OutcomeMayHaveRun},
		{"not begun", Refusal{Code: CodeNoCapacity, RetryAfter: 20 * time.Millisecond}, 0, 1, OutcomeMayHaveRun},
		{"not begun, no group", Refusal{Code: CodeNoGroup, NoGroup: true, RetryAfter: 20 * time.Millisecond}, 0, 3, OutcomeComplete},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			engine := newFakeEngine(t, tokens(test.received, 5), tokens(5, 5))
			r := testRunner(engine.address())
			acquire, refused := r.Acquire, 0
			r.Acquire = func(ctx context.Context, q Request, excluded []string) (Slot, error) {
				if len(engine.requests()) > 0 && refused < test.refusals && (!test.refusal.NoGroup || !q.Colocate) {
					refused++
					return Slot{}, &test.refusal
				}
				return acquire(ctx, q, excluded)
			}
			page, _ := runRequest(t, r)
			require.Equal(t, test.outcome, page.Result.Outcome, page.Result.Message)
			if test.outcome == OutcomeComplete {
				require.Equal(t, expectedTokens(5), page.Tokens)
			}
		})
	}
}

// Guards against reporting a request as not run although a target may have run it, and the reverse.
func TestOutcomeIsTrue(t *testing.T) {
	refusal := &Refusal{Code: CodeNoCapacity, Message: "full", RetryAfter: time.Second}
	tests := []struct {
		name    string
		change  func(r *Runner)
		first   script
		outcome Outcome
		code    string
	}{
		{"no slot", func(r *Runner) {
			r.Acquire = func(context.Context, Request, []string) (Slot, error) { return Slot{}, refusal }
		}, nil, OutcomeNotRun, CodeNoCapacity},
		{"no permit", func(r *Runner) { r.Permit = func() error { return errors.New("permit expired") } }, nil, OutcomeNotRun, CodeNotReady},
		{"poison before the first attempt", func(r *Runner) { r.Poisoned = func(Request) bool { return true } }, nil, OutcomeNotRun, CodePoison},
		{"always refused", nil, refuseRequest, OutcomeNotRun, CodeRetryExhausted},
		{"always cut", nil, tokens(0, 5), OutcomeMayHaveRun, CodeRetryExhausted},
		{"cut without retry budget", func(r *Runner) { r.TakeRetry = func() bool { return false } }, tokens(0, 5), OutcomeMayHaveRun, CodeTargetFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := newFakeEngine(t, test.first)
			r := testRunner(engine.address())
			if test.change != nil {
				test.change(r)
			}
			page, _ := runRequest(t, r)
			require.Equal(t, test.outcome, page.Result.Outcome)
			require.Equal(t, test.code, page.Result.Code)
			if test.outcome == OutcomeNotRun && test.first == nil {
				require.Empty(t, engine.requests())
			}
		})
	}
}

// Guards against a refusal of an earlier attempt or request, once more on a kept connection, that is believed to be the
// answer to an attempt which the engine runs.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(x *ruddertarget.WorkExtension)
	}{
		{"of an earlier attempt", func(x *ruddertarget.WorkExtension) { x.Attempt-- }},
		{"of an earlier request", func(x *ruddertarget.WorkExtension) { x.RequestID = "entry.0" }},
		{"without a name", func(x *ruddertarget.WorkExtension) { x.RequestID = "" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newFakeEngine(t, refuseRequest, func(w http.ResponseWriter, x ruddertarget.WorkExtension, r *http.Request) {
				test.change(&x)
				refuseRequest(w, x, r)
			})
			r := testRunner(engine.address())
			r.MaxAttempts = 2
			page, _ := runRequest(t, r)
			require.Equal(t, OutcomeMayHaveRun, page.Result.Outcome)
			require.Len(t, engine.requests(), 2)
		})
	}
}

// Guards against counting a request to a closed port as one that may have run.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	engine := newFakeEngine(t, tokens(5, 5))
	address := engine.address()
	engine.server.Close()
	page, timing := runRequest(t, testRunner(address))
	require.Equal(t, OutcomeNotRun, page.Result.Outcome)
	require.Equal(t, 4, timing.Attempts)
}

// Guards against a request that counts as the cause of a death before it, and is then refused as poison.
func TestRequestIsNotSuspectedOfAnEarlierDeath(t *testing.T) {
	live := newFakeEngine(t, tokens(4, 4))
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	address := strings.TrimPrefix(gone.URL, "http://")
	r := testRunner(address, address, live.address())
	r.GroupDied = func(_ context.Context, slot Slot) bool { return slot.Address == address }
	r.ReportDeath = func(context.Context, Request, Slot, bool) { t.Error("the request did not reach the group") }
	page, timing := runRequest(t, r)
	require.Equal(t, OutcomeComplete, page.Result.Outcome)
	require.Equal(t, 3, timing.Attempts)
}

// Guards against requests that are refused for the retry budget although no target has seen them.
func TestUnsentAttemptTakesNoRetry(t *testing.T) {
	live, gone := newFakeEngine(t, tokens(4, 4)), newFakeEngine(t, tokens(4, 4))
	gone.server.Close()
	r := testRunner(gone.address(), live.address())
	r.TakeRetry = func() bool { return false }
	page, timing := runRequest(t, r)
	require.Equal(t, OutcomeComplete, page.Result.Outcome, page.Result.Message)
	require.Equal(t, 2, timing.Attempts)
}

// Guards against a request that kills one group after another: the suspicion must be shared before the next
// attempt.
func TestSecondDeathStopsTheRequest(t *testing.T) {
	engine := newFakeEngine(t, tokens(1, 5))
	r := testRunner(engine.address())
	deaths := 0
	r.GroupDied = func(context.Context, Slot) bool { return true }
	r.ReportDeath = func(_ context.Context, _ Request, _ Slot, begun bool) {
		require.True(t, begun)
		deaths++
	}
	r.Poisoned = func(q Request) bool {
		require.Equal(t, deaths, q.Deaths)
		return deaths >= 2
	}
	page, _ := runRequest(t, r)
	require.Equal(t, CodePoison, page.Result.Code)
	require.Equal(t, OutcomeMayHaveRun, page.Result.Outcome)
	require.Len(t, engine.requests(), 2)
}

// Guards against taking a slow engine for a dead connection, which would start its work again.
func TestSlowEngineIsNotGivenUp(t *testing.T) {
	slow := func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
		writeToken(w, x, 1, "")
		time.Sleep(250 * time.Millisecond)
		x.ResumeAfter = 1
		tokens(5, 5)(w, x, nil)
	}
	engine := newFakeEngine(t, slow)
	r := testRunner(engine.address())
	r.Probe = func(context.Context, string, string) (ruddertarget.RequestStatus, error) {
		return ruddertarget.RequestStatus{Attempt: 1, Generated: 1}, nil
	}
	page, timing := runRequest(t, r)
	require.Equal(t, expectedTokens(5), page.Tokens)
	require.Equal(t, 1, timing.Attempts)
}

// Guards against failing a stream that has attempts left because each group has failed it once.
func TestGroupsThatFailedAreTriedAgainWhenNoneIsLeft(t *testing.T) {
	engines := []*fakeEngine{newFakeEngine(t, tokens(2, 5), tokens(5, 5)), newFakeEngine(t, tokens(3, 5))}
	r := testRunner()
	r.Acquire = func(_ context.Context, _ Request, excluded []string) (Slot, error) {
		for i, e := range engines {
			if group := fmt.Sprintf("g%d", i); !slices.Contains(excluded, group) {
				return Slot{Group: group, Address: e.address(), Release: func(Usage) {}}, nil
			}
		}
		return Slot{}, &Refusal{Code: CodeNoCapacity, NoGroup: true}
	}
	a := NewAnswer("r", "w", "m", time.Now())
	timing := r.Run(context.Background(), Request{ID: "r"}, a)
	result, _ := a.Done()
	require.Equal(t, OutcomeComplete, result.Outcome, result.Message)
	require.Equal(t, 3, timing.Attempts)
	require.Equal(t, 5, timing.Tokens)
}

// Guards against an answer without the engine's count of prompt tokens, which arrives after the last token,
// and against an answer that counts as incomplete because that count is lost.
func TestPromptTokens(t *testing.T) {
	counted := func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
		writeToken(w, x, 1, "")
		writeToken(w, x, 1, "stop")
		_, _ = fmt.Fprintf(w, "data: {\"rudder_request_id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":17}}\n\ndata: [DONE]\n\n", x.RequestID)
	}
	cut := func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
		writeToken(w, x, 1, "")
		writeToken(w, x, 1, "stop")
		panic(http.ErrAbortHandler)
	}
	tests := []struct {
		name   string
		engine script
		want   int
	}{
		{"counted", counted, 17},
		{"cut after the last token", cut, 0},
		{"silent after the last token", func(w http.ResponseWriter, x ruddertarget.WorkExtension, r *http.Request) {
			writeToken(w, x, 1, "")
			writeToken(w, x, 1, "stop")
			<-r.Context().Done()
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := testRunner(newFakeEngine(t, test.engine).address())
			r.Probe = func(context.Context, string, string) (ruddertarget.RequestStatus, error) {
				return ruddertarget.RequestStatus{Attempt: 1, Queued: true}, nil // the engine lives, however late its tokens are read
			}
			page, timing := runRequest(t, r)
			require.Equal(t, OutcomeComplete, page.Result.Outcome)
			require.Equal(t, test.want, page.Result.PromptTokens)
			require.Equal(t, 1, timing.Attempts)
		})
	}
}

// Guards against an engine that is held to have crashed at the beginning of an answer although it had sent several tokens.
func TestSurvivalOfTheBeginning(t *testing.T) {
	engine := newFakeEngine(t, tokens(3, 5))
	r := testRunner(engine.address())
	survived := 0
	r.GroupDied = func(context.Context, Slot) bool { return true }
	r.Survived = func(Request) { survived++ }
	r.ReportDeath = func(_ context.Context, _ Request, _ Slot, begun bool) { require.False(t, begun) }
	r.MaxAttempts = 1
	_, _ = runRequest(t, r)
	require.Equal(t, 1, survived)
}

// Guards against ending an attempt at an engine that is silent for a while: one that has begun the answer counts as dead only
// after DeadAfter, or when its port refuses connections, and the last attempt waits.
func TestSilentEngineGoesOn(t *testing.T) {
	pause := func(after int, silence time.Duration) script {
		return func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
			for seq := 1; seq <= after; seq++ {
				writeToken(w, x, seq, "")
			}
			time.Sleep(silence)
			x.ResumeAfter = after
			tokens(5, 5)(w, x, nil)
		}
	}
	timeout := fmt.Errorf("%w: %w", ruddertarget.ErrUnreachable, context.DeadlineExceeded)
	refused := fmt.Errorf("%w: %w", ruddertarget.ErrUnreachable, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)})
	tests := []struct {
		name        string
		first       script
		probe       error
		maxAttempts int
		noBudget    bool
		attempts    int
		within      time.Duration
	}{
		{"begun, goes on", pause(2, 300*time.Millisecond), timeout, 4, false, 1, time.Second},
		{"begun, does not go on", silent(2), timeout, 4, false, 2, 700 * time.Millisecond},
		{"begun, refuses connections", silent(2), refused, 4, false, 2, 200 * time.Millisecond},
		{"begun, last attempt", pause(2, time.Second), timeout, 1, false, 1, 2 * time.Second},
		{"not begun", silent(0), timeout, 4, false, 2, 300 * time.Millisecond},
		{"not begun, last attempt", pause(0, time.Second), timeout, 1, false, 1, 2 * time.Second},
		{"not begun, no retry left", pause(0, time.Second), timeout, 4, true, 1, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := testRunner(newFakeEngine(t, test.first, tokens(5, 5)).address())
			r.MaxAttempts, r.DeadAfter = test.maxAttempts, 400*time.Millisecond
			r.TakeRetry = func() bool { return !test.noBudget }
			r.Probe = func(context.Context, string, string) (ruddertarget.RequestStatus, error) {
				return ruddertarget.RequestStatus{}, test.probe
			}
			begin := time.Now()
			page, timing := runRequest(t, r)
			require.Equal(t, expectedTokens(5), page.Tokens, page.Result.Message)
			require.Equal(t, test.attempts, timing.Attempts)
			require.Less(t, time.Since(begin), test.within)
		})
	}
}

// Guards against cutting an answer that has begun because its next engines cannot be connected to.
func TestAttemptsThatReachNoEngineDoNotCutAnAnswer(t *testing.T) {
	closed := newFakeEngine(t, tokens(5, 5))
	address := closed.address()
	closed.server.Close()
	engine := newFakeEngine(t, tokens(2, 5), tokens(5, 5))
	page, timing := runRequest(t, testRunner(engine.address(), address, address, address, engine.address()))
	require.Equal(t, expectedTokens(5), page.Tokens, page.Result.Message)
	require.Equal(t, 5, timing.Attempts)
}

package rudderservice

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderclaim"
	"comfreyrudder.example/shared/ruddertarget"
)

// newDispatcher returns a dispatcher that tries the addresses in order, with counters of settled and released
// claims.
func newDispatcher(addresses ...string) (*Dispatcher, *claimChanges) {
	var c claimChanges
	return &Dispatcher{
		AcquireTarget: func(_ context.Context, _ *Call, exclude []string) (string, func(), error) {
			if len(exclude) >= len(addresses) {
				return "", nil, errors.New("no target left")
			}
			return addresses[len(exclude)], func() {}, nil
		},
		IsIdempotent: func(_, method, _ string) bool { return method == http.MethodGet },
		Claim: func(context.Context, rudderclaim.Request) (rudderclaim.Decision, error) {
			return rudderclaim.Decision{Verdict: rudderclaim.VerdictGranted}, nil
		},
		Settle:    func(_ rudderclaim.Request, a *rudderclaim.Answer) { c.settled++; c.answer = a },
		Release:   func(rudderclaim.Request) { c.released++ },
		TakeRetry: func() bool { return true },
		Clock:     clockwork.NewRealClock(),
		Timeout:   2 * time.Second,
	}, &c
}

type claimChanges struct {
	settled, released int
	answer            *rudderclaim.Answer
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// droppingTarget starts a target that reads each request and closes the connection without a response.
func droppingTarget(t *testing.T, runs *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				runs.Add(1)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

func keyedCall(body string) Call {
	return Call{Method: http.MethodPost, Path: "/pay", Body: []byte(body), Header: http.Header{HeaderKey: {"k"}}}
}

// Guards against a call that the dispatcher or net/http resends although it must not be retried, and against
// a wrong outcome of such a call.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	cases := []struct {
		name string
		call Call
	}{
		{name: "keyed with a body", call: keyedCall("100")},
		{name: "keyed without a body", call: keyedCall("")},
		{name: "neither declared nor keyed", call: Call{Method: http.MethodPost, Path: "/pay", Header: http.Header{}}},
		{name: "head request", call: Call{Method: http.MethodHead, Path: "/pay", Header: http.Header{}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			target := droppingTarget(t, &runs)
			d, changes := newDispatcher(target, target)
			result := d.Do(context.Background(), c.call)
			require.Equal(t, OutcomeMayHaveRun, result.Outcome)
			require.Equal(t, int64(1), runs.Load())
			require.Zero(t, changes.settled+changes.released, "the claim is neither settled nor released")
		})
	}
}

// Guards against a reused connection, on which net/http resends requests with an Idempotency-Key on its own.
func TestKeyedCallsUseNewConnections(t *testing.T) {
	var connections atomic.Int64
	target := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	target.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	target.Start()
	defer target.Close()
	d, _ := newDispatcher(address(target))
	for range 3 {
		require.Equal(t, OutcomeComplete, d.Do(context.Background(), keyedCall("")).Outcome)
	}
	require.Equal(t, int64(3), connections.Load())
}

// Guards against a key that stays claimed, and so cannot be used again, although the call did not run.
func TestNotRunReleasesTheClaim(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(ruddertarget.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()
	for _, target := range []string{closedAddress(t), address(refusing)} {
		d, changes := newDispatcher(target)
		require.Equal(t, OutcomeNotRun, d.Do(context.Background(), keyedCall("100")).Outcome)
		require.Equal(t, 1, changes.released)
	}
}

// serveHeads starts a target that answers the calls of each connection with one of the heads after the other. OWN in a head
// stands for the ID of the call.
func serveHeads(t *testing.T, heads ...string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, head := range heads {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			head = strings.Replace(head, "OWN", r.Header.Get(ruddertarget.HeaderRequestID), 1)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 2\r\n\r\nok")
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// Guards against a call that is answered with the late response to an earlier one on a kept connection, or is reported as
// not run because of it.
func TestResponseToAnEarlierCall(t *testing.T) {
	const own, other, refused = "Rudder-Request-Id: OWN\r\n", "Rudder-Request-Id: c0\r\n", "Rudder-Not-Run: true\r\n"
	for _, test := range []struct {
		name          string
		first, second string
		want          []Outcome
	}{
		{"own answers", own, own, []Outcome{OutcomeComplete, OutcomeComplete}},
		{"answer to an earlier call", own, other, []Outcome{OutcomeComplete, OutcomeMayHaveRun}},
		{"answer without a name", own, "", []Outcome{OutcomeComplete, OutcomeMayHaveRun}},
		{"refusal of an earlier call", own, other + refused, []Outcome{OutcomeComplete, OutcomeMayHaveRun}},
		{"refusal without a name", own, refused, []Outcome{OutcomeComplete, OutcomeMayHaveRun}},
		{"own refusal", own, own + refused, []Outcome{OutcomeComplete, OutcomeNotRun}},
		{"target that names nothing", "", "", []Outcome{OutcomeComplete, OutcomeComplete}},
		{"refusals of a target that names nothing", refused, refused, []Outcome{OutcomeNotRun, OutcomeNotRun}},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := serveHeads(t, test.first, test.second)
			d, _ := newDispatcher(target)
			if test.first == own {
				d.naming.Store(target, true) // as after an earlier answer
			}
			for i, want := range test.want {
				result := d.Do(context.Background(), Call{RequestID: "c" + strconv.Itoa(i+1), Method: http.MethodGet, Path: "/booths", Header: http.Header{}})
				require.Equal(t, want, result.Outcome)
				require.Empty(t, result.Header.Get(ruddertarget.HeaderRequestID), "a stored answer is replayed to other calls")
			}
		})
	}
}

// Guards against idempotent calls that fail although another target can respond, and against retries beyond the
// retry budget.
func TestIdempotentCallsAreRetriedWithinTheBudget(t *testing.T) {
	var runs atomic.Int64
	healthy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "free") }))
	defer healthy.Close()
	call := Call{Method: http.MethodGet, Path: "/booths", Header: http.Header{}}
	d, _ := newDispatcher(droppingTarget(t, &runs), closedAddress(t), address(healthy))
	result := d.Do(context.Background(), call)
	require.Equal(t, "free", string(result.Body))

	d, _ = newDispatcher(droppingTarget(t, &runs), address(healthy))
	d.TakeRetry = func() bool { return false }
	require.Equal(t, OutcomeMayHaveRun, d.Do(context.Background(), call).Outcome)
}

// Guards against a call that hangs on an unresponsive connection until its timeout.
func TestSilentConnectionIsProbed(t *testing.T) {
	stop := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	defer target.Close()
	defer close(stop)
	d, _ := newDispatcher(address(target))
	d.ProbeInterval, d.Timeout = 5*time.Millisecond, time.Minute
	d.Probe = func(context.Context, string) (ruddertarget.Status, error) {
		return ruddertarget.Status{}, ruddertarget.ErrUnreachable
	}
	result := d.Do(context.Background(), keyedCall("100"))
	require.Equal(t, []any{OutcomeMayHaveRun, CodeSilent}, []any{result.Outcome, result.Code})
}

// Guards against hop-by-hop headers that are forwarded in either direction, and against the caller's credentials
// reaching the target.
func TestHopByHopHeadersAndCredentialsAreDropped(t *testing.T) {
	var seen http.Header
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Receipt", "7")
	}))
	defer target.Close()
	d, changes := newDispatcher(address(target))
	call := keyedCall("100")
	call.Header.Set("Connection", "X-Hop")
	call.Header.Set("X-Hop", "1")
	call.Header.Set("Authorization", "Bearer secret")
	call.Header.Set("X-Note", "kept")
	result := d.Do(context.Background(), call)
	require.Empty(t, seen.Get("X-Hop")+seen.Get("Authorization"))
	require.Equal(t, "kept", seen.Get("X-Note"))
	require.Empty(t, result.Header.Get("Keep-Alive"))
	require.Equal(t, "7", changes.answer.Header["X-Receipt"][0])
}

// Guards against a call that is dispatched although the permit expired during the wait for its claim or slot.
// Nothing may be sent then, and the claim must be released so that the key can be used again.
func TestNothingIsDispatchedWithoutAPermit(t *testing.T) {
	var runs atomic.Int64
	d, c := newDispatcher(droppingTarget(t, &runs))
	d.CheckPermit = func() error { return errors.New("permit expired") }
	result := d.Do(context.Background(), Call{Service: "ledger", Method: http.MethodPost, Path: "/payments", Header: http.Header{HeaderKey: {"k1"}}})
	require.Equal(t, OutcomeNotRun, result.Outcome)
	require.Equal(t, CodeNoPermit, result.Code)
	require.Equal(t, 1, c.released)
	require.Zero(t, runs.Load())
}

// Guards against calls that the HTTP client repeats itself, besides the retry budget, when a kept connection breaks.
func TestHTTPClientRepeatsNoCallThatWasSent(t *testing.T) {
	for _, call := range []Call{
		{Method: http.MethodGet, Path: "/booths", Header: http.Header{}},
		{Method: http.MethodGet, Path: "/booths", Header: http.Header{}, Body: []byte("filter")},
		{Method: http.MethodDelete, Path: "/booths", Header: http.Header{HeaderKey: {"k1"}}},
		{Method: http.MethodPost, Path: "/booths", Header: http.Header{HeaderKey: {"k1"}}},
		{Method: http.MethodPost, Path: "/booths", Header: http.Header{HeaderKey: {""}}},
	} {
		t.Run(call.Method, func(t *testing.T) {
			var runs atomic.Int64
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(ruddertarget.HeaderRequestID, r.Header.Get(ruddertarget.HeaderRequestID))
			}))
			defer target.Close()
			d, _ := newDispatcher(address(target))
			d.IsIdempotent = func(string, string, string) bool { return true }
			d.TakeRetry = func() bool { return false }
			d.naming.Store(address(target), true) // as after an earlier answer
			call.RequestID = "c1"
			require.Equal(t, OutcomeComplete, d.Do(t.Context(), call).Outcome)
			call.RequestID = "c2"
			require.Equal(t, OutcomeMayHaveRun, d.Do(t.Context(), call).Outcome)
			require.Equal(t, int64(2), runs.Load())
		})
	}
}

// relayedTransport answers as a path through another entry host does: without a connection to the target.
type relayedTransport struct{ header http.Header }

func (r relayedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(q.Context()).GotConn(httptrace.GotConnInfo{})
	return &http.Response{StatusCode: http.StatusOK, Header: r.header, Body: http.NoBody}, nil
}

// Guards against a panic, and a claim that stays open, when another call's response arrives through another entry host.
func TestRelayedResponseToAnotherCall(t *testing.T) {
	d, _ := newDispatcher("target")
	d.Transport = relayedTransport{http.Header{ruddertarget.HeaderRequestID: {"c0"}, ruddertarget.HeaderNotRun: {"true"}}}
	require.Equal(t, OutcomeMayHaveRun, d.Do(t.Context(), keyedCall("100")).Outcome)
}

// A target accepts connections only after the calls on them have ended at random moments. Guards against a call that counts as not run,
// so that its key may be used again, although the target reads it later.
func TestTargetThatReadsCallsAfterTheirEnd(t *testing.T) {
	const calls = 100
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d, _ := newDispatcher(l.Addr().String())
	outcomes := make([]Outcome, calls)
	var sending sync.WaitGroup
	for i := range calls {
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), rand.N(10*time.Millisecond))
			defer cancel()
			outcomes[i] = d.Do(ctx, Call{RequestID: strconv.Itoa(i), Method: http.MethodPost, Path: "/charge", Header: http.Header{}, Body: []byte("100")}).Outcome
		})
	}
	sending.Wait()
	require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(500*time.Millisecond)))
	runs, notRun := map[string]int{}, 0
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			runs[r.Header.Get(ruddertarget.HeaderRequestID)]++
		}
		_ = conn.Close()
	}
	require.NoError(t, l.Close())
	for i, outcome := range outcomes {
		n := runs[strconv.Itoa(i)]
		require.LessOrEqual(t, n, 1)
		if outcome == OutcomeNotRun {
			notRun++
			require.Zero(t, n, "call %d", i)
		}
	}
	t.Logf("%d not run, %d read after their end", notRun, len(runs))
}

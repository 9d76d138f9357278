package rudderhttp

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderconn"
	"comfreyrudder.example/rudderd/rudderdrain"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/shared/rudderconfig"
)

// testAPI returns an API that answers every model request with three tokens.
func testAPI() *API {
	document := &rudderconfig.Document{
		Selectors: []rudderconfig.Selector{{Name: "chat", Firm: "umuvumu", Model: "ledger-7b"}},
		Services:  []rudderconfig.Service{{Name: "ledger", Firm: "umuvumu"}, {Name: "booking", Firm: "verchères"}},
		Workspaces: []rudderconfig.Workspace{
			{Name: "kigali", Firm: "umuvumu", KeyHashes: []string{rudderconfig.HashSecret("key-kigali")}, Limits: rudderconfig.Limits{BodyBytes: 2000}},
			{Name: "slow", Firm: "umuvumu", KeyHashes: []string{rudderconfig.HashSecret("key-slow")}, Limits: rudderconfig.Limits{RequestsPerSecond: 1, Concurrent: 1}},
			{Name: "studio", Firm: "verchères", KeyHashes: []string{rudderconfig.HashSecret("key-studio")}},
		},
	}
	return &API{
		Name: "entry-1", Clock: clockwork.NewFakeClock(), Logger: zerolog.Nop(), MaxBodyBytes: 1 << 20,
		Config:     func() *rudderconfig.Document { return document },
		LimitShare: func() float64 { return 1 },
		Refuse:     func() *Refusal { return nil },
		Estimate: func(string, int, int) (int, rudderconfig.WorkClass) {
			return 10, rudderconfig.ClassShort
		},
		Answers: &rudderstream.Registry{Retention: time.Minute, MaxBytes: 1 << 20},
		Start: func(_ rudderstream.Request, a *rudderstream.Answer) {
			a.StartAttempt(1)
			for i, text := range []string{"one ", "two ", "three"} {
				_, _ = a.Append(1, i+1, text)
			}
			a.Finish(rudderstream.Result{Outcome: rudderstream.OutcomeComplete, FinishReason: "stop", PromptTokens: 4})
		},
		ReadRemote: func(context.Context, string, string, string, int) (RemotePage, bool) { return RemotePage{}, false },
		Call: func(context.Context, ServiceCall) ServiceResponse {
			return ServiceResponse{Outcome: rudderstream.OutcomeComplete, Status: http.StatusCreated, Body: []byte("booked")}
		},
		Entries: func(string, string) ([]Entry, time.Duration) {
			return []Entry{{Address: "127.0.0.1:1"}}, 10 * time.Second
		},
	}
}

type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	close   bool
}

func do(t *testing.T, api *API, method, path, key, body string) reply {
	t.Helper()
	server := httptest.NewServer(api.Handler())
	defer server.Close()
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return reply{response.StatusCode, response.Header, response.Trailer, string(text), response.Close}
}

const chatBody = `{"model":"ledger-7b","messages":[{"role":"user","content":"summarise"}]}`

// Guards against error responses without a code or a next step, and against refusals without the outcome "not run".
func TestRefusals(t *testing.T) {
	leaving := testAPI()
	leaving.Refuse = func() *Refusal { return refuseNotReady("stopping") }
	tests := []struct {
		name, method, path, key, body string
		api                           *API
		status                        int
		code                          string
	}{
		{"no key", "POST", "/v1/chat/completions", "", chatBody, nil, 401, "invalid_api_key"},
		{"unknown key", "POST", "/v1/chat/completions", "key-nobody", chatBody, nil, 401, "invalid_api_key"},
		{"not JSON", "POST", "/v1/chat/completions", "key-kigali", "{", nil, 400, "invalid_request"},
		{"no messages", "POST", "/v1/chat/completions", "key-kigali", `{"model":"ledger-7b"}`, nil, 400, "invalid_request"},
		{"model of another firm", "POST", "/v1/chat/completions", "key-studio", chatBody, nil, 404, "model_not_found"},
		{"body too large", "POST", "/v1/chat/completions", "key-kigali", chatBody + strings.Repeat(" ", 3000), nil, 413, "body_too_large"},
		{"service of another firm", "POST", "/v1/services/booking/x", "key-kigali", "", nil, 403, "service_of_other_firm"},
		{"unknown service", "POST", "/v1/services/nothing/x", "key-kigali", "", nil, 404, "service_not_found"},
		{"unknown path", "GET", "/v2/nothing", "", "", nil, 404, "not_found"},
		{"wrong method", "DELETE", "/v1/entries", "", "", nil, 405, "method_not_allowed"},
		{"request ID of the wrong form", "GET", "/v1/requests/nonsense/stream", "key-kigali", "", nil, 400, "invalid_request"},
		{"after below 0", "GET", "/v1/requests/entry-1.a/stream?after=-1", "key-kigali", "", nil, 400, "invalid_request"},
		{"host that may not serve", "POST", "/v1/chat/completions", "key-kigali", chatBody, leaving, 503, "entry_not_ready"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			api := test.api
			if api == nil {
				api = testAPI()
			}
			got := do(t, api, test.method, test.path, test.key, test.body)
			require.Equal(t, test.status, got.status, got.body)
			var body errorBody
			require.NoError(t, json.Unmarshal([]byte(got.body), &body))
			require.Equal(t, test.code, body.Error.Code)
			require.NotEmpty(t, body.Error.NextStep)
			require.Equal(t, string(rudderstream.OutcomeNotRun), got.header.Get(HeaderOutcome))
			require.NotEmpty(t, got.header.Get(HeaderRequestID))
		})
	}
}

// Guards against a workspace that exceeds its rate limit, and against a refusal without Retry-After.
func TestRateLimit(t *testing.T) {
	api := testAPI()
	require.Equal(t, 200, do(t, api, "POST", "/v1/chat/completions", "key-slow", chatBody).status)
	second := do(t, api, "POST", "/v1/chat/completions", "key-slow", chatBody)
	require.Equal(t, 429, second.status)
	require.Equal(t, "1", second.header.Get("Retry-After"))
	require.Equal(t, 200, do(t, api, "POST", "/v1/chat/completions", "key-kigali", chatBody).status, "another workspace is not affected")
}

// Guards against responses, whole or streamed, that do not tell the caller the outcome.
func TestWholeAndStreamedAnswers(t *testing.T) {
	whole := do(t, testAPI(), "POST", "/v1/chat/completions", "key-kigali", chatBody)
	require.Equal(t, 200, whole.status)
	require.Contains(t, whole.body, `"content":"one two three"`)
	require.Equal(t, "complete", whole.header.Get(HeaderOutcome))

	streamed := do(t, testAPI(), "POST", "/v1/chat/completions", "key-kigali", strings.Replace(chatBody, "{", `{"stream":true,`, 1))
	require.Equal(t, "text/event-stream", streamed.header.Get("Content-Type"))
	require.Equal(t, "complete", streamed.trailer.Get(HeaderOutcome))
	require.Contains(t, streamed.body, `"rudder_outcome":"complete"`)
	require.True(t, strings.HasSuffix(streamed.body, "data: [DONE]\n\n"))
}

// Guards against a stream that fails in the middle and appears complete.
func TestStreamThatFailsInTheMiddle(t *testing.T) {
	api := testAPI()
	api.Start = func(_ rudderstream.Request, a *rudderstream.Answer) {
		a.StartAttempt(1)
		_, _ = a.Append(1, 1, "one ")
		a.Finish(rudderstream.Result{Outcome: rudderstream.OutcomeMayHaveRun, Code: rudderstream.CodeRetryExhausted})
	}
	got := do(t, api, "POST", "/v1/chat/completions", "key-kigali", strings.Replace(chatBody, "{", `{"stream":true,`, 1))
	require.Contains(t, got.body, `"code":"retries_exhausted"`)
	require.NotContains(t, got.body, "[DONE]")
	require.Equal(t, "may_have_run", got.trailer.Get(HeaderOutcome))
}

// Guards against a caller that resumes the stream of another workspace, and against repeated tokens.
func TestResumedStream(t *testing.T) {
	api := testAPI()
	id := do(t, api, "POST", "/v1/chat/completions", "key-kigali", chatBody).header.Get(HeaderRequestID)
	got := do(t, api, "GET", "/v1/requests/"+id+"/stream?after=2", "key-kigali", "")
	require.Equal(t, 200, got.status, got.body)
	require.NotContains(t, got.body, "two")
	require.Contains(t, got.body, `"content":"three"`)
	require.Equal(t, id, got.header.Get(HeaderRequestID))

	other := do(t, api, "GET", "/v1/requests/"+id+"/stream", "key-studio", "")
	require.Equal(t, 404, other.status)
	require.Contains(t, other.body, "answer_not_found")
}

// Guards against streams that can be resumed only at the entry host that serves the request.
func TestResumedStreamAtAnotherEntryHost(t *testing.T) {
	api := testAPI()
	pages := []RemotePage{
		{Page: rudderstream.Page{Tokens: []string{"two "}}, Model: "ledger-7b"},
		{},
		{Page: rudderstream.Page{Tokens: []string{"three"}, Done: true, Result: rudderstream.Result{Outcome: rudderstream.OutcomeComplete, FinishReason: "stop"}}},
	}
	var requested []int
	api.ReadRemote = func(_ context.Context, member, id, workspace string, after int) (RemotePage, bool) {
		require.Equal(t, "entry-2", member)
		require.Equal(t, "kigali", workspace)
		requested = append(requested, after)
		page := pages[0]
		pages = pages[1:]
		return page, true
	}
	got := do(t, api, "GET", "/v1/requests/entry-2.abc/stream?after=1", "key-kigali", "")
	require.Equal(t, 200, got.status, got.body)
	require.Contains(t, got.body, `"content":"three"`)
	require.Equal(t, []int{1, 2, 2}, requested)
	require.Equal(t, "complete", got.trailer.Get(HeaderOutcome))
}

// Guards against callers that send orders to the control API of a service's host.
func TestServicePathsStayOffTheControlAPI(t *testing.T) {
	for _, path := range []string{
		"control/orders", "/control/orders", "//control", "%2Fcontrol/status", "%63ontrol/orders", "Control/status",
		"../control/orders", "a/../../control", "%2e%2e/control", "a/%2e/b", "..%2fcontrol", `..%5ccontrol`,
	} {
		got := do(t, testAPI(), "POST", "/v1/services/ledger/"+path, "key-kigali", "{}")
		require.Contains(t, []int{400, 404}, got.status, path)
		require.Equal(t, "not_run", got.header.Get(HeaderOutcome), path)
	}
	for _, path := range []string{"payments/control", "controls", "a..b/c", "a%2Fb", "a%20b"} {
		require.Equal(t, 201, do(t, testAPI(), "POST", "/v1/services/ledger/"+path, "key-kigali", "{}").status, path)
	}
}

// Guards against a service's response that loses its status or its outcome.
func TestServiceResponseIsForwarded(t *testing.T) {
	got := do(t, testAPI(), "POST", "/v1/services/ledger/payments", "key-kigali", "{}")
	require.Equal(t, 201, got.status)
	require.Equal(t, "booked", got.body)
	require.Equal(t, "complete", got.header.Get(HeaderOutcome))
}

// Guards against an unexpected error, after which the outcome is unknown, that is reported as not run.
func TestUnexpectedErrorMayHaveRun(t *testing.T) {
	refusal := asRefusal(io.ErrUnexpectedEOF)
	require.Equal(t, http.StatusInternalServerError, refusal.Status)
	require.Equal(t, rudderstream.OutcomeMayHaveRun, refusal.Outcome)
	require.True(t, refusal.NoRetry)
}

// Guards against callers that keep using their connections to an entry host that is stopping, and against a wait for a body
// that does not arrive.
func TestStoppingHost(t *testing.T) {
	api := testAPI()
	accepting, refuse := context.WithCancel(context.Background())
	api.Accepting, api.Leaving = accepting, func() bool { return true }
	got := do(t, api, "POST", "/v1/chat/completions", "key-kigali", chatBody)
	require.Equal(t, http.StatusOK, got.status)
	require.True(t, got.close)

	api.Refuse = func() *Refusal {
		if accepting.Err() != nil {
			return refuseNotReady("stopping")
		}
		return nil
	}
	server := httptest.NewServer(api.Handler())
	defer server.Close()
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", body)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer key-kigali")
	time.AfterFunc(100*time.Millisecond, refuse)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, string(rudderstream.OutcomeNotRun), response.Header.Get(HeaderOutcome))
}

// slowDeadline is a response whose read deadline takes a moment to set, and reports what sets it after the end of the request.
type slowDeadline struct {
	*httptest.ResponseRecorder
	ended atomic.Bool
	late  atomic.Int32
}

func (s *slowDeadline) SetReadDeadline(time.Time) error {
	time.Sleep(20 * time.Millisecond)
	if s.ended.Load() {
		s.late.Add(1)
	}
	return nil
}

// Guards against a refused request of a stopping host that interrupts a request which comes after it.
func TestRefusedRequestInterruptsNoOther(t *testing.T) {
	api := testAPI()
	accepting, refuse := context.WithCancel(context.Background())
	refuse()
	api.Accepting, api.Leaving = accepting, func() bool { return true }
	handler := api.Handler()
	for range 20 {
		w := &slowDeadline{ResponseRecorder: httptest.NewRecorder()}
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody))
		request.Header.Set("Authorization", "Bearer key-kigali")
		handler.ServeHTTP(w, request)
		w.ended.Store(true)
		time.Sleep(40 * time.Millisecond)
		require.Zero(t, w.late.Load())
	}
}

// Guards against long bodies that exceed the memory of a host together, and against memory that stays reserved after a request or
// is given back while its answer goes on.
func TestBodiesAreBounded(t *testing.T) {
	api := testAPI()
	api.Bodies = rudderbody.NewBudget(64 << 10)
	finish := api.Start
	var running *rudderstream.Answer
	api.Start = func(q rudderstream.Request, a *rudderstream.Answer) {
		require.Equal(t, int64(chatCopies*len(chatBody)), api.Bodies.Held())
		running = a
		finish(q, a)
	}
	long := strings.Repeat(" ", 33<<10)
	for _, test := range []struct {
		path, key, body string
		status          int
	}{
		{"/v1/chat/completions", "key-studio", chatBody + long, 503},
		{"/v1/services/booking/x", "key-studio", long, 503},
		{"/v1/services/booking/x", "key-studio", long[:1<<10], 201},
		{"/v1/chat/completions", "key-kigali", "{", 400},
		{"/v1/chat/completions", "key-kigali", chatBody, 200},
	} {
		got := do(t, api, "POST", test.path, test.key, test.body)
		require.Equal(t, test.status, got.status, got.body)
		if test.status == http.StatusServiceUnavailable {
			require.Contains(t, got.body, "memory_full")
			require.Equal(t, "1", got.header.Get("Retry-After"))
			require.Equal(t, "not_run", got.header.Get(HeaderOutcome))
		}
		require.Zero(t, api.Bodies.Held())
	}
	require.NotNil(t, running)
}

// Guards against a body that stops short of its end and keeps memory that another caller needs, and against its end without a promise.
func TestStalledBodyIsRefused(t *testing.T) {
	api, table := testAPI(), &rudderconn.Table{}
	api.Bodies = rudderbody.NewBudget(serviceCopies * 64 << 10)
	api.Bodies.SetReclaim(table.EndSlowest)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &rudderdrain.Server{HTTP: &http.Server{Handler: api.Handler(), ReadHeaderTimeout: time.Minute}, Listener: listener, Connections: table}
	go func() { _ = server.Serve() }()
	defer func() { _ = server.HTTP.Close() }()
	send := func(size int, body string) *http.Response {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST /v1/services/booking/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-studio\r\nContent-Length: %d\r\n\r\n%s", size, body)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		return response
	}
	stalled := make(chan *http.Response, 1)
	go func() { stalled <- send(30<<10, "part") }()
	require.Eventually(t, func() bool { return api.Bodies.Held() > 0 }, time.Minute, time.Millisecond)
	long := strings.Repeat(" ", 20<<10)
	require.Eventually(t, func() bool { return send(len(long), long).StatusCode == http.StatusCreated }, time.Minute, 100*time.Millisecond)
	response := <-stalled
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Equal(t, string(rudderstream.OutcomeNotRun), response.Header.Get(HeaderOutcome))
}

package rudderfaults

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderhttp"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/ruddertarget"
)

const otherKey = "key-of-another-firm"

// addOtherFirm adds a second firm with its own workspace and service to the layout.
func addOtherFirm(l *rudderfleetstand.Layout) {
	sum := sha256.Sum256([]byte(otherKey))
	d := &l.Document
	firm := rudderfleetstand.FirmVercheres
	d.Workspaces = append(d.Workspaces, rudderconfig.Workspace{
		Name: "studio", Firm: firm, KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1, Preset: rudderconfig.PresetCrestFirst,
	})
	d.Services = append(d.Services, rudderconfig.Service{Name: rudderfleetstand.ServiceBooking, Firm: firm})
}

func startHostileWorld(t *testing.T) *World {
	t.Parallel()
	w := &World{Entries: 3, Scale: subsetScale, ModifyLayout: addOtherFirm}
	t.Cleanup(w.Close)
	require.NoError(t, w.Start())
	require.NoError(t, w.awaitReady())
	return w
}

type reply struct {
	status        int
	code, outcome string
	nextStep      string
	id            string
}

// exchange sends a request and returns the status and the error fields of the reply, from a caller API or an
// admin API.
func (w *World) exchange(t *testing.T, method, address, path, key string, body []byte, header ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	response, err := w.send(ctx, method, address, path, body, append([]string{"Authorization", "Bearer " + key}, header...)...)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var caller struct {
		Error struct {
			Code     string `json:"code"`
			Outcome  string `json:"outcome"`
			NextStep string `json:"next_step"`
		} `json:"error"`
	}
	var operator rudderadmin.Error
	got := reply{status: response.StatusCode, id: response.Header.Get(rudderhttp.HeaderRequestID)}
	if json.Unmarshal(text, &caller) == nil && caller.Error.Code != "" {
		got.code, got.outcome, got.nextStep = caller.Error.Code, caller.Error.Outcome, caller.Error.NextStep
	} else if json.Unmarshal(text, &operator) == nil {
		got.code, got.nextStep = operator.Code, operator.NextStep
	}
	return got
}

// Guards against invalid requests of callers and operators that take effect, expose another firm's data, or
// get an error without a next step.
func TestHostileCallersAndOperators(t *testing.T) {
	w := startHostileWorld(t)
	e := w.live()[0]
	caller, admin := e.App.CallerAddress(), e.App.AdminAddress()
	body := func(model string) []byte {
		return fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":"x"}],"max_tokens":3}`, model)
	}
	chat, payments := body(rudderfleetstand.ModelLedger), "/v1/services/"+rudderfleetstand.ServiceLedger+"/payments"
	foreign := w.chat(e, rudderfleetstand.ModelLedger, w.prompt(shortAnswer), shortAnswer, false)
	require.True(t, complete(foreign))
	require.True(t, complete(w.call(e, "used-key", "first body")))
	config, big := rudderadmin.PathPrefix+"/config", bytes.Repeat([]byte(" "), 4<<20+1)
	tests := []struct {
		name, method, address, path, key string
		body                             []byte
		header                           []string
		status                           int
		code                             string
	}{
		{"wrong key", "POST", caller, pathChat, "nobody", chat, nil, 401, "invalid_api_key"},
		{"operator's token as key", "POST", caller, pathChat, rudderfleetstand.OperatorToken, chat, nil, 401, "invalid_api_key"},
		{"another firm's model", "POST", caller, pathChat, otherKey, chat, nil, 404, "model_not_found"},
		{"another firm's service", "POST", caller, payments, otherKey, []byte("pay"), nil, 403, "service_of_other_firm"},
		{"another firm's answer", "GET", caller, "/v1/requests/" + foreign.RequestID + "/stream", otherKey, nil, nil, 404, "answer_not_found"},
		{"another firm's answer elsewhere", "GET", w.live()[1].App.CallerAddress(), "/v1/requests/" + foreign.RequestID + "/stream", otherKey, nil, nil, 404, "answer_not_found"},
		{"body too large", "POST", caller, pathChat, workspaceKey, big, nil, 413, "body_too_large"},
		{"call too large", "POST", caller, payments, workspaceKey, big, nil, 413, "body_too_large"},
		{"key with another body", "POST", caller, payments, workspaceKey, []byte("second body"), []string{"Idempotency-Key", "used-key"}, 409, "idempotency_key_conflict"},
		{"key too long", "POST", caller, payments, workspaceKey, []byte("pay"), []string{"Idempotency-Key", strings.Repeat("k", 5000)}, 400, "bad_idempotency_key"},
		{"key too old", "POST", caller, payments, workspaceKey, []byte("pay"), []string{"Idempotency-Key", "old", "Idempotency-Key-Time", "2020-01-01T00:00:00Z"}, 422, "idempotency_key_expired"},
		{"wrong token", "PUT", admin, config, "nobody", []byte("{}"), nil, 401, rudderadmin.CodeUnauthorized},
		{"key as operator's token", "PUT", admin, config, workspaceKey, []byte("{}"), nil, 401, rudderadmin.CodeUnauthorized},
		{"stale version", "PUT", admin, config, rudderfleetstand.OperatorToken, []byte("{}"), []string{"If-Match", "0"}, 409, rudderadmin.CodeConflict},
		{"version of the future", "PUT", admin, config, rudderfleetstand.OperatorToken, []byte("{}"), []string{"If-Match", "9999"}, 400, rudderadmin.CodeInvalid},
		{"invalid document", "PUT", admin, config, rudderfleetstand.OperatorToken, []byte(`{"selectors":[{"name":"x"}]}`), nil, 422, rudderadmin.CodeInvalid},
		{"no document", "PUT", admin, config, rudderfleetstand.OperatorToken, []byte("\x00"), nil, 400, rudderadmin.CodeInvalid},
		{"document too large", "PUT", admin, config, rudderfleetstand.OperatorToken, big, nil, 413, rudderadmin.CodeInvalid},
	}
	runs, calls := len(w.fleet.Fabric.Ledger.Runs()), len(w.fleet.Calls.Calls())
	version, _ := e.App.ServingVersion()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := w.exchange(t, test.method, test.address, test.path, test.key, test.body, test.header...)
			require.Equal(t, test.status, got.status, got)
			require.Equal(t, test.code, got.code)
			require.NotEmpty(t, got.nextStep)
			if test.address == caller && test.method == http.MethodPost {
				require.Equal(t, rudderoracle.OutcomeNotRun, got.outcome)
			}
		})
	}
	require.Len(t, w.fleet.Fabric.Ledger.Runs(), runs)
	require.Len(t, w.fleet.Calls.Calls(), calls)
	now, _ := e.App.ServingVersion()
	require.Equal(t, version, now)
	forged := w.exchange(t, http.MethodPost, caller, payments, workspaceKey, []byte("pay"), "Rudder-Request-Id", "forged", "Rudder-Group", "")
	require.Equal(t, http.StatusOK, forged.status)
	require.Zero(t, w.fleet.Calls.CountOfRequest("forged"))
	require.EqualValues(t, 1, w.fleet.Calls.CountOfRequest(forged.id))
	require.Empty(t, w.Violations())
}

// Guards against connections that block an entry host: headers that are incomplete or too large, and incomplete
// bodies. Other callers must be served meanwhile, and a half-closed connection still gets its answer.
func TestHostileConnections(t *testing.T) {
	w := startHostileWorld(t)
	e := w.live()[0]
	dial := func(text string) *net.TCPConn {
		conn, err := net.Dial("tcp", e.App.CallerAddress())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = conn.Write([]byte(text))
		require.NoError(t, err)
		return conn.(*net.TCPConn)
	}
	status := func(conn *net.TCPConn) int {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	head := "POST " + pathChat + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + workspaceKey + "\r\n"
	payment := "POST /v1/services/" + rudderfleetstand.ServiceLedger + "/payments HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + workspaceKey + "\r\nContent-Length: 3\r\n\r\npay"
	var slow []*net.TCPConn
	for range 50 {
		slow = append(slow, dial(head), dial(head+"Content-Length: 100\r\n\r\n{"))
	}
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(dial(head+"X: "+strings.Repeat("x", 80<<10)+"\r\n\r\n")))
	before := len(w.fleet.Calls.Calls())
	half := dial(payment)
	require.NoError(t, half.CloseWrite())
	require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusGatewayTimeout}, status(half))
	require.LessOrEqual(t, len(w.fleet.Calls.Calls()), before+1)
	require.NoError(t, w.awaitProgress(progressTimeout))
	// The read time-out for headers is 10 s; the connection is then closed with or without an error answer.
	_, err := io.Copy(io.Discard, slow[0])
	require.NoError(t, err, "a connection without a whole header is not closed")
	require.Empty(t, w.Violations())
}

// Guards against malformed streams or stale chunks of an engine that reach a caller, and against orders with
// an old or forged fencing number that leave a group with a wrong role.
func TestHostileTargets(t *testing.T) {
	w := startHostileWorld(t)
	malform := func(domain string) {
		for _, h := range w.fleet.Hosts {
			if h.Engine != nil && strings.HasPrefix(h.FabricDomain, domain) {
				h.Engine.MalformNext(1)
				h.Engine.SetStaleChunks(true)
			}
		}
	}
	stream := func(e *rudderscene.Entry) rudderoracle.Answer {
		return w.chat(e, rudderfleetstand.ModelLedger, w.prompt(longAnswer), longAnswer, true)
	}
	for _, e := range w.live() {
		malform(w.fleet.Layout.Domains[0].Name)
		a := stream(e)
		require.True(t, complete(a), "%+v", a)
	}
	malform("") // the engines of all domains, so that each group fails the request once
	a := stream(w.live()[0])
	require.True(t, complete(a), "%+v", a)
	control := (&ruddertarget.HTTP{}).Control()
	orders := []struct {
		name    string
		fencing int64
	}{{"old", 0}, {"forged", 1 << 40}}
	for _, o := range orders {
		for _, h := range w.fleet.Hosts[:2] { // the first host does not check fencing numbers, the second does
			role := ruddertarget.Role{Group: "forged", Rank: 0, Size: 1, Members: []string{h.Address}, Model: rudderfleetstand.ModelLedger, ModelVersion: "1"}
			_, _ = control.Send(context.Background(), h.Address, ruddertarget.Order{
				Kind: ruddertarget.OrderAssign, Role: role, Fencing: o.fencing, ExpectGroup: h.Engine.Status().Role.Group,
			})
		}
		require.NoError(t, w.awaitProgress(progressTimeout), o.name)
	}
	require.Empty(t, w.Violations())
}

// Guards against peer messages that an entry host accepts without a valid signature, a second time, or
// although they were signed for another host.
func TestHostilePeers(t *testing.T) {
	w := startHostileWorld(t)
	captured := make(chan Call, 1)
	w.interceptors.add(&Interceptor{
		Matches: func(c Call) bool {
			return c.Answered && c.Status == http.StatusOK && strings.HasPrefix(c.Path, rudderpeer.MembershipPathPrefix) && c.To == w.live()[1].Name
		},
		Intercept: func(c Call) { captured <- c },
	})
	c := <-captured
	send := func(address string, change func(h http.Header)) int {
		request, err := http.NewRequest(c.Method, "http://"+address+c.Path, bytes.NewReader(c.Body))
		require.NoError(t, err)
		request.Header = c.Header.Clone()
		change(request.Header)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	receiver, another := w.live()[1].App.PeerAddress(), w.live()[2].App.PeerAddress()
	same := func(http.Header) {}
	require.Equal(t, http.StatusUnauthorized, send(receiver, same), "replayed")
	require.Equal(t, http.StatusUnauthorized, send(another, same), "replayed at another host")
	require.Equal(t, http.StatusUnauthorized, send(receiver, func(h http.Header) { h.Del(rudderpeer.HeaderAuth) }), "unsigned")
	require.Equal(t, http.StatusUnauthorized, send(receiver, func(h http.Header) {
		signed := h.Get(rudderpeer.HeaderAuth)
		h.Set(rudderpeer.HeaderAuth, signed[:len(signed)-2]+"00")
	}), "forged")
	require.NoError(t, w.awaitProgress(progressTimeout))
	require.Empty(t, w.Violations())
}

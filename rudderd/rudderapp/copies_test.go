package rudderapp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderowner"
	"comfreyrudder.example/rudderd/rudderservice"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/rudderd/ruddertestnet"
	"comfreyrudder.example/shared/ruddertarget"
)

// copyingTarget answers requests, but refuses the second one that reaches it. Later requests on that connection get the refusal
// once more while they run. It returns its address and the number of requests that run.
func copyingTarget(t *testing.T) (address string, runs *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	runs = &atomic.Int64{}
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader, refused := bufio.NewReader(conn), false
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			var x ruddertarget.WorkExtension
			_ = json.NewDecoder(r.Body).Decode(&x) // only that of an engine has one
			_, _ = io.Copy(io.Discard, r.Body)
			names := fmt.Sprintf("Rudder-Request-Id: %s\r\nRudder-Attempt: %d\r\n", r.Header.Get(ruddertarget.HeaderRequestID)+x.RequestID, x.Attempt)
			first := requests.Add(1) == 2
			if !first {
				runs.Add(1)
			}
			if refused = refused || first; refused {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nRudder-Not-Run: true\r\nContent-Length: 0\r\n"+names+"\r\n")
				continue
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+names+"\r\n")
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
	return l.Addr().String(), runs
}

// A request is refused on a kept connection, its ID comes again, and the refusal is written once more while it runs. Guards against
// a caller that is told that the request has not run, and against a limit of requests that only the copy names.
func TestCopyOfARefusal(t *testing.T) {
	a := &App{Clock: clockwork.NewRealClock(), fleet: &rudderfleet.Fleet{}}
	var limits bytes.Buffer
	a.owner = &rudderowner.Owner{Clock: a.Clock, Logger: zerolog.New(&limits), Members: func() []ruddermember.Member { return nil }}
	var copied atomic.Bool
	a.TargetDial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &ruddertestnet.Overtaken{Conn: c, Text: func() string {
			if !copied.Load() {
				return ""
			}
			return "HTTP/1.1 503 Full\r\nRudder-Request-Limit: 5\r\nRudder-Not-Run: true\r\nRudder-Request-Id: c3\r\nRudder-Attempt: 1\r\nContent-Length: 4\r\n\r\nfull"
		}}, err
	}
	a.wirePaths()
	const complete, refused, other = "complete", "refused", "other"
	engine := a.newEngine()
	service := func(address string, body []byte) func(id string) string {
		d := &rudderservice.Dispatcher{
			AcquireTarget: func(context.Context, *rudderservice.Call, []string) (string, func(), error) {
				return address, func() {}, nil
			},
			IsIdempotent: func(string, string, string) bool { return true },
			TakeRetry:    func() bool { return false },
			Dial:         a.dialTarget, Wrap: a.throughPath, Clock: a.Clock, Timeout: 2 * time.Second,
		}
		return func(id string) string {
			call := rudderservice.Call{RequestID: id, Method: http.MethodPut, Path: "/x", Header: http.Header{rudderservice.HeaderKey: {"k"}}, Body: body}
			switch result := d.Do(t.Context(), call); {
			case result.Outcome == rudderservice.OutcomeComplete:
				return complete
			case result.Code == rudderservice.CodeRefused:
				return refused
			}
			return other
		}
	}
	for _, test := range []struct {
		name string
		open func(address string) func(id string) string
	}{
		{"engine", func(address string) func(id string) string {
			return func(id string) string {
				stream, err := engine.Open(t.Context(), address, nil, ruddertarget.WorkExtension{RequestID: id, Attempt: 1})
				switch {
				case err == nil:
					_, _ = stream.Next() // reads to the end, so that the connection is kept
					stream.Close()
					return complete
				case errors.Is(err, rudderstream.ErrRefused):
					return refused
				}
				return other
			}
		}},
		{"service", func(address string) func(id string) string { return service(address, nil) }},
		{"service, with a body", func(address string) func(id string) string { return service(address, []byte("body")) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, runs := copyingTarget(t)
			send := test.open(address)
			require.Equal(t, complete, send("c1"))
			require.Equal(t, refused, send("c2"))
			require.Equal(t, complete, send("c2"))
			require.Equal(t, int64(2), runs.Load())
			require.Equal(t, complete, send("c3"))
			copied.Store(true)
			defer copied.Store(false)
			require.NotEqual(t, refused, send("c3"), "the copy arrives just before the connection is closed")
			require.Empty(t, limits.String())
		})
	}
}

// An engine answers a request with a redirection. Guards against an HTTP client that follows it, so that the request is sent twice and a
// refusal of the second one tells that it has not run.
func TestRedirectionOfAnEngineIsNotFollowed(t *testing.T) {
	var requests atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			w.Header().Set("Location", "/v1/chat/completions")
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		w.Header().Set(ruddertarget.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer engine.Close()
	a := &App{Clock: clockwork.NewRealClock(), fleet: &rudderfleet.Fleet{}}
	a.owner = &rudderowner.Owner{Clock: a.Clock}
	a.wirePaths()
	address := engine.Listener.Addr().String()
	_, err := a.newEngine().Open(t.Context(), address, nil, ruddertarget.WorkExtension{RequestID: "c1", Attempt: 1})
	require.True(t, errors.Is(err, rudderstream.ErrBroken), "%v", err)
	require.Equal(t, int64(1), requests.Load())
}

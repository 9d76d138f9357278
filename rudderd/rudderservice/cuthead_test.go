package rudderservice

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/ruddertarget"
)

// cutHeadTarget starts a target that answers a call whose query is an offset with the bytes of the head before it, and then
// closes the connection, or resets it. Other calls get a whole response. OWN in the head stands for the ID of the call, which
// is as long.
func cutHeadTarget(t *testing.T, head string, reset bool, runs *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		for reader := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			own := strings.Replace(head, "OWN", r.Header.Get(ruddertarget.HeaderRequestID), 1)
			if offset, err := strconv.Atoi(r.URL.RawQuery); err == nil {
				_, _ = io.WriteString(conn, own[:offset])
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return
			}
			_, _ = io.WriteString(conn, own+"whole answer")
			if !strings.Contains(own, "Content-Length") {
				return
			}
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

// Guards against a response that looks complete, a call that runs twice or frees its key, and one that is reported as not
// run, because its target closes or resets the connection inside the head of its response.
func TestHeadThatBreaksOff(t *testing.T) {
	const own = ruddertarget.HeaderRequestID + ": OWN\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + own + "\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + own + "Content-Length: 12\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + own + "\r\n",
	} {
		for _, reset := range []bool{false, true} {
			var runs atomic.Int64
			cutting := cutHeadTarget(t, head, reset, &runs)
			for offset := range len(head) {
				query := strconv.Itoa(offset)
				d, changes := newDispatcher(cutting)
				for name, header := range map[string]http.Header{"no key": {}, "key": {HeaderKey: {"k1"}}} {
					runs.Store(0)
					result := d.Do(context.Background(), Call{RequestID: "own", Method: http.MethodPost, Path: "/x", RawQuery: query, Header: header, Body: []byte("b")})
					require.Equal(t, OutcomeMayHaveRun, result.Outcome, "%s: %q", name, head[:offset])
					require.Equal(t, int64(1), runs.Load(), "%s: %q", name, head[:offset])
				}
				require.Zero(t, changes.settled+changes.released, "%q", head[:offset])

				d, _ = newDispatcher(cutting, closedAddress(t))
				for _, want := range []Outcome{OutcomeComplete, OutcomeComplete, OutcomeMayHaveRun} { // the last one on a kept connection
					call := Call{RequestID: "own", Method: http.MethodGet, Path: "/x", Header: http.Header{}}
					if want == OutcomeMayHaveRun {
						call.RawQuery = query
					}
					runs.Store(0)
					result := d.Do(context.Background(), call)
					require.Equal(t, want, result.Outcome, "%q", head[:offset])
					require.LessOrEqual(t, runs.Load(), int64(2), "%q", head[:offset])
				}
			}
		}
	}
}

// Guards against passing on a response with a head that no response can have, and a body whose length is hidden by it.
func TestInvalidHeadMayHaveRun(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 None\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n"} {
		var runs atomic.Int64
		d, _ := newDispatcher(cutHeadTarget(t, head+ruddertarget.HeaderRequestID+": OWN\r\n\r\n", false, &runs))
		result := d.Do(context.Background(), Call{RequestID: "own", Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: []byte("b")})
		require.Equal(t, OutcomeMayHaveRun, result.Outcome, "%q", head)
		require.Equal(t, int64(1), runs.Load(), "%q", head)
	}
}

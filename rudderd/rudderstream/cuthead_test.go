package rudderstream

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddertestnet"
	"comfreyrudder.example/shared/ruddertarget"
)

// cutHeadEngine is an engine that reads a request and then writes a part of a response's head before it closes or resets
// the connection. Each connection serves one whole answer first.
type cutHeadEngine struct {
	mu    sync.Mutex
	part  string
	reset bool
	runs  int
}

func (e *cutHeadEngine) set(part string, reset bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.part, e.reset, e.runs = part, reset, 0
}

func (e *cutHeadEngine) requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

func (e *cutHeadEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var x ruddertarget.WorkExtension
		if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e.mu.Lock()
		part, reset := e.part, e.reset
		e.runs++
		e.mu.Unlock()
		if part != "whole" {
			_, _ = io.WriteString(conn, part)
			if reset {
				_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
			}
			return
		}
		response := httptest.NewRecorder()
		tokens(5, 5)(response, x, r)
		result := response.Result()
		result.ContentLength, result.TransferEncoding = -1, []string{"chunked"}
		_ = result.Write(conn)
	}
}

// Guards against an answer that looks complete, and a request that is reported as not run, because an engine closes or resets
// the connection inside the head of its response.
func TestHeadThatBreaksOff(t *testing.T) { synctest.Test(t, testHeadThatBreaksOff) }

func testHeadThatBreaksOff(t *testing.T) {
	network := &ruddertestnet.Network{}
	l := network.Listen()
	t.Cleanup(func() { _ = l.Close() })
	cutting := &cutHeadEngine{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go cutting.serve(conn)
		}
	}()
	begun, sound := newFakeEngineOn(t, network, tokens(3, 5)), newFakeEngineOn(t, network, tokens(5, 5))
	transport := &http.Transport{DialContext: network.Dial}
	t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	run := func(attempts int, addresses ...string) Page {
		r := testRunner(addresses...)
		r.MaxAttempts, r.Engine.Client = attempts, client
		page, _ := runRequest(t, r)
		return page
	}
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	} {
		for offset := range len(head) {
			for _, reset := range []bool{false, true} {
				if offset%2 == 0 { // the next request reuses a connection
					cutting.set("whole", false)
					require.Equal(t, OutcomeComplete, run(1, l.Addr().String()).Result.Outcome)
				}
				cutting.set(head[:offset], reset)
				page := run(1, l.Addr().String())
				require.Equal(t, OutcomeMayHaveRun, page.Result.Outcome, "%q", head[:offset])
				require.Equal(t, 1, cutting.requests(), "%q", head[:offset])
				page = run(3, l.Addr().String(), sound.address())
				require.Equal(t, OutcomeComplete, page.Result.Outcome, "%q", head[:offset])
				require.Equal(t, expectedTokens(5), page.Tokens)
				page = run(3, begun.address(), l.Addr().String(), sound.address())
				require.Equal(t, OutcomeComplete, page.Result.Outcome, "%q", head[:offset])
				require.Equal(t, strings.Join(expectedTokens(5), ""), strings.Join(page.Tokens, ""))
				page = run(2, begun.address(), l.Addr().String())
				require.Equal(t, OutcomeMayHaveRun, page.Result.Outcome, "%q", head[:offset])
			}
		}
	}
}

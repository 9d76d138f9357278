package rudderconn

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a crowd that keeps other callers out, and against the end of a connection whose request is being served or whose
// body has only paused.
func TestConnectionsWithoutProgressAreEndedFirst(t *testing.T) {
	request := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("part"), strings.NewReader("rest")))
	for _, test := range []struct {
		name   string
		first  func(table *Table, c *conn) // what the older of two connections does
		pause  time.Duration
		reason string // of the end of a connection
		older  bool   // the older one is ended for a third one
	}{
		{"both without a request", func(*Table, *conn) {}, 0, ReasonWaiting, true},
		{"the older one is served", func(table *Table, c *conn) { serve(table, c, request, nil) }, time.Minute, ReasonWaiting, false},
		{"the older one waits again", func(table *Table, c *conn) { serve(table, c, request, nil); table.Idle(c) }, 0, ReasonWaiting, false},
		{"a body stalls", func(table *Table, c *conn) { serve(table, c, request, make([]byte, 1)) }, stallTimeout, ReasonBody, true},
		{"a body pauses", func(table *Table, c *conn) { serve(table, c, request, make([]byte, 1)) }, stallTimeout - 1, ReasonFull, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var reasons []string
			now := time.Unix(1, 0)
			table := &Table{Limit: 2, now: func() time.Time { return now }, OnEnd: func(reason string) { reasons = append(reasons, reason) }}
			older, newer := table.add(pipe(t)).(*conn), table.add(pipe(t)).(*conn)
			test.first(table, older)
			if test.reason == ReasonBody || test.reason == ReasonFull {
				serve(table, newer, request, nil)
			}
			now = now.Add(test.pause)
			third := table.add(pipe(t))
			require.Equal(t, []string{test.reason}, reasons)
			require.Equal(t, test.older, !table.connections[older])
			require.Equal(t, test.reason == ReasonFull, third == nil)
			require.Equal(t, 2, table.Open())
		})
	}
}

// Guards against memory that is held for a caller that does not read, in writes that do not end.
func TestUnreadResponseEnds(t *testing.T) {
	table := &Table{}
	c := table.add(pipe(t))
	failed := make(chan error)
	go func() { _, err := c.Write(make([]byte, 1)); failed <- err }()
	require.Eventually(t, table.EndSlowest, 20*time.Second, searchInterval)
	require.Error(t, <-failed)
	require.Zero(t, table.Open())
}

// serve passes the request of a connection to a handler that reads a part of its body.
func serve(table *Table, c *conn, r *http.Request, part []byte) {
	table.Wrap(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if len(part) > 0 {
			_, _ = r.Body.Read(part)
		}
	})).
		ServeHTTP(nil, r.WithContext(table.ConnContext(r.Context(), c)))
}

func pipe(t *testing.T) net.Conn {
	c, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	return c
}

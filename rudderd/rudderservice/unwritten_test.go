package rudderservice

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/ruddertarget"
)

// closedConn accepts one write.
type closedConn struct {
	net.Conn
	writes atomic.Int32
}

func (c *closedConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) > 1 {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// Guards against a call that fails, or costs a retry, because a kept connection has been closed and takes no byte of it.
func TestUnwrittenCallUsesAnotherConnection(t *testing.T) {
	var runs atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set(ruddertarget.HeaderRequestID, r.Header.Get(ruddertarget.HeaderRequestID))
	}))
	defer target.Close()
	d, _ := newDispatcher(address(target))
	d.TakeRetry = func() bool { return false }
	d.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &closedConn{Conn: c}, nil
	}
	d.naming.Store(address(target), true) // as after an earlier answer
	for _, id := range []string{"c1", "c2"} {
		require.Equal(t, OutcomeComplete, d.Do(t.Context(), Call{Method: http.MethodGet, Path: "/booths", Header: http.Header{}, RequestID: id}).Outcome)
	}
	require.Equal(t, int64(2), runs.Load())
}

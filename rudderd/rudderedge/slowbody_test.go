package rudderedge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests whose bodies are still arriving at the end of the grace time and that lose their connection without
// a response.
func TestStopAnswersRequestsWithSlowBodies(t *testing.T) {
	for _, kind := range []string{"idempotent", "once", "resumable", "stream"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			e, servers := stoppingEdge(t, 2*time.Second, new(atomic.Pointer[time.Time]))
			c, err := net.Dial("tcp", servers[0].Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 100\r\n\r\nhalf", kind)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return e.forwarder.InFlight() == 1 }, time.Second, time.Millisecond)
			e.leave(t.Context(), servers)
			_ = servers[0].HTTP.Close() // as Run does
			require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err, "no response")
			_ = response.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		})
	}
}

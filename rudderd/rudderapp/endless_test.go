package rudderapp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderfleet"
)

// Guards against a client whose responses take no memory of a budget: a faulty server could exhaust the memory of the host.
func TestClientsTakeMemory(t *testing.T) {
	a := &App{Clock: clockwork.NewRealClock(), fleet: &rudderfleet.Fleet{}}
	a.Settings.PeerSecret = "peer-secret-of-test"
	a.memory = rudderbody.NewBudgets(8 << 20)
	a.stopping.init()
	a.wirePaths()
	var fields strings.Builder
	for i := 0; fields.Len() < 60<<10; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", 1<<16+i)
	}
	for _, test := range []struct {
		name, text string
		transport  http.RoundTripper
		budget     *rudderbody.Budget
	}{
		{"key-value service, head", "HTTP/1.1 200 OK\r\n" + fields.String(), a.platformTransport(), a.memory.Replies},
		{"key-value service, body", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20), a.platformTransport(), a.memory.Replies},
		{"model request, head", "HTTP/1.1 200 OK\r\n" + fields.String(), a.targetTransport(), a.memory.Responses},
		{"report, head", "HTTP/1.1 200 OK\r\n" + fields.String(), a.controlTransport(), a.memory.Reports},
		{"report, body", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20), a.controlTransport(), a.memory.Reports},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, test.text)
				time.Sleep(5 * time.Second)
			}()
			begin := time.Now()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
			require.NoError(t, err)
			response, err := test.transport.RoundTrip(r)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				require.NoError(t, response.Body.Close())
			}
			require.ErrorIs(t, err, rudderbody.ErrNoMemory)
			require.Less(t, time.Since(begin), 4*time.Second)
			require.Zero(t, test.budget.Held())
		})
	}
}

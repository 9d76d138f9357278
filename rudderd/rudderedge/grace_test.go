package rudderedge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// stopWithResponse runs an entry host that logs to output, begins a response on it that ends with the grace time, stops it, and
// returns the time until its process would have ended.
func stopWithResponse(t *testing.T, e *Edge, output io.Writer, grace time.Duration) time.Duration {
	lines := NewLogWriter(output)
	e.Logger = zerolog.New(lines)
	servers, err := e.listen()
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() {
		err := e.serve(ctx, servers)
		lines.Close(e.LogCloseTimeout())
		ended <- err
	}()
	require.Eventually(t, e.Ready, 5*time.Second, time.Millisecond)
	request, err := http.NewRequest(http.MethodPost, "http://"+servers[0].Listener.Addr().String()+"/stream/x", strings.NewReader("body"))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Tokens", "100")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	begin := time.Now()
	stop()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(2 * grace):
		t.Fatal("the entry host does not end")
	}
	return time.Since(begin)
}

// Guards against a process that is killed at the end of its grace time because what follows its last response takes too long:
// the pause of the log writer, an output that nobody reads, or calls to a key-value service that does not answer.
func TestProcessEndsWithinItsGraceTime(t *testing.T) {
	const grace = 2 * time.Second
	for _, test := range []struct {
		name    string
		silence bool // of the key-value service, from the begin of the stop
		blocked bool // output of the log
	}{{"with a response in flight", false, false}, {"without the key-value service", true, false}, {"without a reader of the log", true, true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := stoppingHost(t, grace, new(atomic.Pointer[time.Time]))
			if test.silence {
				release := make(chan struct{})
				t.Cleanup(func() { close(release) })
				e.Ports.Store.RevokeLease = func(context.Context, int64) error {
					<-release
					return errors.Mark(errors.New("no answer"), rudderstore.ErrUnavailable)
				}
			}
			output := io.Discard
			if test.blocked {
				blocked := &blockedWriter{release: make(chan struct{})}
				t.Cleanup(func() { close(blocked.release) })
				output = blocked
			}
			require.Less(t, stopWithResponse(t, e, output, grace), grace)
		})
	}
}

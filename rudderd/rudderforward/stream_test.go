package rudderforward

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/ruddertarget"
)

// events writes numbered events. If cutAt is the number of one of them, it closes the connection in the
// middle of that event.
func events(w http.ResponseWriter, after, last, cutAt int) {
	sealed(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= last; i++ {
		if i == cutAt {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: par", i)
			_ = http.NewResponseController(w).Flush()
			cut(w)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func streamRoute(resumable bool) func(r *rudderroute.Route) {
	return func(r *rudderroute.Route) {
		r.Kind, r.Resumable, r.Shares = rudderroute.KindStream, resumable, []rudderroute.Share{{Service: "llm", Weight: 1}}
	}
}

// Guards against events that are missing, repeated or truncated when a stream is resumed elsewhere, and
// against a truncated stream that looks complete.
func TestCutStreams(t *testing.T) {
	for _, test := range []struct {
		name      string
		resumable bool
		whole     bool
	}{{"resumable", true, true}, {"not resumable", false, false}} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/s/", streamRoute(test.resumable))
			var arrivals atomic.Int32
			for range 2 {
				b.target("llm", func(w http.ResponseWriter, r *http.Request) {
					if arrivals.Add(1) == 1 {
						w.Header().Set("First", "yes")
						events(w, 0, 5, 3)
						return
					}
					var after int
					_, _ = fmt.Sscan(r.Header.Get("Last"), &after)
					events(w, after, 5, 0)
				})
			}
			b.start()
			response, body, err := b.send("POST", "/s/x", "prompt")
			require.Equal(t, 200, response.StatusCode)
			require.Equal(t, "yes", response.Header.Get("First"))
			if !test.whole {
				require.Error(t, err)
				require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body)
				require.Equal(t, int32(1), arrivals.Load())
				return
			}
			require.NoError(t, err)
			var ids []string
			for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
				if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
					ids = append(ids, id)
				}
			}
			require.Equal(t, []string{"1", "2", "3", "4", "5"}, ids)
		})
	}
}

// Guards against streams that wait for a dead member of their group. The silence makes the forwarder probe
// the members, and the stream is resumed elsewhere long before the caller's timeout.
func TestSilentGroup(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", streamRoute(true))
	release := make(chan struct{})
	defer close(release)
	var arrivals atomic.Int32
	var dead atomic.Value
	for range 2 {
		b.target("llm", func(w http.ResponseWriter, r *http.Request) {
			if arrivals.Add(1) == 1 {
				dead.Store(r.Host)
				dead.Store(r.Header.Get("Target"))
				events(w, 0, 1, 0)
				<-release
				return
			}
			events(w, 1, 2, 0)
		})
	}
	b.start()
	b.forwarder.Report = func(_ context.Context, address string) (ruddertarget.GroupReport, error) {
		for _, x := range b.forwarder.View.Snapshot().Targets {
			if x.Address == address && x.Name == dead.Load() {
				return ruddertarget.GroupReport{}, errors.New("no answer")
			}
		}
		return ruddertarget.GroupReport{}, nil
	}
	begin := time.Now()
	_, body, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body)
	require.Less(t, time.Since(begin), silenceLimit)
	require.Eventually(t, func() bool { _, found := b.suspects.Load(dead.Load()); return found }, time.Second, time.Millisecond)
}

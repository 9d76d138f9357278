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

// eventIDs returns the IDs of the events in a response.
func eventIDs(body string) []string {
	var ids []string
	for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			ids = append(ids, id)
		}
	}
	return ids
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
			require.Equal(t, []string{"1", "2", "3", "4", "5"}, eventIDs(body))
		})
	}
}

// A request is accepted with a key and a configuration of its time. Guards against cutting it when its target fails after the
// key has been withdrawn or the configuration has become stale, although another target could finish it.
func TestAcceptedRequestOutlivesItsConfiguration(t *testing.T) {
	withdraw := func(b *testbed) {
		b.configure(func(d *rudderroute.Document) {
			d.Workspaces = []rudderroute.Workspace{{Name: "firm", Keys: []string{"other"}}}
		})
	}
	const staleness = time.Second
	becomeStale := func(*testbed) { time.Sleep(staleness) }
	for _, test := range []struct {
		name            string
		path            string
		maxKeyStaleness time.Duration
		maxStaleness    time.Duration
		change          func(b *testbed)
	}{
		{"stream, key withdrawn", "/s/", time.Minute, 0, withdraw},
		{"stream, key unchecked for too long", "/s/", staleness, 0, becomeStale},
		{"stream, configuration stale", "/s/", time.Minute, staleness, becomeStale},
		{"stream, routes removed", "/s/", time.Minute, 0, func(b *testbed) { b.configure(func(d *rudderroute.Document) { d.Routes = nil }) }},
		{"call, key withdrawn", "/c/", time.Minute, 0, withdraw},
		{"call, configuration stale", "/c/", time.Minute, staleness, becomeStale},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/s/", streamRoute(true))
			b.route("/c/", func(r *rudderroute.Route) {})
			var arrivals atomic.Int32
			for range 2 {
				b.target("llm", func(w http.ResponseWriter, _ *http.Request) {
					if arrivals.Add(1) == 1 {
						events(w, 0, 1, 0)
						test.change(b)
						cut(w)
						return
					}
					events(w, 1, 2, 0)
				})
				b.target("plain", func(w http.ResponseWriter, _ *http.Request) {
					if arrivals.Add(1) == 1 {
						test.change(b)
						cut(w)
						return
					}
					events(w, 0, 2, 0)
				})
			}
			b.start()
			b.forwarder.MaxKeyStaleness, b.forwarder.MaxStaleness = test.maxKeyStaleness, test.maxStaleness
			response, body, err := b.send("POST", test.path, "body")
			require.NoError(t, err)
			require.Equal(t, 200, response.StatusCode)
			require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body)
			if response, _, err = b.send("POST", test.path, "body"); err == nil {
				require.NotEqual(t, 200, response.StatusCode, "a new request needs the current configuration")
			}
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

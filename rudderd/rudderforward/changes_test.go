package rudderforward

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
)

// Guards against requests without a complete response while routes, shares, services, keys and time limits change.
func TestChangesOfTheConfigurationLoseNoRequest(t *testing.T) {
	b := newTestbed(t)
	var panics strings.Builder
	for _, kind := range []rudderroute.Kind{rudderroute.KindIdempotent, "once", rudderroute.KindStream} {
		for _, service := range []string{"plain", "llm"} {
			b.route(fmt.Sprintf("/%s/%s/", kind, service), func(r *rudderroute.Route) {
				r.Kind, r.Shares = kind, []rudderroute.Share{{Service: service, Weight: 1}}
			})
		}
	}
	for _, service := range []string{"plain", "llm"} {
		for range 2 {
			b.target(service, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(5 * time.Millisecond)
				sealed(w)
			})
		}
	}
	b.start()
	b.server.Config.ErrorLog = log.New(&panics, "", 0)
	original := b.document
	var statuses sync.Map
	var done atomic.Bool
	var senders sync.WaitGroup
	for _, route := range original.Routes {
		for _, path := range []string{route.Prefix + "x", route.Prefix + "y?z"} {
			senders.Go(func() {
				for !done.Load() {
					r, err := http.NewRequest(http.MethodPost, b.server.URL+path, &slowReader{left: 20})
					if !assert.NoError(t, err) {
						return
					}
					r.Host, r.Header = "h", http.Header{"Id": {"q1"}, "Key": {"key"}}
					response, err := http.DefaultClient.Do(r)
					if !assert.NoError(t, err, path) {
						return
					}
					_, err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					assert.NoError(t, err, path)
					statuses.Store(response.StatusCode, true)
				}
			})
		}
	}
	for range 3 {
		for _, change := range []func(d *rudderroute.Document){
			func(d *rudderroute.Document) { d.Routes = nil },
			func(d *rudderroute.Document) { d.Services = nil },
			func(d *rudderroute.Document) { d.Workspaces = nil },
			func(d *rudderroute.Document) {
				for i := range d.Routes {
					d.Routes[i].Shares = []rudderroute.Share{{Service: "plain"}, {Service: "llm"}}
				}
			},
			func(d *rudderroute.Document) {
				for i := range d.Routes {
					d.Routes[i].Shares = nil
				}
			},
			func(d *rudderroute.Document) {
				for i := range d.Routes {
					d.Routes[i].Timeout, d.Routes[i].MaxAttempts = time.Millisecond, 0
				}
			},
			func(d *rudderroute.Document) { d.Limits.BodyBytes = 1 },
			func(d *rudderroute.Document) { d.Services[1].Engine = nil },
			func(*rudderroute.Document) {},
		} {
			b.configure(func(d *rudderroute.Document) {
				version := d.Version
				*d = original
				d.Version = version
				d.Routes = append([]rudderroute.Route(nil), original.Routes...)
				d.Services = append([]rudderroute.Service(nil), original.Services...)
				change(d)
			})
			time.Sleep(50 * time.Millisecond)
		}
	}
	done.Store(true)
	senders.Wait()
	b.server.Close()
	require.NotContains(t, panics.String(), "panic")
	for _, status := range []int{200, 401, 404, 413, 503} {
		_, seen := statuses.Load(status)
		require.True(t, seen, "no response with status %d", status)
	}
}

// slowReader is a body that takes some time to send.
type slowReader struct{ left int }

func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Millisecond)
	r.left--
	return copy(p, "x"), nil
}

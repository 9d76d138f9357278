// Package ruddercapacity measures the network traffic, CPU time, memory and platform calls of entry hosts at
// several fleet sizes and extrapolates them linearly to the size that the design is for. The gossip files
// measure only membership and configuration, without the rest of an entry host.
package ruddercapacity

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrudder.example/rudderd/rudderapp"
	"comfreyrudder.example/shared/rudderpeer"
)

// Traffic counts the outgoing calls of entry hosts and their bytes. The byte counters are TCP payload in both
// directions, so they include HTTP headers and signatures.
type Traffic struct {
	PeerBytes, PlatformBytes, ListBytes, ControlBytes atomic.Int64

	mu    sync.Mutex
	calls map[string]int64 // by peer method, "host list" or "control"
	body  map[string]int64 // request and response body bytes, by the same keys
}

// snapshot is a copy of the counters of a Traffic.
type snapshot struct {
	peer, platform, list, control int64
	calls, body                   map[string]int64
}

func (t *Traffic) snapshot() snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := snapshot{
		peer: t.PeerBytes.Load(), platform: t.PlatformBytes.Load(), list: t.ListBytes.Load(), control: t.ControlBytes.Load(),
		calls: map[string]int64{}, body: map[string]int64{},
	}
	for k, v := range t.calls {
		s.calls[k] = v
	}
	for k, v := range t.body {
		s.body[k] = v
	}
	return s
}

func (t *Traffic) add(method string, calls, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == nil {
		t.calls, t.body = map[string]int64{}, map[string]int64{}
	}
	t.calls[method] += calls
	t.body[method] += bytes
}

const (
	dialTimeout     = time.Second
	idleConnections = 64
)

// dialCounted returns a dialer whose connections add the bytes that they carry to count.
func dialCounted(count *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, count}, nil
	}
}

// roundTripperFunc adapts a function to http.RoundTripper.
type roundTripperFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Instrument replaces the transports of an entry host by counting ones. Apart from the counting, they are
// configured as in rudderapp.
func (t *Traffic) Instrument(app *rudderapp.App) {
	peer := &rudderpeer.Pool{Dial: dialCounted(&t.PeerBytes)}
	app.PeerTransport = roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		method := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		t.add(method, 1, max(0, r.ContentLength))
		return t.countBody(method, peer, r)
	})
	list := &http.Transport{DialContext: dialCounted(&t.ListBytes), MaxIdleConnsPerHost: idleConnections}
	platform := &http.Transport{DialContext: dialCounted(&t.PlatformBytes), MaxIdleConnsPerHost: idleConnections}
	app.PlatformTransport = roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		if strings.HasPrefix(r.URL.Path, "/v1/hosts") {
			t.add("host list", 1, 0)
			return t.countBody("host list", list, r)
		}
		return platform.RoundTrip(r)
	})
	control := &http.Transport{DialContext: dialCounted(&t.ControlBytes), DisableKeepAlives: true}
	work := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	app.TargetTransport = roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		if strings.HasPrefix(r.URL.Path, "/control/") {
			t.add("control", 1, 0)
			return control.RoundTrip(r)
		}
		return work.RoundTrip(r)
	})
}

// countBody sends a request and adds the bytes read from the response body to those of the method.
func (t *Traffic) countBody(method string, base http.RoundTripper, r *http.Request) (*http.Response, error) {
	response, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = countedBody{response.Body, func(n int) { t.add(method, 0, int64(n)) }}
	return response, nil
}

type countedBody struct {
	io.ReadCloser
	count func(int)
}

// Read implements io.Reader.
func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count(n)
	return n, err
}

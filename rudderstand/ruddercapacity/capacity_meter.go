// Package ruddercapacity measures what entry hosts cost the network, the processor, memory and the
// platform, and extends the slopes to the design's target size.
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

// Traffic counts calls and bytes that entry hosts send as clients. Bytes are those of TCP payloads in
// both directions, and so include headers and signatures.
type Traffic struct {
	PeerBytes, PlatformBytes, ListBytes, ControlBytes atomic.Int64

	mu    sync.Mutex
	calls map[string]int64 // by peer method, or "control"
	body  map[string]int64 // bytes of requests and answers by peer method
}

// snapshot of a Traffic.
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

// roundTrip is a RoundTripper from a function.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Instrument makes an entry host count its calls. Its transports are otherwise those of rudderapp.
func (t *Traffic) Instrument(app *rudderapp.App) {
	peer := &rudderpeer.Pool{Dial: dialCounted(&t.PeerBytes)}
	app.PeerTransport = roundTrip(func(r *http.Request) (*http.Response, error) {
		method := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		t.add(method, 1, max(0, r.ContentLength))
		return t.countBody(method, peer, r)
	})
	list := &http.Transport{DialContext: dialCounted(&t.ListBytes), MaxIdleConnsPerHost: idleConnections}
	platform := &http.Transport{DialContext: dialCounted(&t.PlatformBytes), MaxIdleConnsPerHost: idleConnections}
	app.PlatformTransport = roundTrip(func(r *http.Request) (*http.Response, error) {
		if strings.HasPrefix(r.URL.Path, "/v1/hosts") {
			t.add("host list", 1, 0)
			return t.countBody("host list", list, r)
		}
		return platform.RoundTrip(r)
	})
	control := &http.Transport{DialContext: dialCounted(&t.ControlBytes), DisableKeepAlives: true}
	work := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	app.TargetTransport = roundTrip(func(r *http.Request) (*http.Response, error) {
		if strings.HasPrefix(r.URL.Path, "/control/") {
			t.add("control", 1, 0)
			return control.RoundTrip(r)
		}
		return work.RoundTrip(r)
	})
}

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

package rudderfaults

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"comfreyrudder.example/shared/rudderpeer"
)

// Call describes one request between two parties. Interceptors see it twice: before it is sent and after the
// header of the answer has arrived.
type Call struct {
	From, To string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	// Answered is false before the request is sent and true after the header of the answer has arrived.
	Answered bool
	Status   int
}

// Interceptor runs Intercept once, for the first call that Matches accepts. The call is held back until
// Intercept returns.
type Interceptor struct {
	Matches   func(c Call) bool
	Intercept func(c Call)

	once      sync.Once
	triggered chan struct{}
}

// interceptors is the list of interceptors of one world.
type interceptors struct {
	mu   sync.Mutex
	list []*Interceptor
}

func (i *interceptors) add(interceptor *Interceptor) {
	interceptor.triggered = make(chan struct{})
	i.mu.Lock()
	defer i.mu.Unlock()
	i.list = append(i.list, interceptor)
}

func (i *interceptors) observe(c Call) {
	i.mu.Lock()
	list := append([]*Interceptor(nil), i.list...)
	i.mu.Unlock()
	for _, interceptor := range list {
		if interceptor.Matches(c) {
			interceptor.once.Do(func() {
				interceptor.Intercept(c)
				close(interceptor.triggered)
			})
		}
	}
}

// transport is the http.RoundTripper of one party. It sends requests through the fault network and passes
// them to the interceptors.
type transport struct {
	from         string
	network      *Network
	interceptors *interceptors
	pooled       http.RoundTripper
	// fresh opens a new connection for each request other than a model request; if nil, pooled is used.
	fresh http.RoundTripper
}

// pathChat is the path of model requests, at entry hosts and at engines.
const pathChat = "/v1/chat/completions"

// maxBufferedBody bounds the bodies that interceptors can read; longer bodies are sent without being buffered.
const maxBufferedBody = 1 << 20

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := Call{From: t.from, To: t.network.partyAt(r.URL.Host), Method: r.Method, Path: r.URL.Path, Header: r.Header}
	if r.Body != nil && r.ContentLength > 0 && r.ContentLength <= maxBufferedBody {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		_ = r.Body.Close()
		r = r.Clone(r.Context())
		r.Body = io.NopCloser(bytes.NewReader(body))
		c.Body = body
	}
	t.interceptors.observe(c)
	sender := t.pooled
	if t.fresh != nil && r.URL.Path != pathChat {
		sender = t.fresh
	}
	response, err := sender.RoundTrip(r)
	if err == nil {
		c.Answered, c.Status = true, response.StatusCode
		t.interceptors.observe(c)
	}
	return response, err
}

// idleConnections is the number of idle connections per address, the same as rudderd keeps to targets.
const idleConnections = 64

func (w *World) plainTransport(from string) *transport {
	return &transport{from: from, network: &w.network, interceptors: &w.interceptors, pooled: &http.Transport{
		DialContext: w.network.Dial(from), MaxIdleConnsPerHost: idleConnections,
	}}
}

// callerTransport opens a new connection for each request, so that a black-holed connection costs the caller
// one request, rather than one for each pooled connection.
func (w *World) callerTransport() *transport {
	return &transport{from: partyCaller, network: &w.network, interceptors: &w.interceptors, pooled: &http.Transport{
		DialContext: w.network.Dial(partyCaller), DisableKeepAlives: true,
	}}
}

// targetTransport opens a new connection for each control request and each call of a plain service, as rudderd
// does.
func (w *World) targetTransport(from string) *transport {
	t := w.plainTransport(from)
	t.fresh = &http.Transport{DialContext: w.network.Dial(from), DisableKeepAlives: true}
	return t
}

func (w *World) peerTransport(from string) *transport {
	pool := &rudderpeer.Pool{Dial: w.network.Dial(from)}
	return &transport{from: from, network: &w.network, interceptors: &w.interceptors, pooled: pool}
}

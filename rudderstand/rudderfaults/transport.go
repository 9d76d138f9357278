package rudderfaults

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"comfreyrudder.example/shared/rudderpeer"
)

// Call is one request between two parties, seen before it is sent or after its answer's head arrived.
type Call struct {
	From, To string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	// Answered is false before the request is sent.
	Answered bool
	Status   int
}

// Trap waits for the first call that Matches and then runs Spring once, while that call is held back.
type Trap struct {
	Matches func(c Call) bool
	Spring  func(c Call)

	once   sync.Once
	sprung chan struct{}
}

// traps are those of one world.
type traps struct {
	mu   sync.Mutex
	list []*Trap
}

func (t *traps) set(trap *Trap) {
	trap.sprung = make(chan struct{})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, trap)
}

func (t *traps) see(c Call) {
	t.mu.Lock()
	list := append([]*Trap(nil), t.list...)
	t.mu.Unlock()
	for _, trap := range list {
		if trap.Matches(c) {
			trap.once.Do(func() {
				trap.Spring(c)
				close(trap.sprung)
			})
		}
	}
}

// transport sends the requests of one party through the network and shows them to the traps.
type transport struct {
	from    string
	network *Network
	traps   *traps
	pooled  http.RoundTripper
	// fresh opens a connection for each call that is no model request; nil takes pooled.
	fresh http.RoundTripper
}

// pathChat is where model requests go, at entry hosts and at engines.
const pathChat = "/v1/chat/completions"

// maxSeenBody bounds the bodies that traps look at; longer ones are sent unseen.
const maxSeenBody = 1 << 20

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := Call{From: t.from, To: t.network.partyAt(r.URL.Host), Method: r.Method, Path: r.URL.Path, Header: r.Header}
	if r.Body != nil && r.ContentLength > 0 && r.ContentLength <= maxSeenBody {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		_ = r.Body.Close()
		r = r.Clone(r.Context())
		r.Body = io.NopCloser(bytes.NewReader(body))
		c.Body = body
	}
	t.traps.see(c)
	sender := t.pooled
	if t.fresh != nil && r.URL.Path != pathChat {
		sender = t.fresh
	}
	response, err := sender.RoundTrip(r)
	if err == nil {
		c.Answered, c.Status = true, response.StatusCode
		t.traps.see(c)
	}
	return response, err
}

// idleConnections per address, as many as rudderd keeps to targets.
const idleConnections = 64

func (w *World) plainTransport(from string) *transport {
	return &transport{from: from, network: &w.network, traps: &w.traps, pooled: &http.Transport{
		DialContext: w.network.Dial(from), MaxIdleConnsPerHost: idleConnections,
	}}
}

// callerTransport opens a connection for each request, so that a connection gone silent costs a caller
// one request and not one for each connection that it kept.
func (w *World) callerTransport() *transport {
	return &transport{from: partyCaller, network: &w.network, traps: &w.traps, pooled: &http.Transport{
		DialContext: w.network.Dial(partyCaller), DisableKeepAlives: true,
	}}
}

// targetTransport opens a connection of its own for each control call and each call of a plain service,
// as rudderd does.
func (w *World) targetTransport(from string) *transport {
	t := w.plainTransport(from)
	t.fresh = &http.Transport{DialContext: w.network.Dial(from), DisableKeepAlives: true}
	return t
}

func (w *World) peerTransport(from string) *transport {
	pool := &rudderpeer.Pool{Dial: w.network.Dial(from)}
	return &transport{from: from, network: &w.network, traps: &w.traps, pooled: pool}
}

package rudderpeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of the connections between entry hosts.
const (
	idleTimeout = 90 * time.Second
	// pingAfter and pingTimeout close connections that are silent. They are long, because pings on
	// each idle connection cost more than the digests at 330 nodes; a Pool drops a connection earlier,
	// when a call on it gets no answer in time.
	pingAfter   = 30 * time.Second
	pingTimeout = 5 * time.Second
)

// Pool is a transport for HTTP/2 cleartext that stops using a connection on which a call failed or
// timed out: connections can go silent while new ones work. The zero value is ready for use.
type Pool struct {
	// Dial replaces the dialler; may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	byHost map[string]*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	t := p.transport(r.URL.Host)
	response, err := t.RoundTrip(r)
	if err != nil && !errors.Is(err, context.Canceled) {
		p.drop(r.URL.Host, t)
	}
	return response, err
}

// CloseIdleConnections closes the connections that no call uses.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.byHost {
		t.CloseIdleConnections()
	}
}

func (p *Pool) transport(host string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, found := p.byHost[host]; found {
		return t
	}
	if p.byHost == nil {
		p.byHost = map[string]*http.Transport{}
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		DialContext: p.Dial, Protocols: protocols, IdleConnTimeout: idleTimeout, DisableCompression: true,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	p.byHost[host] = t
	return t
}

// drop makes later calls dial anew.
func (p *Pool) drop(host string, t *http.Transport) {
	p.mu.Lock()
	if p.byHost[host] == t {
		delete(p.byHost, host)
	}
	p.mu.Unlock()
	t.CloseIdleConnections()
}

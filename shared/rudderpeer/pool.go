package rudderpeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderresponse"
)

// Timeouts of the connections between entry hosts.
const (
	idleTimeout = 90 * time.Second
	// pingAfter and pingTimeout close connections on which nothing is received. They are long because at 330 nodes
	// frequent pings on every idle connection cost more than the membership digests. A Pool drops a connection
	// earlier if a call on it times out.
	pingAfter   = 30 * time.Second
	pingTimeout = 5 * time.Second
)

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// Pool is an http.RoundTripper for HTTP/2 cleartext that stops using a connection on which a call failed or timed out,
// because an established connection can stop delivering data while new ones work. The zero value is ready to use.
type Pool struct {
	// Dial opens connections; nil means the default dialler.
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
	if err != nil {
		return nil, err
	}
	if err := rudderresponse.CheckHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
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
		DialContext: p.Dial, Protocols: protocols, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	p.byHost[host] = t
	return t
}

// drop removes a host's transport, so that later calls open a new connection.
func (p *Pool) drop(host string, t *http.Transport) {
	p.mu.Lock()
	if p.byHost[host] == t {
		delete(p.byHost, host)
	}
	p.mu.Unlock()
	t.CloseIdleConnections()
}

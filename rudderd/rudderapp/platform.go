package rudderapp

import (
	"context"
	"net"
	"net/http"
	"time"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderresponse"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// dialTimeout is short because all hosts of a region accept connections within milliseconds.
	dialTimeout = time.Second
	// platformIdleConnections is the number of idle connections kept to each address of the platform. With fewer,
	// connections would be opened and closed all the time under load.
	platformIdleConnections = 8
	targetIdleConnections   = 64
	// maxLoggedError bounds the part of a decoding error that is logged, in bytes: it may quote what was decoded.
	maxLoggedError = 256
)

// wirePlatform creates the clients of the platform, of targets and of other entry hosts.
func (a *App) wirePlatform() {
	platform := &http.Client{Transport: a.platformTransport()}
	store := &rudderstore.HTTP{BaseURL: a.Settings.KeyValueURL, Client: platform}
	a.store = store.Store()
	list := &rudderhost.HTTP{BaseURL: a.Settings.HostListURL, Client: platform, OnInvalid: func(err error) {
		text := err.Error()
		a.Logger.Warn().Str("error", text[:min(len(text), maxLoggedError)]).Msg("entry of the host list ignored")
	}}
	a.hosts = list.List()
	control := &ruddertarget.HTTP{Client: &http.Client{Transport: a.controlTransport()}}
	a.control = control.Control()
	base := a.PeerTransport
	if base == nil {
		base = &rudderpeer.Pool{}
	}
	signed := &rudderpeer.Transport{Keys: a.keyring(), Clock: a.Clock, Base: base}
	a.peers = &http.Client{Transport: &rudderbody.Transport{Base: signed, Budget: a.memory.Replies}}
}

// platformTransport returns the transport to the key-value service and the host list.
func (a *App) platformTransport() http.RoundTripper {
	if a.PlatformTransport != nil {
		return a.PlatformTransport
	}
	dial := a.memory.Replies.Dial(rudderresponse.Dial((&net.Dialer{Timeout: dialTimeout}).DialContext))
	return &rudderbody.Transport{Base: checked(newTransport(platformIdleConnections, dial)), Budget: a.memory.Replies}
}

// controlTransport returns the transport of reports and orders. Each control call opens a new connection: a pooled one may have
// broken unnoticed, and a probe must distinguish a broken connection from a dead target.
func (a *App) controlTransport() http.RoundTripper {
	if a.TargetTransport != nil {
		return a.TargetTransport
	}
	fresh := a.newTargetTransport(a.memory.Reports)
	fresh.DisableKeepAlives = true
	return &rudderbody.Transport{Base: a.throughPath(fresh), Budget: a.memory.Reports}
}

// targetTransport returns the transport of model requests.
func (a *App) targetTransport() http.RoundTripper {
	if a.TargetTransport != nil {
		return a.TargetTransport
	}
	return &rudderbody.Transport{Base: a.throughPath(a.newTargetTransport(a.memory.Responses)), Budget: a.memory.Responses, Streamed: true}
}

// newTargetTransport returns a transport to targets, the heads of whose responses can take memory from a budget.
func (a *App) newTargetTransport(memory *rudderbody.Budget) *http.Transport {
	transport := newTransport(targetIdleConnections, rudderpath.Track(memory.Dial(rudderresponse.Dial(a.dialTarget))))
	transport.MaxIdleConns = a.account.IdleConnections
	return transport
}

func newTransport(idle int, dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true, // decompressing takes more memory than most responses
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: rudderbody.MaxHeadBytes,
	}
}

// checked returns a transport whose responses are checked.
func checked(base http.RoundTripper) http.RoundTripper { return &rudderresponse.Transport{Base: base} }

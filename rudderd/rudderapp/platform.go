package rudderapp

import (
	"net"
	"net/http"
	"time"

	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderpeer"
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
	platform := &http.Client{Transport: orTransport(a.PlatformTransport, platformIdleConnections)}
	store := &rudderstore.HTTP{BaseURL: a.Settings.KeyValueURL, Client: platform}
	a.store = store.Store()
	list := &rudderhost.HTTP{BaseURL: a.Settings.HostListURL, Client: platform, OnInvalid: func(err error) {
		text := err.Error()
		a.Logger.Warn().Str("error", text[:min(len(text), maxLoggedError)]).Msg("entry of the host list ignored")
	}}
	a.hosts = list.List()
	// Each control call opens a new connection: a pooled one may have broken unnoticed, and a probe must
	// distinguish a broken connection from a dead target.
	fresh := a.newTargetTransport()
	fresh.DisableKeepAlives = true
	transport := a.throughPath(fresh)
	if a.TargetTransport != nil {
		transport = a.TargetTransport
	}
	control := &ruddertarget.HTTP{Client: &http.Client{Transport: transport}}
	a.control = control.Control()
	base := a.PeerTransport
	if base == nil {
		base = &rudderpeer.Pool{}
	}
	a.peers = &http.Client{Transport: &rudderpeer.Transport{Keys: a.keyring(), Clock: a.Clock, Base: base}}
}

func orTransport(given http.RoundTripper, idle int) http.RoundTripper {
	if given != nil {
		return given
	}
	return newTransport(idle)
}

// targetTransport returns the transport of model requests.
func (a *App) targetTransport() http.RoundTripper {
	if a.TargetTransport != nil {
		return a.TargetTransport
	}
	return a.throughPath(a.newTargetTransport())
}

// newTargetTransport returns a transport to targets.
func (a *App) newTargetTransport() *http.Transport {
	transport := newTransport(targetIdleConnections)
	transport.DialContext = a.dialTarget
	return transport
}

func newTransport(idle int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
	}
}

package rudderapp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderdrain"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// The timeouts and the limit keep slow or idle callers from holding connections and memory for ever.
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 60 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// shutdownTimeout bounds the wait for connections once all requests are done.
	shutdownTimeout = 5 * time.Second
	// drainTimeout bounds the wait for requests on connections that have been accepted.
	drainTimeout = time.Second
	// maxPeerBodyBytes bounds the body of a call between entry hosts, which may be a request to a target.
	maxPeerBodyBytes = rudderpath.MaxBodyBytes + rudderpath.MaxHeadBytes
	// peerClockSkew is the largest accepted difference between two entry hosts' clocks.
	peerClockSkew = 30 * time.Second
)

type listeners struct {
	caller, peer, admin net.Listener
}

// listen opens the sockets and sets the addresses of this entry host, with the actual port where port 0 is configured.
func (a *App) listen() error {
	s := &a.Settings
	for _, l := range []struct {
		address string
		into    *net.Listener
	}{
		{s.CallerListen, &a.listeners.caller},
		{s.PeerListen, &a.listeners.peer},
		{s.AdminListen, &a.listeners.admin},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.into = listener
	}
	a.self = ruddermember.Member{
		Name: s.Name, Region: s.Region, DataCentre: s.DataCentre,
		CallerAddress: firstOf(s.CallerAdvertise, a.listeners.caller.Addr().String()),
		PeerAddress:   firstOf(s.PeerAdvertise, a.listeners.peer.Addr().String()),
	}
	return nil
}

func firstOf(candidates ...string) string {
	for _, c := range candidates {
		if c != "" {
			return c
		}
	}
	return ""
}

// serve runs the three HTTP servers until the context is cancelled.
func (a *App) serve(ctx context.Context) error {
	callers := &rudderdrain.Server{HTTP: a.servers[0], Listener: a.listeners.caller, Connections: a.callerConnections}
	admin := &rudderdrain.Server{HTTP: a.servers[1], Listener: a.listeners.admin, Connections: a.adminConnections}
	failed := make(chan error, len(a.servers))
	for _, serve := range []func() error{callers.Serve, admin.Serve, func() error { return a.servers[2].Serve(a.listeners.peer) }} {
		go func() { failed <- serve() }()
	}
	select {
	case err := <-failed:
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			return nil // closed by Kill
		}
		return errors.Wrap(err, "HTTP server")
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	drain, cancelDrain := context.WithTimeout(shutdown, drainTimeout)
	defer cancelDrain()
	callers.Drain(drain)
	for _, s := range a.servers {
		if err := s.Shutdown(shutdown); err != nil {
			_ = s.Close()
		}
	}
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// peerHandler serves the calls of other entry hosts and rejects unsigned ones.
func (a *App) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rudderpeer.MembershipPathPrefix, rudderpeer.NewMembershipServer(a.node))
	mux.Handle(rudderpeer.FleetPathPrefix, a.relay.Handler())
	mux.Handle(rudderpeer.PlansPathPrefix, rudderpeer.NewPlansServer(plansServer{a}))
	mux.Handle(rudderpeer.AdmissionPathPrefix, a.owner.Handler())
	mux.Handle(rudderpeer.ClaimsPathPrefix, a.claims.Handler())
	mux.Handle(rudderpeer.RequestsPathPrefix, a.requests.Handler())
	mux.Handle(rudderpeer.ReportsPathPrefix, a.collector.Handler())
	mux.HandleFunc(rudderpath.PathPrefix, a.serveRelayed)
	return a.verifier.Wrap(mux)
}

func (a *App) wireVerifier() {
	a.verifier = &rudderpeer.Verifier{
		Keys: a.keyring(), Clock: a.Clock, Host: a.self.PeerAddress,
		TimestampBound: peerClockSkew, MaxBodyBytes: maxPeerBodyBytes,
	}
}

func (a *App) keyring() *rudderpeer.Keyring {
	if a.Settings.OldPeerSecret == "" {
		return rudderpeer.NewKeyring([]byte(a.Settings.PeerSecret))
	}
	return rudderpeer.NewKeyring([]byte(a.Settings.PeerSecret), []byte(a.Settings.OldPeerSecret))
}

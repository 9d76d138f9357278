package rudderapp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"comfreyrudder.example/rudderd/rudderaccount"
	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderburn"
	"comfreyrudder.example/rudderd/rudderchange"
	"comfreyrudder.example/rudderd/rudderclaim"
	"comfreyrudder.example/rudderd/rudderconn"
	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/rudderhttp"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderowner"
	"comfreyrudder.example/rudderd/rudderplanner"
	"comfreyrudder.example/rudderd/rudderrelay"
	"comfreyrudder.example/rudderd/rudderreport"
	"comfreyrudder.example/rudderd/rudderrequests"
	"comfreyrudder.example/rudderd/rudderservice"
	"comfreyrudder.example/rudderd/ruddersettings"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// App is one entry host. Set the exported fields, then call Listen and Run.
type App struct {
	Settings ruddersettings.Settings
	Logger   zerolog.Logger
	Clock    clockwork.Clock
	// The transports replace the default ones, so that tests can interrupt calls; nil selects the network.
	PlatformTransport http.RoundTripper
	TargetTransport   http.RoundTripper
	PeerTransport     http.RoundTripper
	// TargetDial opens connections to targets, so that tests can cut an entry host off from them; nil selects the network.
	TargetDial func(ctx context.Context, network, address string) (net.Conn, error)

	account rudderaccount.Account
	memory  rudderbody.Budgets // of the account
	// callerConnections and adminConnections hold the open connections of callers and of operators.
	callerConnections, adminConnections *rudderconn.Table
	self                                ruddermember.Member
	listeners                           listeners

	store   *rudderstore.Store
	hosts   *rudderhost.List
	control *ruddertarget.Control
	peers   *http.Client
	paths   paths

	node      *ruddermember.Node
	registrar *ruddermember.Registrar
	config    *rudderchange.Controller
	fleet     *rudderfleet.Fleet
	planner   *rudderplanner.Planner
	relay     *rudderrelay.Relay
	owner     *rudderowner.Owner
	claims    *rudderclaim.Claims
	services  *rudderservice.Dispatcher
	runner    *rudderstream.Runner
	answers   *rudderstream.Registry
	requests  *rudderrequests.Peers
	callers   *rudderhttp.API

	recorder  *rudderburn.Recorder
	collector *rudderreport.Collector
	metrics   appMetrics
	verifier  *rudderpeer.Verifier

	history     workHistory
	suspects    suspects
	lastHosts   hostCache
	evacuations evacuations
	relists     chan struct{} // requests a read of all plans
	// plansListed is set once the key-value service has listed all plans.
	plansListed atomic.Bool
	stopping    stopState
	// lifetime is the context of Run. work is that of requests, which may outlive their caller's connection.
	lifetime context.Context
	end      context.CancelFunc
	work     context.Context
	servers  []*http.Server
	started  chan struct{} // closed once Run has set lifetime and end, which Kill needs
}

// CallerAddress returns the address for callers. It is valid after Listen.
func (a *App) CallerAddress() string { return a.self.CallerAddress }

// AdminAddress returns the address for operators. It is valid after Listen.
func (a *App) AdminAddress() string { return a.listeners.admin.Addr().String() }

// PeerAddress returns the address for other entry hosts. It is valid after Listen.
func (a *App) PeerAddress() string { return a.self.PeerAddress }

// Listen opens the listening sockets and connects the parts.
func (a *App) Listen() error {
	if a.Clock == nil {
		a.Clock = clockwork.NewRealClock()
	}
	a.started, a.relists = make(chan struct{}), make(chan struct{}, 1)
	a.stopping.init()
	a.account = rudderaccount.New(a.Settings.MemoryBytes, a.Settings.MaxDescriptors)
	a.memory = a.account.Budgets
	if err := a.listen(); err != nil {
		return err
	}
	a.wirePaths()
	a.wirePlatform()
	a.wireMembers()
	a.wireFleet()
	a.wireAdmission()
	a.wireChat()
	a.wireServices()
	a.wireReports()
	a.wireCallers()
	a.wireVerifier()
	a.wireMetrics()
	a.wireConnections()
	a.servers = []*http.Server{
		newServer(a.callers.Handler()), newServer(a.adminHandler()), rudderpeer.NewServer(a.peerHandler()),
	}
	return nil
}

// Run serves until the context is cancelled and then shuts down gracefully: the entry host leaves the list of
// entry addresses, serves until callers have stopped using its address and its requests are done, and returns.
func (a *App) Run(ctx context.Context) error {
	lifetime, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	a.lifetime, a.end = lifetime, end
	work, cut := context.WithCancelCause(lifetime)
	defer cut(nil)
	defer context.AfterFunc(a.stopping.serving, func() { cut(context.Cause(a.stopping.serving)) })()
	a.work = work
	group, running := errgroup.WithContext(lifetime)
	for _, part := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"membership", a.node.Run},
		{"registry", a.registrar.Run},
		{"configuration", a.config.Run},
		{"plans", a.runRelists},
		{"plans of other entry hosts", a.fetchPlans},
		{"planner", a.planner.Run},
		{"relay", a.relay.Run},
		{"paths", a.paths.monitor.Run},
		{"admission", a.owner.Run},
		{"claims", a.claims.Run},
		{"prefix caches", a.pollCaches},
		{"service levels", a.collector.Run},
		{"group downtime", a.sampleDowntime},
	} {
		group.Go(func() error {
			err := part.run(running)
			if err != nil && running.Err() == nil {
				return errors.Wrap(err, part.name)
			}
			return nil
		})
	}
	group.Go(func() error { return a.serve(running) })
	close(a.started)
	a.Logger.Info().Str("caller_address", a.CallerAddress()).Str("admin_address", a.AdminAddress()).
		Str("peer_address", a.PeerAddress()).Msg("entry host started")
	select {
	case <-ctx.Done():
		a.stop(running)
	case <-running.Done():
	}
	end()
	return group.Wait()
}

// Kill stops the entry host at once, as a crash of its process does: connections are cut, and leases and
// registrations are not released. Run returns.
func (a *App) Kill() {
	<-a.started
	for _, s := range a.servers {
		_ = s.Close()
	}
	a.end()
}

// ServingVersion returns the configuration version that this entry host applies to requests. ok is false while
// it holds no permit.
func (a *App) ServingVersion() (version int64, ok bool) {
	document, err := a.config.Serving(a.Clock.Now())
	if err != nil {
		return 0, false
	}
	return document.Version, true
}

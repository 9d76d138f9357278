// Package rudderedge assembles an entry host that keeps all persistent state in the platform's key-value
// service: it has no fixed set of peers and writes nothing to disk. It only connects the parts; routing,
// balancing and planning decisions are made in the packages that it uses.
package rudderedge

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"comfreyrudder.example/rudderd/rudderaccount"
	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderconn"
	"comfreyrudder.example/rudderd/ruddercoordinator"
	"comfreyrudder.example/rudderd/rudderdrain"
	"comfreyrudder.example/rudderd/rudderentry"
	"comfreyrudder.example/rudderd/rudderforward"
	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderverdict"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// Settings of an entry host.
type Settings struct {
	Name, Region, DataCentre string
	// Capacity is the CPU share of this host, in cores; 0 if unknown.
	Capacity float64
	// LinkBandwidth is the bandwidth of this host, in bits per second; 0 if unknown.
	LinkBandwidth float64
	// Memory is the memory limit of this process, in bytes; 0 if unknown.
	Memory int64
	// Descriptors is the number of descriptors of this process; 0 takes its limit.
	Descriptors int
	// Addresses to listen on, IP:PORT.
	CallerListen, DirectoryListen, ReadyListen, MetricsListen, PeerListen string
	// BootstrapListen is the address on which this host tells others that have just started what it knows, and Seeds those
	// of up to a few hosts that can be asked. They may be down, and may include this one. Both may be empty.
	BootstrapListen string
	Seeds           []string
	// MaxKeyStaleness is the maximum age of the last successful read of the routing document with which an API
	// key is still accepted.
	MaxKeyStaleness time.Duration
	// MaxStaleness is the maximum age of that read for all requests while the key-value service is reachable.
	MaxStaleness time.Duration
	// BatchPause is how long changes of the fleet are batched before this entry host reads them.
	BatchPause time.Duration
	// ReturnGrace is how long records may take to reappear after an outage of the key-value service.
	ReturnGrace time.Duration
	// StallTimeout is the time after which a group whose leader has lost a member counts as broken.
	StallTimeout time.Duration
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// DirectoryLifetime is how long callers may cache a response of the directory.
	DirectoryLifetime time.Duration
	Retries           rudderforward.RetryLimits
}

// Ports are the interfaces to the platform.
type Ports struct {
	Store         *rudderstore.Store
	Control       *ruddertarget.GroupControl
	Keys          rudderview.Keys
	DecodeRouting decodeRouting
	DecodeTarget  decodeTarget
	Protocol      rudderforward.Protocol
	// Directory and Readiness register the routes for callers that resolve addresses and for the platform's
	// readiness checks.
	Directory func(e *echo.Echo, edge *Edge)
	Readiness func(e *echo.Echo, edge *Edge)
}

// Edge is one entry host. Set the exported fields, then call Run.
type Edge struct {
	Settings Settings
	Ports    Ports
	Logger   zerolog.Logger
	// Account bounds what is held of requests and responses, and the connections; the zero value is made from the settings.
	Account rudderaccount.Account

	uptime      func() time.Duration                            // replaced in tests
	connect     func(ctx context.Context, address string) error // replaced in tests
	bind        func(address string) (net.Listener, error)      // replaced in tests
	registry    metrics.Registry
	view        *rudderview.View
	forwarder   *rudderforward.Forwarder
	planner     *ruddercoordinator.Planner
	detector    *rudderverdict.Detector
	session     *session
	stop        stopState
	poison      *poison
	reported    reportedSuspicions
	peers       *peers
	balance     *balance
	limits      *rudderlimit.Table
	path        *rudderpath.Monitor
	pathPeers   *pathPeers
	rebalancer  *rudderentry.Rebalancer
	callers     *rudderconn.Table // connections of callers
	ends        connectionEnds
	packer      packer
	bootstrap   bootstrapState
	unavailable map[string]time.Duration // watchers that did not serve, skipped until this uptime; used only by the view's goroutine
}

// Run serves until the context is cancelled and then shuts down gracefully.
func (e *Edge) Run(ctx context.Context) error {
	if e.view == nil {
		e.Prepare()
	}
	servers, err := e.listen()
	if err != nil {
		return err
	}
	return e.serve(ctx, servers)
}

// serve runs all parts until the context is cancelled, and then the planned stop.
func (e *Edge) serve(ctx context.Context, servers []*rudderdrain.Server) error {
	lifetime, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, running := errgroup.WithContext(lifetime)
	defer context.AfterFunc(ctx, func() { e.stop.request(e.uptime()) })()
	for _, s := range servers {
		group.Go(s.Serve)
	}
	for _, part := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"view", e.view.Run},
		{"forwarder", e.forwarder.Run},
		{"planner", e.planner.Run},
		{"registration", e.session.run},
		{"departures", e.learnDepartures},
		{"arrival", e.announceArrival},
		{"shared secret", e.agreeOnSecret},
		{"balance", e.balance.run},
		{"slow groups", e.balance.recheckSlow},
		{"evidence", e.poison.records.run},
		{"store calls", e.logStoreCalls},
		{"limits", e.logLimitedSends},
		{"cold targets", e.limitCold},
		{"connections", e.logConnections},
		{"path", e.path.Run},
	} {
		group.Go(func() error { return errors.Wrap(part.run(running), part.name) })
	}
	e.Logger.Info().Str("caller_address", e.Settings.CallerListen).Str("data_centre", e.Settings.DataCentre).
		Dur("look_limit_ms", e.Settings.MaxKeyStaleness).Msg("entry host started")
	select {
	case <-ctx.Done():
		e.leave(running, servers)
	case <-running.Done():
	}
	end()
	for _, s := range servers {
		_ = s.HTTP.Close()
	}
	if !e.stop.leaving() {
		return group.Wait()
	}
	return e.awaitParts(group)
}

// awaitParts waits for the parts of an entry host that stops, but not longer than its grace time allows: a call to the key-value
// service may take longer. Nothing that they do then is needed.
func (e *Edge) awaitParts(parts *errgroup.Group) error {
	ended := make(chan error, 1)
	go func() { ended <- parts.Wait() }()
	timer := time.NewTimer(e.exitBy() - e.uptime())
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		e.Logger.Warn().Msg("entry host ends before all of its background work has")
		return nil
	}
}

// Prepare connects the parts. Run calls it unless it has been called before.
func (e *Edge) Prepare() {
	e.registry = metrics.NewRegistry()
	// All parts share one clock that counts suspended time, so that a lease or deadline that ends while the machine is
	// suspended counts as expired after it resumes.
	if e.uptime == nil {
		e.uptime = suspendedUptime(e.Logger)
	}
	uptime := e.uptime
	if e.Account == (rudderaccount.Account{}) {
		e.Account = rudderaccount.New(e.Settings.Memory, e.Settings.Descriptors)
	}
	e.poison = newPoison(e)
	e.view = &rudderview.View{
		Store: e.Ports.Store, Keys: e.Ports.Keys, Logger: e.Logger, Uptime: uptime,
		DecodeRouting: e.Ports.DecodeRouting, DecodeTarget: e.Ports.DecodeTarget, ReturnGrace: e.Settings.ReturnGrace, BatchPause: e.Settings.BatchPause, RelayBytes: maxRelayPlainBytes,
		OnSync:     func(d time.Duration) { e.count("store.looks") },
		OnEvidence: e.poison.applyRecord, OnSecret: e.setSecret, FetchChanges: e.follow, FetchRecords: e.copyRecords,
		FetchKnown: e.fetchKnown, FetchLook: e.fetchLook, FetchRouting: e.fetchRouting, OnRestored: e.restoreRecords,
		Urgent: func() bool { return e.planner.Planning() || e.poison.urgent() },
	}
	e.unavailable = map[string]time.Duration{}
	e.peers = newPeers()
	e.peers.client.Transport = &rudderbody.Transport{Base: e.peers.client.Transport, Budget: e.Account.Budgets.Replies}
	e.bootstrap.client, e.bootstrap.calls = NewMeteredClient(1, e.Account.Budgets.Replies), make(chan struct{}, maxBootstrapCalls)
	e.limits = &rudderlimit.Table{Uptime: uptime}
	e.rebalancer = &rudderentry.Rebalancer{
		Lifetime: e.Settings.DirectoryLifetime, Hosts: func() int { return len(e.view.Snapshot().EntryHosts) }, Uptime: uptime,
		Draw: rand.Float64, OnClose: func() { e.count("connections.moved") },
	}
	e.callers = e.connections("callers", e.Account.CallerConnections)
	e.Account.Budgets.Bodies.SetReclaim(e.callers.EndSlowest)
	e.path = e.newPath()
	e.balance = newBalance(e)
	e.session = &session{
		store: e.Ports.Store, logger: e.Logger, uptime: uptime, left: make(chan struct{}), check: make(chan struct{}, 1),
		changed: e.view.Changed, missing: e.registrationMissing, unreachable: e.storeUnreachable, answered: e.view.RetryNow,
		entry: rudderview.EntryHost{Name: e.Settings.Name, Address: e.Settings.CallerListen, Peer: e.Settings.PeerListen, Region: e.Settings.Region, DataCentre: e.Settings.DataCentre, Capacity: e.Settings.Capacity, Instance: newInstance()},
	}
	e.forwarder = &rudderforward.Forwarder{
		View: e.view, Protocol: e.Ports.Protocol, Client: targetClient(e.Account.Budgets.Responses, e.Account.IdleConnections), Logger: e.Logger, Uptime: uptime,
		Metrics:    rudderforward.Metrics{Count: e.count, Observe: e.observe},
		DataCentre: e.Settings.DataCentre, MaxKeyStaleness: e.Settings.MaxKeyStaleness, MaxStaleness: e.Settings.MaxStaleness, StallTimeout: e.Settings.StallTimeout, Retries: e.Settings.Retries,
		AddressLifetime: e.Settings.DirectoryLifetime, ServedElsewhere: e.servedElsewhere,
		Path: e.path, Relay: e.newRelay(), MaxRelayed: e.maxRelayed(), EndUnread: e.callers.EndUnread, Bodies: e.Account.Budgets.Bodies, Responses: e.Account.Budgets.Responses,
		Limits: e.limits, Report: e.Ports.Control.Report, ReportAnew: e.Ports.Control.ReportAnew, Suspect: e.suspect, ExamineGroup: e.examine, Pick: e.balance.pick, SkipBatchPause: e.view.SkipBatchPause,
		Poisoned: e.poison.poisonedFor, BlockedPart: e.poison.blockedFor, RecordCrash: e.poison.crashed, RecordSurvival: e.poison.survived,
	}
	if e.connect == nil {
		e.connect = connectTarget
	}
	if e.bind == nil {
		e.bind = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	e.detector = newDetector(e)
	e.forwarder.Verdict, e.forwarder.Confirm, e.forwarder.ReachedElsewhere = e.detector.Verdict, e.detector.Confirm, e.detector.ReachedElsewhere
	e.planner = &ruddercoordinator.Planner{
		Name: e.Settings.Name, View: e.view, Store: e.Ports.Store, Control: e.Ports.Control, Logger: e.Logger, Uptime: uptime,
		StallTimeout: e.Settings.StallTimeout, Traffic: e.forwarder.ReceivedRequest, Demand: e.forwarder.Demand, Refused: e.forwarder.Refused, Probe: e.detector.Examine,
		HasPath: func(ctx context.Context) bool { return e.detector.HasPath(ctx, nil) }, CutOff: e.detector.CutOff, Ended: e.detector.Ended,
		Relay:       e.relayOrder,
		LowCapacity: func() bool { return rudderview.LowCapacity(e.view.Snapshot().EntryHosts, e.Settings.Capacity) },
		OnOrder:     func(kind, outcome string) { e.count("orders." + kind + "." + outcome) },
		OnRetire:    func(kind string) { e.count("groups.retired." + kind) },
	}
}

// Ready reports whether this entry host accepts requests.
func (e *Edge) Ready() bool {
	table := e.view.Snapshot().Table
	if table == nil || e.stop.leaving() {
		return false
	}
	return e.forwarder.MayServe(table.KeyRequired())
}

// Package ruddersoak is a soak test: it runs real rudderd processes against a simulated environment and
// injects faults from outside the processes. These are signals that stop, pause, kill and restart processes,
// connections that are cut in one or both directions, black-holed or reset, targets that die, and a key-value
// service that fails. The faults are drawn from a seed and overlap. rudderoracle checks the system's
// guarantees from what callers and targets observed.
package ruddersoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderfaults"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/rudderstand/rudderswitch"
	"comfreyrudder.example/shared/rudderadmin"
)

// Parties of the fault network other than the entry hosts.
const (
	partyKeyValue = "key_value"
	partyPeers    = "peers"
	partyCallers  = "callers"
)

const (
	// serviceTimeout bounds the time until all entry hosts serve, at the start and after the last fault. It
	// covers the longest load of model weights and three leases.
	serviceTimeout = 40 * time.Second
	sampleInterval = 200 * time.Millisecond
	adminTimeout   = 5 * time.Second
)

// Soak is the run of one seed. Set the exported fields, then call Run once.
type Soak struct {
	Seed uint64
	// Duration is the time during which new faults are started.
	Duration time.Duration
	// Entries is the number of rudderd processes, Callers the number of concurrent callers.
	Entries, Callers int
	// Binary is the path of rudderd, Directory the directory for the logs of its processes.
	Binary, Directory string

	fleet    *rudderfleetstand.Fleet
	network  rudderfaults.Network
	entries  []*entry
	recorder rudderoracle.Recorder
	admin    http.Client

	mu            sync.Mutex
	failures      []error
	stops         []rudderoracle.Stop
	interruptions []rudderoracle.Stop // periods of faults that may have interrupted requests
	outcomes      map[string]int
}

// Result is the result of the run of one seed.
type Result struct {
	Seed       uint64
	Faults     int
	Outcomes   map[string]int // answers by outcome
	Violations []rudderoracle.Violation
	// Err is set if the soak could not run or the system did not recover after the last fault.
	Err     error
	Elapsed time.Duration
}

// Passed reports whether the system recovered and no guarantee was violated.
func (r Result) Passed() bool { return r.Err == nil && len(r.Violations) == 0 }

// Run runs the soak until all faults are healed and the load has ended.
func (s *Soak) Run(ctx context.Context) Result {
	began := time.Now()
	events := drawEvents(s.Seed, s.Duration)
	err := s.run(ctx, events)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.stops {
		if !s.interruptedDuring(stop) {
			s.recorder.Stop(stop)
		}
	}
	result := Result{Seed: s.Seed, Faults: len(events), Outcomes: s.outcomes, Err: errors.CombineErrors(err, errors.Join(s.failures...)), Elapsed: time.Since(began)}
	if s.fleet != nil && s.fleet.Fabric != nil {
		result.Violations = rudderoracle.Check(s.recorder.Evidence(s.fleet.Fabric.Ledger.Runs(), s.fleet.Calls.Calls()))
	}
	return result
}

func (s *Soak) run(ctx context.Context, events []event) error {
	s.outcomes = map[string]int{}
	s.admin.Timeout = adminTimeout
	if err := os.MkdirAll(s.Directory, 0o755); err != nil { //nolint:gosec // logs for everybody
		return err
	}
	defer s.close()
	if err := s.startAll(); err != nil {
		return errors.Wrap(err, "starting")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var observers, load sync.WaitGroup
	defer observers.Wait()
	defer cancel()
	observers.Go(func() { rudderscene.WatchPlans(ctx, s.fleet.KV.Store(), s.recorder.Plan) })
	observers.Go(func() { s.watchVersions(ctx) })
	if err := s.awaitService(ctx); err != nil {
		return errors.Wrap(err, "before the first fault")
	}
	loading, endLoad := context.WithCancel(ctx)
	defer endLoad()
	s.startLoad(loading, &load)
	s.injectFaults(ctx, events)
	s.heal()
	err := s.awaitService(ctx)
	endLoad()
	load.Wait()
	return errors.Wrap(err, "after the last fault")
}

// startAll starts the simulated environment, the proxies and the rudderd processes.
func (s *Soak) startAll() error {
	s.fleet = &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}
	if err := s.fleet.Start(); err != nil {
		return err
	}
	keyValueAt, hostListAt := s.fleet.KVURL()[len("http://"):], s.fleet.InventoryURL()[len("http://"):]
	s.network.Register(keyValueAt, partyKeyValue)
	for i := range s.Entries {
		e := &entry{name: fmt.Sprintf("entry-%02d", i+1), binary: s.Binary, directory: s.Directory}
		e.onListen = func(address string) { s.network.Register(address, e.name) }
		var err error
		proxied := func(from, target string) *proxy {
			p, listenErr := newProxy(s.network.Dial(from), target)
			if listenErr != nil {
				err = listenErr
				return &proxy{}
			}
			e.proxies = append(e.proxies, p)
			return p
		}
		keyValue, hostList := proxied(e.name, keyValueAt), proxied(e.name, hostListAt)
		e.peers, e.callers = proxied(partyPeers, ""), proxied(partyCallers, "")
		if err != nil {
			return err
		}
		e.arguments = []string{
			"--region", rudderfleetstand.RegionKigali, "--data-centre", "kigali-1", "--peer-secret", peerSecret,
			"--key-value-url", "http://" + keyValue.address(), "--host-list-url", "http://" + hostList.address(),
			"--entry-lifetime", "2s", "--lease-ttl", "3s", "--order-ttl", "1s", "--poll-interval", "500ms", "--confirm-ttl", "2s",
		}
		s.entries = append(s.entries, e)
	}
	for _, e := range s.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// injectFaults starts each fault at its scheduled time, ends it after its duration and waits until all have
// ended.
func (s *Soak) injectFaults(ctx context.Context, events []event) {
	began := time.Now()
	var active sync.WaitGroup
	for _, e := range events {
		if !rudderscene.Sleep(ctx, e.at-time.Since(began)) {
			break
		}
		active.Go(func() {
			period := rudderoracle.Stop{From: time.Now()}
			heal := e.kind.inject(s, e.victim)
			rudderscene.Sleep(ctx, e.duration)
			heal()
			period.To = time.Now()
			if e.kind.interruptsRequests {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.interruptions = append(s.interruptions, period)
			}
		})
	}
	active.Wait()
}

// heal restores the normal state, as overlapping faults on the same victim may leave some effects behind.
func (s *Soak) heal() {
	s.network.Heal()
	if err := s.fleet.Switch.SetKV(rudderswitch.Fault{Kind: rudderswitch.KindClear}); err != nil {
		s.fail(err)
	}
	for _, h := range s.fleet.Hosts {
		for _, k := range []rudderswitch.Kind{rudderswitch.KindDark, rudderswitch.KindPause, rudderswitch.KindLeaving} {
			if err := s.fleet.Switch.SetHost(h.Name, rudderswitch.Fault{Kind: k, Off: true}); err != nil {
				s.fail(err)
			}
		}
		if !h.Alive() {
			if err := s.fleet.Switch.SetHost(h.Name, rudderswitch.Fault{Kind: rudderswitch.KindRestart}); err != nil {
				s.fail(err)
			}
		}
	}
	for _, e := range s.entries {
		s.network.Reconnect(e.name)
		e.signal(syscall.SIGCONT)
		s.restartEntry(e)
	}
}

// interruptionWindow is the time after the end of a fault during which a request may still fail because of it.
// Black-holed connections and stalled streams are detected within this time.
const interruptionWindow = 12 * time.Second

// interruptedDuring reports whether another fault may have interrupted requests during a planned stop. The
// caller holds the lock.
func (s *Soak) interruptedDuring(stop rudderoracle.Stop) bool {
	for _, period := range s.interruptions {
		if period.From.Before(stop.To) && period.To.Add(interruptionWindow).After(stop.From) {
			return true
		}
	}
	return false
}

func (s *Soak) recordStop(stop rudderoracle.Stop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, stop)
}

// fail records an error of the soak itself, such as a process that does not start.
func (s *Soak) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, err)
}

// watchVersions samples the configuration version under which each entry host serves.
func (s *Soak) watchVersions(ctx context.Context) {
	for rudderscene.Sleep(ctx, sampleInterval) {
		for _, e := range s.entries {
			before := time.Now()
			if version, permitted := s.version(ctx, e); permitted {
				s.recorder.Served(rudderoracle.ServedVersion{Entry: e.name, Version: version, At: before})
			}
		}
	}
}

// version requests the configuration version of an entry host. permitted is false if the entry host does not
// answer or has no permit to serve.
func (s *Soak) version(ctx context.Context, e *entry) (version int64, permitted bool) {
	ctx, cancel := context.WithTimeout(ctx, sampleInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.adminAt()+"/healthz", nil)
	if err != nil {
		return 0, false
	}
	response, err := s.admin.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var health struct {
		ConfigVersion int64 `json:"config_version"`
		Permit        bool  `json:"permit"`
	}
	err = json.NewDecoder(response.Body).Decode(&health)
	return health.ConfigVersion, err == nil && health.Permit
}

// change sets a label that no selector uses and records the result as evidence. It returns an error unless
// the change is accepted.
func (s *Soak) change(e *entry, value string) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	client := &rudderadmin.Client{Addresses: []string{e.adminAt()}, Token: rudderfleetstand.OperatorToken, HTTP: &s.admin}
	var result rudderadmin.ChangeResult
	path := "/hosts/" + s.fleet.Hosts[0].Name + "/labels"
	err := client.Do(ctx, http.MethodPatch, path, nil, 0, rudderadmin.LabelChange{Set: map[string]string{"shift": value}}, &result)
	s.recorder.Change(result, err)
	if err == nil && result.State != rudderadmin.StateAccepted {
		err = errors.Newf("change is %q", result.State)
	}
	return err
}

// close kills the rudderd processes and closes the proxies and the simulated environment.
func (s *Soak) close() {
	for _, e := range s.entries {
		e.kill()
		for _, p := range e.proxies {
			_ = p.listener.Close()
		}
	}
	s.network.Close()
	s.fleet.Close()
}

// Package ruddersoak runs real rudderd processes against the stand-ins while faults come from outside: signals
// that stop, pause, kill and restart processes, connections that are cut in one or both directions, silenced or
// reset, targets that die, and a key-value service that fails. Faults are drawn from a seed and overlap. The
// promises are judged from what callers and targets saw.
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

// Parties of the fault network beside the entry hosts.
const (
	partyKeyValue = "key_value"
	partyPeers    = "peers"
	partyCallers  = "callers"
)

const (
	// serviceTimeout bounds the time until the first answers, and until all entry hosts serve after the last
	// fault: the longest load of weights and three leases.
	serviceTimeout = 40 * time.Second
	sampleInterval = 200 * time.Millisecond
	adminTimeout   = 5 * time.Second
)

// Soak is one run. Set the exported fields, then call Run once.
type Soak struct {
	Seed uint64
	// Duration is how long faults come.
	Duration time.Duration
	// Entries is the number of rudderd processes, and Callers that of callers.
	Entries, Callers int
	// Binary is the rudderd program, and Directory where its logs go.
	Binary, Directory string

	fleet    *rudderfleetstand.Fleet
	network  rudderfaults.Network
	entries  []*entry
	recorder rudderoracle.Recorder
	admin    http.Client

	mu       sync.Mutex
	failures []error
	stops    []rudderoracle.Stop
	cutting  []rudderoracle.Stop // spans of faults that may cut requests
	outcomes map[string]int
}

// Result is what came of a seed.
type Result struct {
	Seed       uint64
	Faults     int
	Outcomes   map[string]int // answers by outcome
	Violations []rudderoracle.Violation
	// Err says that the soak could not run, or what did not work after the last fault had ended.
	Err  error
	Took time.Duration
}

// Passed reports that every promise was kept and that the system recovered.
func (v Result) Passed() bool { return v.Err == nil && len(v.Violations) == 0 }

// Run runs the soak to its end.
func (s *Soak) Run(ctx context.Context) Result {
	began := time.Now()
	events := draw(s.Seed, s.Duration)
	err := s.run(ctx, events)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.stops {
		if !s.cutDuring(stop) {
			s.recorder.Stop(stop)
		}
	}
	v := Result{Seed: s.Seed, Faults: len(events), Outcomes: s.outcomes, Err: errors.CombineErrors(err, errors.Join(s.failures...)), Took: time.Since(began)}
	if s.fleet != nil && s.fleet.Fabric != nil {
		v.Violations = rudderoracle.Check(s.recorder.Evidence(s.fleet.Fabric.Ledger.Runs(), s.fleet.Calls.Calls()))
	}
	return v
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
	s.play(ctx, events)
	s.heal()
	err := s.awaitService(ctx)
	endLoad()
	load.Wait()
	return errors.Wrap(err, "after the last fault")
}

// startAll starts the stand-ins and the processes.
func (s *Soak) startAll() error {
	s.fleet = &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}
	if err := s.fleet.Start(); err != nil {
		return err
	}
	keyValueAt, hostListAt := s.fleet.KVURL()[len("http://"):], s.fleet.InventoryURL()[len("http://"):]
	s.network.Name(keyValueAt, partyKeyValue)
	for i := range s.Entries {
		e := &entry{name: fmt.Sprintf("entry-%02d", i+1), binary: s.Binary, directory: s.Directory}
		e.named = func(address string) { s.network.Name(address, e.name) }
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

// play lets the faults come and ends each of them.
func (s *Soak) play(ctx context.Context, events []event) {
	began := time.Now()
	var lasting sync.WaitGroup
	for _, e := range events {
		if !rudderscene.Sleep(ctx, e.at-time.Since(began)) {
			break
		}
		lasting.Go(func() {
			span := rudderoracle.Stop{From: time.Now()}
			heal := e.kind.inject(s, e.victim)
			rudderscene.Sleep(ctx, e.lasts)
			heal()
			span.To = time.Now()
			if e.kind.cuts {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.cutting = append(s.cutting, span)
			}
		})
	}
	lasting.Wait()
}

// heal ends what faults that overlapped have left behind.
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
		s.started(e)
	}
}

// cutAfter is how long after a fault a request may still end badly because of it: silent connections and
// stalled streams are noticed in this time.
const cutAfter = 12 * time.Second

// cutDuring reports whether another fault may have cut requests during a planned stop. The caller holds the lock.
func (s *Soak) cutDuring(stop rudderoracle.Stop) bool {
	for _, span := range s.cutting {
		if span.From.Before(stop.To) && span.To.Add(cutAfter).After(stop.From) {
			return true
		}
	}
	return false
}

func (s *Soak) planned(stop rudderoracle.Stop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, stop)
}

// fail keeps an error that the soak itself ran into.
func (s *Soak) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, err)
}

// watchVersions records under which configuration version each entry host serves.
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

// version asks an entry host for its configuration version. permitted is false if it does not answer or may not
// serve.
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

// change changes a label that no selector looks at, and records when the change is in force.
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

// close ends all processes and stand-ins.
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

// Package rudderfaults injects every fault at every step of the system's operations, against real entry hosts
// and a simulated environment, and has rudderoracle check the collected evidence.
package rudderfaults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderapp"
	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderkv"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderstore"
)

// settings returns shortened time-outs and intervals for rudderd. Scale multiplies those that a busy machine
// exceeds first.
func settings(scale int) map[string]string {
	times := map[string]string{
		"entry-lifetime": "1s", "queue-deadline": "4s", "call-timeout": "3s", "stop-grace": "8s",
	}
	for name, base := range map[string]time.Duration{
		"poll-interval": 200 * time.Millisecond, "confirm-ttl": time.Second, "lease-ttl": 1200 * time.Millisecond,
		"order-ttl": 300 * time.Millisecond, "permit-ttl": 1200 * time.Millisecond, "silence-after": 500 * time.Millisecond,
	} {
		times[name] = (time.Duration(max(1, scale)) * base).String()
	}
	return times
}

// World is the environment of a cell or history: a simulated fleet with entry hosts, whose network and clocks
// can be disturbed. Set the exported fields, then call Start.
type World struct {
	// Entries is the number of entry hosts.
	Entries int
	// Scale multiplies the shortened time-outs of rudderd; 0 means 1.
	Scale int
	// Logs receives the log output of the entry hosts; nil discards it.
	Logs io.Writer
	// ModifyLayout is an optional hook that modifies the layout before the fleet starts.
	ModifyLayout func(l *rudderfleetstand.Layout)

	fleet        *rudderfleetstand.Fleet
	scene        *rudderscene.Scene
	network      Network
	interceptors interceptors
	recorder     rudderoracle.Recorder
	client       *http.Client
	initial      rudderkv.Snapshot
	serial       atomic.Int64 // makes prompts and keys unique

	mu              sync.Mutex
	clocks          map[string]*Clock
	dead            map[string]bool
	plans           map[string]ruddergroup.Plan
	collector       string // entry host that last wrote a claims head, see watchCollector
	last            rudderoracle.Answer
	extraViolations []rudderoracle.Violation
	leaving         map[string]rudderoracle.Stop
	stops           []rudderoracle.Stop

	stop    context.CancelFunc
	samples sync.WaitGroup
}

// timing returns engine delays that keep answers in flight long enough to inject faults, and short enough to
// run many cells.
func timing() *rudderengine.Timing {
	return &rudderengine.Timing{
		TokenGap: 10 * time.Millisecond, TokenGapPerRequest: time.Millisecond, PrefillPerKB: 5 * time.Millisecond,
		LoadLag: 100 * time.Millisecond, CacheLag: 50 * time.Millisecond,
	}
}

// crashRestartDelay is the time after which a crashed engine process restarts.
const crashRestartDelay = 300 * time.Millisecond

// layout returns a fleet with 2 fabric domains of 6 engine hosts, which form a group of each of two models
// and leave 2 spares, and 2 hosts of a plain service.
func layout() rudderfleetstand.Layout {
	l := rudderfleetstand.Small()
	second := l.Services[0]
	second.Name += "-2"
	l.Services = append(l.Services, second)
	notes := &l.Document.Selectors[0]
	notes.WantedGroups = 2
	cues := *notes
	cues.Name, cues.Model, cues.Priority = selectorCues, rudderfleetstand.ModelCues, notes.Priority/2
	l.Document.Selectors = append(l.Document.Selectors, cues)
	model := l.Document.Models[0]
	model.Name = rudderfleetstand.ModelCues
	l.Document.Models = append(l.Document.Models, model)
	l.Document.Services[0].Idempotent = []rudderconfig.IdempotencyRule{{Method: http.MethodGet, Path: "/balance/*"}}
	return l
}

const selectorCues = "umuvumu-cues"

// Start starts the fleet, the entry hosts and the sampling of evidence. It does not wait until groups serve.
func (w *World) Start() error {
	w.clocks, w.dead = map[string]*Clock{}, map[string]bool{}
	w.plans, w.leaving = map[string]ruddergroup.Plan{}, map[string]rudderoracle.Stop{}
	l := layout()
	if w.ModifyLayout != nil {
		w.ModifyLayout(&l)
	}
	w.fleet = &rudderfleetstand.Fleet{Layout: l, Timing: timing(), Tune: func(e *rudderengine.Engine, _ *rudderbackend.Backend) {
		if e != nil {
			e.RestartAfter = crashRestartDelay
		}
	}}
	location := rudderscene.Location{Region: rudderfleetstand.RegionKigali, DataCentre: "kigali-1"}
	w.scene = &rudderscene.Scene{Fleet: w.fleet, Settings: settings(w.Scale), Logs: w.Logs, BeforeListen: w.instrument, OnListen: w.registerAddresses}
	// One more location than entry hosts, for the entry host that the step "start" adds during a cell.
	for range w.Entries + 1 {
		w.scene.Locations = append(w.scene.Locations, location)
	}
	if err := w.fleet.Start(); err != nil {
		return errors.Wrap(err, "starting the stand-ins")
	}
	w.network.Register(strings.TrimPrefix(w.fleet.KVURL(), "http://"), partyKeyValue)
	w.network.Register(strings.TrimPrefix(w.fleet.InventoryURL(), "http://"), partyList)
	for _, h := range w.fleet.Hosts {
		w.network.Register(h.Address, h.Name)
	}
	w.initial = w.fleet.KV.Snapshot()
	w.client = &http.Client{Transport: w.callerTransport()}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.samples.Go(func() { w.samplePlans(ctx) })
	w.samples.Go(func() { w.sampleVersions(ctx) })
	for i := range w.Entries {
		if _, err := w.scene.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// instrument gives an entry host a clock that can be held and transports that use the fault network.
func (w *World) instrument(index int, app *rudderapp.App) {
	name := entryName(index)
	clock := &Clock{}
	w.mu.Lock()
	w.clocks[name] = clock
	delete(w.dead, name)
	w.mu.Unlock()
	app.Clock = clock
	app.PlatformTransport = w.plainTransport(name)
	app.TargetTransport = w.targetTransport(name)
	app.PeerTransport = w.peerTransport(name)
}

// registerAddresses registers the listen addresses of an entry host in the fault network.
func (w *World) registerAddresses(index int, app *rudderapp.App) {
	for _, address := range []string{app.CallerAddress(), app.AdminAddress(), app.PeerAddress()} {
		w.network.Register(address, entryName(index))
	}
}

func entryName(index int) string { return fmt.Sprintf("entry-%02d", index+1) }

// Close stops the sampling, the entry hosts and the fleet.
func (w *World) Close() {
	if w.stop == nil {
		w.fleet.Close()
		return
	}
	w.network.Heal()
	w.mu.Lock()
	clocks := w.clocks
	w.mu.Unlock()
	for _, c := range clocks {
		c.Release()
	}
	w.stop()
	w.samples.Wait()
	w.network.Close()
	w.scene.Close()
}

// samplePlans records every version of each plan that the key-value service holds.
func (w *World) samplePlans(ctx context.Context) {
	store := w.fleet.KV.Store()
	after := int64(0)
	for ctx.Err() == nil {
		result, err := store.Watch(ctx, rudderstore.WatchRequest{
			Prefixes: []string{ruddergroup.PlanPrefix}, After: after, Wait: time.Second,
		})
		if err != nil {
			// The service is down or was restored to an older state: list the plans to get the revision from
			// which to continue the watch.
			if entries, revision, err := store.List(ctx, ruddergroup.PlanPrefix); err == nil {
				after = revision
				for _, e := range entries {
					w.recordPlan(e.Value)
				}
			}
			time.Sleep(sampleInterval)
			continue
		}
		after = result.Revision
		for _, e := range result.Events {
			if !e.Deleted {
				w.recordPlan(e.Value)
			}
		}
	}
}

func (w *World) recordPlan(value []byte) {
	var plan ruddergroup.Plan
	if err := json.Unmarshal(value, &plan); err != nil {
		w.addViolation(rudderoracle.SingleMembership, "a plan cannot be read: %v", err)
		return
	}
	w.recorder.Plan(plan)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.plans[plan.Domain] = plan
}

// sampleInterval is the time between two samples of the versions in force, and between retries of a failed
// watch.
const sampleInterval = 20 * time.Millisecond

// sampleVersions records the configuration version under which each entry host may serve. It skips paused
// entry hosts, which serve nothing, and killed ones, whose App object still holds its last permit although
// nothing is served.
func (w *World) sampleVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range w.live() {
			w.mu.Lock()
			clock := w.clocks[e.Name]
			w.mu.Unlock()
			if clock.Held() {
				continue
			}
			at := time.Now()
			if version, ok := e.App.ServingVersion(); ok && !clock.Held() {
				w.recorder.Served(rudderoracle.ServedVersion{Entry: e.App.CallerAddress(), Version: version, At: at})
			}
		}
		time.Sleep(sampleInterval)
	}
}

// addViolation records a violation that the oracle can't detect from its evidence.
func (w *World) addViolation(promise rudderoracle.Promise, format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extraViolations = append(w.extraViolations, rudderoracle.Violation{Promise: promise, Detail: fmt.Sprintf(format, arguments...)})
}

// Violations has the oracle check all evidence and returns its findings and those of addViolation.
func (w *World) Violations() []rudderoracle.Violation {
	w.mu.Lock()
	for _, s := range w.leaving {
		w.recorder.Leaving(s)
	}
	w.leaving = map[string]rudderoracle.Stop{}
	extra := w.extraViolations
	w.mu.Unlock()
	evidence := w.recorder.Evidence(w.fleet.Fabric.Ledger.Runs(), w.fleet.Calls.Calls())
	return append(rudderoracle.Check(evidence), extra...)
}

// live returns the running entry hosts. Of entry hosts with the same name, which are restarts, it returns the
// newest.
func (w *World) live() []*rudderscene.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := map[string]int{}
	var list []*rudderscene.Entry
	for _, e := range w.scene.Entries() {
		if index, known := newest[e.Name]; known {
			list[index] = e
			continue
		}
		newest[e.Name] = len(list)
		list = append(list, e)
	}
	var running []*rudderscene.Entry
	for _, e := range list {
		if !w.dead[e.Name] {
			running = append(running, e)
		}
	}
	return running
}

// entryOf returns a running entry host by its name, or nil.
func (w *World) entryOf(name string) *rudderscene.Entry {
	for _, e := range w.live() {
		if e.Name == name {
			return e
		}
	}
	return nil
}

func (w *World) markDead(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead[name] = true
}

// planOf returns the newest plan of a fabric domain.
func (w *World) planOf(domain string) ruddergroup.Plan {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.plans[domain]
}

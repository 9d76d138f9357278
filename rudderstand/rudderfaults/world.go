// Package rudderfaults runs every fault at every step of the system's operations against real entry
// hosts and the stand-ins, and lets rudderoracle judge what was seen.
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

// settings shorten the times of rudderd. Scale makes those longer that a busy machine breaks first.
func settings(scale int) map[string]string {
	times := map[string]string{
		"entry-lifetime": "1s", "queue-deadline": "4s", "call-timeout": "3s", "stop-grace": "8s",
	}
	for name, shortest := range map[string]time.Duration{
		"poll-interval": 200 * time.Millisecond, "confirm-ttl": time.Second, "lease-ttl": 1200 * time.Millisecond,
		"order-ttl": 300 * time.Millisecond, "permit-ttl": 1200 * time.Millisecond, "silence-after": 500 * time.Millisecond,
	} {
		times[name] = (time.Duration(max(1, scale)) * shortest).String()
	}
	return times
}

// World is a fleet with entry hosts whose network and clocks can be disturbed. Set the exported
// fields, then call Start.
type World struct {
	// Entries is the number of entry hosts.
	Entries int
	// Scale makes the shortened times longer by a factor; 0 takes 1.
	Scale int
	// Logs takes the log lines of the entry hosts; nil drops them.
	Logs io.Writer
	// Change changes the layout before the start; nil changes nothing.
	Change func(l *rudderfleetstand.Layout)

	fleet    *rudderfleetstand.Fleet
	scene    *rudderscene.Scene
	network  Network
	traps    traps
	recorder rudderoracle.Recorder
	client   *http.Client
	initial  rudderkv.Snapshot
	serial   atomic.Int64 // makes prompts and keys unique

	mu        sync.Mutex
	clocks    map[string]*Clock
	dead      map[string]bool
	plans     map[string]ruddergroup.Plan
	collector string // entry host that last wrote a claims head
	last      rudderoracle.Answer
	extra     []rudderoracle.Violation
	leaving   map[string]rudderoracle.Stop
	stops     []rudderoracle.Stop

	stop    context.CancelFunc
	samples sync.WaitGroup
}

// timing makes answers long enough to be caught in flight and short enough for many cells.
func timing() *rudderengine.Timing {
	return &rudderengine.Timing{
		TokenGap: 10 * time.Millisecond, TokenGapPerRequest: time.Millisecond, PrefillPerKB: 5 * time.Millisecond,
		LoadLag: 100 * time.Millisecond, CacheLag: 50 * time.Millisecond,
	}
}

// crashRestart is how long a crashed engine process takes to come back.
const crashRestart = 300 * time.Millisecond

// layout has 2 fabric domains of 6 engine hosts, which form a group of each of two models and leave 2
// spares, and 2 hosts of a plain service.
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

// Start starts everything and the sampling of evidence. It does not wait until groups serve.
func (w *World) Start() error {
	w.clocks, w.dead = map[string]*Clock{}, map[string]bool{}
	w.plans, w.leaving = map[string]ruddergroup.Plan{}, map[string]rudderoracle.Stop{}
	l := layout()
	if w.Change != nil {
		w.Change(&l)
	}
	w.fleet = &rudderfleetstand.Fleet{Layout: l, Timing: timing(), Tune: func(e *rudderengine.Engine, _ *rudderbackend.Backend) {
		if e != nil {
			e.RestartAfter = crashRestart
		}
	}}
	place := rudderscene.Location{Region: rudderfleetstand.RegionKigali, DataCentre: "kigali-1"}
	w.scene = &rudderscene.Scene{Fleet: w.fleet, Settings: settings(w.Scale), Logs: w.Logs, BeforeListen: w.prepare, OnListen: w.listening}
	// One more place than entry hosts, for the one that starts during a cell.
	for range w.Entries + 1 {
		w.scene.Locations = append(w.scene.Locations, place)
	}
	if err := w.fleet.Start(); err != nil {
		return errors.Wrap(err, "starting the stand-ins")
	}
	w.network.Name(strings.TrimPrefix(w.fleet.KVURL(), "http://"), partyKeyValue)
	w.network.Name(strings.TrimPrefix(w.fleet.InventoryURL(), "http://"), partyList)
	for _, h := range w.fleet.Hosts {
		w.network.Name(h.Address, h.Name)
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

func (w *World) prepare(place int, app *rudderapp.App) {
	name := entryName(place)
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

func (w *World) listening(place int, app *rudderapp.App) {
	for _, address := range []string{app.CallerAddress(), app.AdminAddress(), app.PeerAddress()} {
		w.network.Name(address, entryName(place))
	}
}

func entryName(place int) string { return fmt.Sprintf("entry-%02d", place+1) }

// Close ends everything.
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

// samplePlans records each plan that the key-value service ever holds.
func (w *World) samplePlans(ctx context.Context) {
	store := w.fleet.KV.Store()
	after := int64(0)
	for ctx.Err() == nil {
		result, err := store.Watch(ctx, rudderstore.WatchRequest{
			Prefixes: []string{ruddergroup.PlanPrefix}, After: after, Wait: time.Second,
		})
		if err != nil {
			// Down, or restored to an older state: the list tells where to go on.
			if entries, revision, err := store.List(ctx, ruddergroup.PlanPrefix); err == nil {
				after = revision
				for _, e := range entries {
					w.takePlan(e.Value)
				}
			}
			time.Sleep(samplePause)
			continue
		}
		after = result.Revision
		for _, e := range result.Events {
			if !e.Deleted {
				w.takePlan(e.Value)
			}
		}
	}
}

func (w *World) takePlan(value []byte) {
	var plan ruddergroup.Plan
	if err := json.Unmarshal(value, &plan); err != nil {
		w.violate(rudderoracle.SingleMembership, "a plan cannot be read: %v", err)
		return
	}
	w.recorder.Plan(plan)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.plans[plan.Domain] = plan
}

// samplePause between two samples of the versions in force.
const samplePause = 20 * time.Millisecond

// sampleVersions records the version that each entry host may serve under. A paused one serves nothing,
// and neither does a killed one, whose object still holds its last permit.
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
		time.Sleep(samplePause)
	}
}

// violate records a violation that the oracle cannot see.
func (w *World) violate(promise rudderoracle.Promise, format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extra = append(w.extra, rudderoracle.Violation{Promise: promise, Detail: fmt.Sprintf(format, arguments...)})
}

// Violations checks all evidence.
func (w *World) Violations() []rudderoracle.Violation {
	w.mu.Lock()
	for _, s := range w.leaving {
		w.recorder.Leaving(s)
	}
	w.leaving = map[string]rudderoracle.Stop{}
	extra := w.extra
	w.mu.Unlock()
	evidence := w.recorder.Evidence(w.fleet.Fabric.Ledger.Runs(), w.fleet.Calls.Calls())
	return append(rudderoracle.Check(evidence), extra...)
}

// live lists the entry hosts that run, by name; a restarted one is listed once.
func (w *World) live() []*rudderscene.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := map[string]int{}
	var list []*rudderscene.Entry
	for _, e := range w.scene.Entries() {
		if at, known := newest[e.Name]; known {
			list[at] = e
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

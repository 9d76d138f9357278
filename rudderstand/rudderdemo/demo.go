// Package rudderdemo runs a demonstration of the whole system in one process against a simulated environment:
// two firms under load, with faults and planned changes. rudderoracle checks the evidence.
package rudderdemo

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// Demo is one run of the demonstration. Set the exported fields, then call Run.
type Demo struct {
	// Scene is the scene to run; nil means DefaultScene.
	Scene *rudderscene.Scene
	// CallersPerFirm is the number of concurrent callers of each firm; 0 means defaultCallers.
	CallersPerFirm int

	recorder rudderoracle.Recorder
	http     *http.Client
	stats    stats
	parts    parts
	stopped  sync.Map // names of stopped entry hosts, which are no longer sampled
}

const (
	defaultCallers  = 24
	entriesPerDC    = 4 // 12 entry hosts for each firm
	startTimeout    = 15 * time.Second
	sampleInterval  = 100 * time.Millisecond
	requestTimeout  = 20 * time.Second
	idleConnections = 64
	settleTime      = 500 * time.Millisecond
)

// DefaultScene returns a scene with two firms of their present size. Its time-outs and intervals are shorter
// than the defaults, so that all parts of the demonstration fit into 30 seconds.
func DefaultScene() *rudderscene.Scene {
	layout := rudderfleetstand.TwoFirms()
	return &rudderscene.Scene{
		Fleet:     &rudderfleetstand.Fleet{Layout: layout},
		Locations: rudderscene.LocationsOf(layout, entriesPerDC),
		Settings: map[string]string{
			"entry-lifetime": "2s", "lease-ttl": "3s", "order-ttl": "1s", "poll-interval": "500ms", "confirm-ttl": "2s",
		},
	}
}

// Run runs the demonstration and returns the report. It returns an error only if the scene could not be set up.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	began := time.Now()
	if d.Scene == nil {
		d.Scene = DefaultScene()
	}
	if d.CallersPerFirm == 0 {
		d.CallersPerFirm = defaultCallers
	}
	d.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	defer d.Scene.Close()
	if err := d.Scene.Start(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var observers, load sync.WaitGroup
	observers.Go(func() { d.watchPlans(ctx) })
	observers.Go(func() { d.watchVersions(ctx) })
	if err := d.awaitService(ctx); err != nil {
		return Report{}, err
	}
	loading, endLoad := context.WithCancel(ctx)
	defer endLoad()
	d.startLoad(loading, &load)
	d.runParts(ctx)
	endLoad()
	load.Wait()
	cancel()
	observers.Wait()
	evidence := d.recorder.Evidence(d.Scene.Fleet.Fabric.Ledger.Runs(), d.Scene.Fleet.Calls.Calls())
	report := NewReport(evidence, d.parts.list())
	report.Callers, report.Duration = d.stats.summary(evidence.Answers), time.Since(began)
	return report, nil
}

// caller returns a client of a workspace in the data centre of the entry host with the given index.
func (d *Demo) caller(workspace string, entryIndex int) *ruddercaller.Caller {
	var seeds []string
	for _, e := range d.Scene.Entries() {
		seeds = append(seeds, e.App.CallerAddress())
	}
	return &ruddercaller.Caller{
		Seeds: seeds, Key: rudderfleetstand.WorkspaceKey(workspace), Workspace: workspace,
		DataCentre: d.Scene.Locations[entryIndex].DataCentre, HTTP: d.http, Record: d.recorder.Answer,
	}
}

// admin returns an admin API client for the entry host with the given index.
func (d *Demo) admin(entry int) *rudderadmin.Client {
	return &rudderadmin.Client{
		Addresses: []string{d.Scene.Entries()[entry].App.AdminAddress()}, Token: rudderfleetstand.OperatorToken, HTTP: d.http,
	}
}

// awaitService waits until the model and the service of each firm answer.
func (d *Demo) awaitService(ctx context.Context) error {
	for _, f := range firms {
		caller := d.caller(rudderfleetstand.WorkspaceName(f.name, 1), f.entryIndex)
		err := rudderscene.Await(startTimeout, "service for "+f.name, func() bool {
			chat := caller.Chat(ctx, ruddercaller.Chat{Model: f.model, Prompt: "ready?", MaxTokens: 1})
			call := caller.Call(ctx, ruddercaller.Call{Service: f.service, Method: http.MethodGet, Path: "/calendar/today", Idempotent: f.idempotentReads})
			return chat.Answer.Outcome == rudderoracle.OutcomeComplete && call.Answer.Outcome == rudderoracle.OutcomeComplete
		})
		if err != nil {
			return errors.Wrap(err, "starting")
		}
	}
	return nil
}

// firm holds what the callers of a firm use.
type firm struct {
	name, model, service string
	entryIndex           int // index of the first entry host in the firm's first data centre
	idempotentReads      bool
}

var firms = []firm{
	{rudderfleetstand.FirmUmuvumu, rudderfleetstand.ModelLedger, rudderfleetstand.ServiceLedger, 0, false},
	{rudderfleetstand.FirmVercheres, rudderfleetstand.ModelCues, rudderfleetstand.ServiceBooking, 3 * entriesPerDC, true},
}

// selectorOf returns a copy of a selector of the initial configuration.
func (d *Demo) selectorOf(name string) rudderconfig.Selector {
	for _, s := range d.Scene.Fleet.Document.Selectors {
		if s.Name == name {
			return s
		}
	}
	return rudderconfig.Selector{}
}

// Package rudderdemo runs the main job of the system against the stand-ins in one process: two firms
// under load, with faults and planned changes, judged by rudderoracle.
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

// Demo is one run of the scene. Set the exported fields, then call Run.
type Demo struct {
	// Scene to run; nil takes DefaultScene.
	Scene *rudderscene.Scene
	// CallersPerFirm is the number of callers of each firm; 0 takes defaultCallers.
	CallersPerFirm int

	recorder rudderoracle.Recorder
	http     *http.Client
	figures  figures
	parts    parts
	served   sync.Map // names of entry hosts that are not asked any more
}

const (
	defaultCallers      = 24
	entriesPerDC        = 4 // 12 entry hosts for each firm
	startTimeout        = 15 * time.Second
	sampleInterval      = 100 * time.Millisecond
	requestTimeout      = 20 * time.Second
	idleConnections     = 64
	settleAfterAllParts = 500 * time.Millisecond
)

// DefaultScene is two firms of today's size. The times are shorter than the defaults, so that all
// parts fit into 30 seconds.
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

// Run runs the scene to its end. The error tells that the scene could not be set up.
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
	report.Callers, report.Duration = d.figures.summary(evidence.Answers), time.Since(began)
	return report, nil
}

// caller returns a caller of a workspace near an entry host's place.
func (d *Demo) caller(workspace string, place int) *ruddercaller.Caller {
	var seeds []string
	for _, e := range d.Scene.Entries() {
		seeds = append(seeds, e.App.CallerAddress())
	}
	return &ruddercaller.Caller{
		Seeds: seeds, Key: rudderfleetstand.WorkspaceKey(workspace), Workspace: workspace,
		DataCentre: d.Scene.Locations[place].DataCentre, HTTP: d.http, Record: d.recorder.Answer,
	}
}

// admin is an operator's client at one entry host.
func (d *Demo) admin(entry int) *rudderadmin.Client {
	return &rudderadmin.Client{
		Addresses: []string{d.Scene.Entries()[entry].App.AdminAddress()}, Token: rudderfleetstand.OperatorToken, HTTP: d.http,
	}
}

// awaitService waits until each firm's model and service answer.
func (d *Demo) awaitService(ctx context.Context) error {
	for _, f := range firms {
		caller := d.caller(rudderfleetstand.WorkspaceName(f.name, 1), f.place)
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

// firm is what callers of a firm use.
type firm struct {
	name, model, service string
	place                int // of an entry host in the firm's first data centre
	idempotentReads      bool
}

var firms = []firm{
	{rudderfleetstand.FirmUmuvumu, rudderfleetstand.ModelLedger, rudderfleetstand.ServiceLedger, 0, false},
	{rudderfleetstand.FirmVercheres, rudderfleetstand.ModelCues, rudderfleetstand.ServiceBooking, 3 * entriesPerDC, true},
}

// selectorOf returns a copy of a selector of the first configuration.
func (d *Demo) selectorOf(name string) rudderconfig.Selector {
	for _, s := range d.Scene.Fleet.Document.Selectors {
		if s.Name == name {
			return s
		}
	}
	return rudderconfig.Selector{}
}

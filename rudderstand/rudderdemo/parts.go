package rudderdemo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/rudderstand/rudderswitch"
	"comfreyrudder.example/shared/rudderadmin"
)

// parts collects the parts of the demonstration and whether they happened.
type parts struct {
	plans, samples atomic.Int64

	mu    sync.Mutex
	found []Part
}

func (p *parts) add(name string, happened bool, seen string, arguments ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.found = append(p.found, Part{Name: name, Happened: happened, Seen: fmt.Sprintf(seen, arguments...)})
}

func (p *parts) list() []Part {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.found)
}

const (
	loadTimeout    = 3 * time.Second
	drainTimeout   = 10 * time.Second
	outageDuration = 3 * time.Second
	retryDelay     = time.Second
	outagePayments = 5
)

// runParts runs the parts of the demonstration while the load is active.
func (d *Demo) runParts(ctx context.Context) {
	err := rudderscene.Await(loadTimeout, "streams", func() bool { return d.stats.streams.Load() >= int64(d.CallersPerFirm/2) })
	d.parts.add("load", err == nil, "%d streams deliver tokens at once", d.stats.streams.Load())
	d.killHost()
	var concurrent sync.WaitGroup
	concurrent.Go(func() { d.payThrice(ctx) })
	concurrent.Go(func() { d.stopEntry() })
	concurrent.Go(func() {
		d.changeSelector(ctx)
		d.raceOperators(ctx)
		d.drainTarget(ctx)
	})
	concurrent.Go(func() { d.markLeaving(ctx) })
	concurrent.Wait()
	d.keyValueOutage(ctx)
	rudderscene.Sleep(ctx, settleTime)
}

// busiest returns the engine host of a region with the most running requests, and their number. It returns
// nil if no request is running.
func (d *Demo) busiest(region string) (*rudderfleetstand.Host, int) {
	var chosen *rudderfleetstand.Host
	most := 0
	for _, h := range d.Scene.Fleet.Hosts {
		if h.Engine == nil || h.Region != region || !h.Alive() {
			continue
		}
		if running := d.running(h.Address); running > most {
			chosen, most = h, running
		}
	}
	return chosen, most
}

// running returns the number of requests that run on a host according to the ledger of the engines.
func (d *Demo) running(address string) int {
	count := 0
	for _, r := range d.Scene.Fleet.Fabric.Ledger.Runs() {
		if r.End.IsZero() && r.Ran() && slices.Contains(r.Members, address) {
			count++
		}
	}
	return count
}

// killHost kills the busiest host while it streams.
func (d *Demo) killHost() {
	const name = "host killed in the middle of streams"
	host, running := d.busiest(rudderfleetstand.RegionKigali)
	if host == nil {
		d.parts.add(name, false, "no stream was in flight")
		return
	}
	host.Engine.Kill()
	d.parts.add(name, running > 0, "%s with %d requests in flight", host.Name, running)
}

// payThrice sends the same payment with the same idempotency key to two entry hosts concurrently, and later
// to a third.
func (d *Demo) payThrice(ctx context.Context) {
	caller := d.caller(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1), 0)
	payment := ruddercaller.Call{Service: rudderfleetstand.ServiceLedger, Method: http.MethodPost, Path: "/payments", Body: "pay 100", Key: "demo-payment"}
	var results [3]ruddercaller.Result
	var both sync.WaitGroup
	for i := range 2 {
		both.Go(func() { results[i] = caller.CallAt(ctx, d.Scene.Entries()[2+i].App.CallerAddress(), payment) })
	}
	both.Wait()
	rudderscene.Sleep(ctx, retryDelay)
	results[2] = caller.CallAt(ctx, d.Scene.Entries()[4].App.CallerAddress(), payment)
	ran := d.Scene.Fleet.Calls.CountOfKey(payment.Key)
	seen := make([]string, 0, len(results))
	for _, r := range results {
		text := r.Answer.Outcome
		if r.Replayed {
			text += " (stored)"
		} else if r.Answer.Code != "" {
			text += ":" + r.Answer.Code
		}
		seen = append(seen, text)
	}
	d.parts.add("payment sent three times with one key", ran >= 1 && results[2].Answer.Outcome == rudderoracle.OutcomeComplete,
		"ran %d time; answers %v", ran, seen)
}

// stopEntry shuts down an entry host gracefully while it serves streams.
func (d *Demo) stopEntry() {
	entry := d.Scene.Entries()[1]
	stop := rudderoracle.Stop{Entry: entry.Name, From: time.Now()}
	err := entry.Stop()
	stop.To = time.Now()
	d.stopped.Store(entry.Name, true)
	d.recorder.Stop(stop)
	inFlight := 0
	for _, a := range d.recorder.Evidence(nil, nil).Answers {
		if a.Entry == entry.Name && a.SentAt.Before(stop.From) && a.EndedAt.After(stop.From) {
			inFlight++
		}
	}
	d.parts.add("entry host stopped as planned", err == nil && inFlight > 0, "%s with %d requests in flight, ended after %.1f s %s",
		entry.Name, inFlight, stop.To.Sub(stop.From).Seconds(), errText(err))
}

// changeSelector changes a selector and reports the time until the change is in force.
func (d *Demo) changeSelector(ctx context.Context) {
	selector := d.selectorOf("umuvumu-notes")
	selector.WantedGroups--
	var result rudderadmin.ChangeResult
	err := d.admin(0).Do(ctx, http.MethodPut, "/selectors/"+selector.Name, nil, 0, selector, &result)
	d.recorder.Change(result, err)
	d.parts.add("selector changed", err == nil && result.State == rudderadmin.StateAccepted,
		"version %d %s after %d ms %s", result.Version, result.State, result.InForceMS, errText(err))
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

// raceOperators changes the same configuration version at two entry hosts concurrently.
func (d *Demo) raceOperators(ctx context.Context) {
	var current rudderadmin.Document
	if err := d.admin(0).Get(ctx, "/config", nil, &current); err != nil {
		d.parts.add("two operators race", false, "%s", err)
		return
	}
	names := [2]string{"umuvumu-notes", "vercheres-cues"}
	var results [2]rudderadmin.ChangeResult
	var failures [2]error
	var both sync.WaitGroup
	for i, name := range names {
		both.Go(func() {
			selector := d.selectorOf(name)
			selector.WantedGroups--
			selector.Priority++
			failures[i] = d.admin(6+i).Do(ctx, http.MethodPut, "/selectors/"+name, nil, current.Version, selector, &results[i])
			d.recorder.Change(results[i], failures[i])
		})
	}
	both.Wait()
	winners, winner := 0, ""
	for _, err := range failures {
		var conflict *rudderadmin.Error
		if err == nil {
			winners++
		} else if errors.As(err, &conflict) && conflict.Conflict != nil {
			winner = fmt.Sprintf("version %d by %s (%s)", conflict.Conflict.Version, conflict.Conflict.ChangedBy, conflict.Conflict.Summary)
		}
	}
	d.parts.add("two operators race", winners == 1 && winner != "", "%d winner; the conflict names %s", winners, winner)
}

// drainTarget drains a target while long answers run on it, and kills it once it is in no group.
func (d *Demo) drainTarget(ctx context.Context) {
	const name = "target drained and turned off"
	host, running := d.busiest(rudderfleetstand.RegionLaurentie)
	if host == nil {
		d.parts.add(name, false, "no answer was running")
		return
	}
	stop := rudderoracle.Stop{Host: host.Name, Address: host.Address, From: time.Now()}
	var result rudderadmin.ChangeResult
	err := d.admin(0).Do(ctx, http.MethodPut, "/hosts/"+host.Name+"/drain", nil, 0, nil, &result)
	d.recorder.Change(result, err)
	d.recorder.Leaving(stop)
	if err == nil {
		err = rudderscene.Await(drainTimeout, "drain of "+host.Name, func() bool { return !d.inGroup(ctx, host.Name) })
	}
	left := d.running(host.Address)
	if err == nil {
		host.Engine.Kill()
	}
	stop.To = time.Now()
	d.recorder.Stop(stop)
	d.parts.add(name, err == nil && running > 0, "%s with %d requests in flight, %d when it was turned off after %.1f s %s",
		host.Name, running, left, stop.To.Sub(stop.From).Seconds(), errText(err))
}

func (d *Demo) inGroup(ctx context.Context, host string) bool {
	for _, g := range d.groups(ctx) {
		for _, m := range g.Members {
			if m.Host == host {
				return true
			}
		}
	}
	return false
}

// markLeaving marks a busy host as leaving in the host list of the platform.
func (d *Demo) markLeaving(ctx context.Context) {
	const name = "host marked as leaving by the list"
	host, running := d.busiest(rudderfleetstand.RegionKigali)
	if host == nil {
		d.parts.add(name, false, "no host was working")
		return
	}
	d.recorder.Leaving(rudderoracle.Stop{Host: host.Name, Address: host.Address, From: time.Now()})
	err := d.Scene.Fleet.Switch.SetHost(host.Name, rudderswitch.Fault{Kind: rudderswitch.KindLeaving})
	rudderscene.Sleep(ctx, rudderoracle.LeavingGrace+time.Second)
	d.parts.add(name, err == nil && running > 0, "%s with %d requests in flight, %d after %s %s",
		host.Name, running, d.running(host.Address), rudderoracle.LeavingGrace+time.Second, errText(err))
}

// keyValueOutage takes the key-value service down. Meanwhile model requests must complete, and payments with
// a key must be refused as not run.
func (d *Demo) keyValueOutage(ctx context.Context) {
	kv := d.Scene.Fleet.Switch
	before := d.completedChats()
	_ = kv.SetKV(rudderswitch.Fault{Kind: rudderswitch.KindDown})
	end := time.Now().Add(outageDuration)
	caller := d.caller(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmVercheres, 1), firms[1].entryIndex)
	caller.MaxAttempts = 1
	refused := 0
	for i := range outagePayments {
		result := caller.Call(ctx, ruddercaller.Call{
			Service: rudderfleetstand.ServiceBooking, Method: http.MethodPost, Path: "/bookings", Body: "book", Key: fmt.Sprintf("outage-%d", i),
		})
		if result.Answer.Outcome == rudderoracle.OutcomeNotRun {
			refused++
		}
	}
	rudderscene.Sleep(ctx, time.Until(end))
	answered := d.completedChats() - before
	_ = kv.SetKV(rudderswitch.Fault{Kind: rudderswitch.KindDown, Off: true})
	d.parts.add("key-value service down", refused == outagePayments && answered > 0,
		"%.1f s: %d model requests completed, %d of %d calls with a key refused as not run", outageDuration.Seconds(), answered, refused, outagePayments)
}

func (d *Demo) completedChats() int {
	d.stats.mu.Lock()
	defer d.stats.mu.Unlock()
	count := 0
	for name, c := range d.stats.classes {
		if name != "plain" {
			count += c.outcomes[rudderoracle.OutcomeComplete]
		}
	}
	return count
}

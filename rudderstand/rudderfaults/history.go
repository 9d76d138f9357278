package rudderfaults

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
)

// Kinds of events in a history. The name of a fault is also a kind and injects that fault.
const (
	EventChat    = "chat"
	EventStream  = "stream"
	EventPay     = "pay"         // one call with an idempotency key at two entry hosts
	EventPost    = "post"        // a call without a key
	EventLabel   = "label"       // a change of the configuration
	EventRace    = "race"        // two operators change the same configuration version
	EventDrain   = "drain"       // drains the second service host
	EventUndrain = "undrain"     // undrains the second service host
	EventHeal    = "heal"        // heals the oldest fault
	EventLoad    = "small_crowd" // all kinds of requests at all entry hosts
)

// Events lists all kinds of events. Most kinds of requests, heals and loads are listed twice, so that a random
// history contains enough work.
func Events() []string {
	kinds := []string{
		EventChat, EventChat, EventStream, EventStream, EventPay, EventPay, EventPost, EventLabel, EventRace,
		EventDrain, EventUndrain, EventHeal, EventHeal, EventLoad, EventLoad,
	}
	for _, f := range Faults() {
		kinds = append(kinds, f.Name)
	}
	return kinds
}

// Event is one event of a history, the index of the entry host at which it happens, and the time until the next
// event.
type Event struct {
	Kind  string
	Entry int
	Wait  time.Duration
}

// maxFaults bounds the faults that are active at a time: the design guarantees no availability beyond two.
const maxFaults = 2

// historyScale equals subsetScale in matrix_test.go, for the same reason: on a busy machine, fleets with the
// shortest time-outs did not get ready.
const historyScale = 2

// History is a sequence of requests, operator actions and faults that is replayed against a world.
type History []Event

// Run replays the history, heals all faults, requires progress and returns the violations.
func (h History) Run(entries int, logs io.Writer) ([]rudderoracle.Violation, error) {
	w := &World{Entries: entries, Logs: logs, Scale: historyScale}
	defer w.Close()
	w.watchCollector()
	if err := w.Start(); err != nil {
		return nil, err
	}
	if err := w.awaitReady(); err != nil {
		return w.Violations(), errors.Wrap(err, "before the history")
	}
	r := &historyRunner{w: w}
	for _, e := range h {
		r.apply(e)
		time.Sleep(e.Wait)
	}
	for len(r.heals) > 0 {
		r.heal()
	}
	r.working.Wait()
	for _, host := range w.fleet.Hosts {
		w.restart(host)
	}
	undrained := func() bool { return w.undrain(w.live()[0], w.spareServiceHost()) == nil }
	err := retryUntil(time.Now().Add(progressTimeout), undrained)
	if err == nil {
		err = w.awaitProgress(progressTimeout)
	}
	return w.Violations(), errors.Wrap(err, "after the history")
}

// historyRunner replays a history. Callers and operators run in the background.
type historyRunner struct {
	w       *World
	working sync.WaitGroup
	heals   []func()
	active  []string
}

func (r *historyRunner) apply(e Event) {
	for _, f := range Faults() {
		if f.Name == e.Kind {
			r.inject(f)
			return
		}
	}
	live := r.w.live()
	at, next := live[e.Entry%len(live)], live[(e.Entry+1)%len(live)]
	switch e.Kind {
	case EventHeal:
		r.heal()
	case EventLoad:
		for _, entry := range live {
			for _, kind := range []string{EventChat, EventStream, EventPay, EventPost} {
				r.background(kind, entry, next)
			}
		}
	default:
		r.background(e.Kind, at, next)
	}
}

// background starts one caller or operator action without waiting for it.
func (r *historyRunner) background(kind string, at, next *rudderscene.Entry) {
	w := r.w
	number := w.serial.Add(1)
	r.working.Go(func() {
		switch kind {
		case EventChat, EventStream:
			w.chat(at, rudderfleetstand.ModelLedger, w.prompt(longAnswer), longAnswer, kind == EventStream)
		case EventPay:
			key := fmt.Sprintf("payment-%d", number)
			r.working.Go(func() { w.call(next, key, "pay "+key) })
			w.call(at, key, "pay "+key)
		case EventPost:
			w.call(at, "", fmt.Sprintf("pay %d", number))
		case EventLabel:
			_, _ = w.changeLabel(at, fmt.Sprintf("shift-%d", number), 0)
		case EventRace:
			w.raceOperators()
		case EventDrain:
			_ = w.drain(at, w.spareServiceHost())
		case EventUndrain:
			_ = w.undrain(at, w.spareServiceHost())
		}
	})
}

// inject starts a fault unless it is active already or maxFaults are.
func (r *historyRunner) inject(f Fault) {
	for _, name := range r.active {
		if name == f.Name {
			return
		}
	}
	if len(r.active) >= maxFaults {
		return
	}
	r.active, r.heals = append(r.active, f.Name), append(r.heals, f.Inject(r.w, Call{}))
}

func (r *historyRunner) heal() {
	if len(r.heals) == 0 {
		return
	}
	r.heals[0]()
	r.active, r.heals = r.active[1:], r.heals[1:]
}

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

// Kinds of events in a history, beside the names of faults, which inject them.
const (
	EventChat    = "chat"
	EventStream  = "stream"
	EventPay     = "pay"         // with a key, at two entry hosts
	EventPost    = "post"        // without a key
	EventLabel   = "label"       // a change of the configuration
	EventRace    = "race"        // two operators
	EventDrain   = "drain"       // of the second service host
	EventUndrain = "undrain"     // of the same
	EventHeal    = "heal"        // of the oldest fault
	EventLoad    = "small_crowd" // all kinds of requests at all entry hosts
)

// Events lists all kinds of events, those of callers more than once so that histories have work.
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

// Event is one event of a history, at an entry host counted from 0, and the time until the next one.
type Event struct {
	Kind  string
	Entry int
	Wait  time.Duration
}

// maxFaults bounds the faults at a time: the design promises nothing about availability beyond two.
const maxFaults = 2

// historyScale is that of the subset of the matrix, for the same reason.
const historyScale = 2

// History is a list of events that befalls a world.
type History []Event

// Run plays the history, heals everything and returns what was wrong.
func (h History) Run(entries int, logs io.Writer) ([]rudderoracle.Violation, error) {
	w := &World{Entries: entries, Logs: logs, Scale: historyScale}
	defer w.Close()
	w.watchCollector()
	if err := w.Start(); err != nil {
		return nil, err
	}
	if err := w.ready(); err != nil {
		return w.Violations(), errors.Wrap(err, "before the history")
	}
	p := &player{w: w}
	for _, e := range h {
		p.play(e)
		time.Sleep(e.Wait)
	}
	for len(p.heals) > 0 {
		p.heal()
	}
	p.working.Wait()
	for _, host := range w.fleet.Hosts {
		w.restart(host)
	}
	undrained := func() bool { return w.undrain(w.live()[0], w.spareService()) == nil }
	err := repeat(time.Now().Add(progressWithin), undrained)
	if err == nil {
		err = w.progress(progressWithin)
	}
	return w.Violations(), errors.Wrap(err, "after the history")
}

// player carries a history out. Callers and operators work in the background.
type player struct {
	w       *World
	working sync.WaitGroup
	heals   []func()
	active  []string
}

func (p *player) play(e Event) {
	for _, f := range Faults() {
		if f.Name == e.Kind {
			p.inject(f)
			return
		}
	}
	live := p.w.live()
	at, next := live[e.Entry%len(live)], live[(e.Entry+1)%len(live)]
	switch e.Kind {
	case EventHeal:
		p.heal()
	case EventLoad:
		for _, entry := range live {
			for _, kind := range []string{EventChat, EventStream, EventPay, EventPost} {
				p.background(kind, entry, next)
			}
		}
	default:
		p.background(e.Kind, at, next)
	}
}

// background lets one caller or operator work.
func (p *player) background(kind string, at, next *rudderscene.Entry) {
	w := p.w
	number := w.serial.Add(1)
	p.working.Go(func() {
		switch kind {
		case EventChat, EventStream:
			w.chat(at, rudderfleetstand.ModelLedger, w.prompt(longAnswer), longAnswer, kind == EventStream)
		case EventPay:
			key := fmt.Sprintf("payment-%d", number)
			p.working.Go(func() { w.call(next, key, "pay "+key) })
			w.call(at, key, "pay "+key)
		case EventPost:
			w.call(at, "", fmt.Sprintf("pay %d", number))
		case EventLabel:
			_, _ = w.label(at, fmt.Sprintf("shift-%d", number), 0)
		case EventRace:
			w.race()
		case EventDrain:
			_ = w.drain(at, w.spareService())
		case EventUndrain:
			_ = w.undrain(at, w.spareService())
		}
	})
}

// inject starts a fault unless it lasts already or two others do.
func (p *player) inject(f Fault) {
	for _, name := range p.active {
		if name == f.Name {
			return
		}
	}
	if len(p.active) >= maxFaults {
		return
	}
	p.active, p.heals = append(p.active, f.Name), append(p.heals, f.Inject(p.w, Call{}))
}

func (p *player) heal() {
	if len(p.heals) == 0 {
		return
	}
	p.heals[0]()
	p.active, p.heals = p.active[1:], p.heals[1:]
}

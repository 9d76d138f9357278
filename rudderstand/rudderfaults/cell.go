package rudderfaults

import (
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/shared/ruddergroup"
)

// Cell is one or two faults at a step.
type Cell struct {
	Step   Step
	Faults []Fault
}

// Name of the cell, as in "stream/member_dies+key_value_down".
func (c Cell) Name() string {
	name := c.Step.Name + "/" + c.Faults[0].Name
	for _, f := range c.Faults[1:] {
		name += "+" + f.Name
	}
	return name
}

// Result of a cell.
type Result struct {
	Cell       Cell
	Violations []rudderoracle.Violation
	// Err tells that the step was not reached or that there was no progress after healing.
	Err  error
	Took time.Duration
}

// Passed reports whether nothing was wrong.
func (r Result) Passed() bool { return r.Err == nil && len(r.Violations) == 0 }

// ErrNotReached reports a step whose event did not happen.
var ErrNotReached = errors.New("step not reached")

const (
	reachWithin = 20 * time.Second
	// lastsWithin bounds the wait for the event that a fault lasts for; some never happen, for example
	// when a second fault prevents them.
	lastsWithin = 8 * time.Second
	eventPoll   = 20 * time.Millisecond
)

// Run runs the cell in a world that was not started yet, and closes it.
func (c Cell) Run(w *World) Result {
	began := time.Now()
	defer w.Close()
	err := c.run(w)
	return Result{Cell: c, Err: err, Violations: w.Violations(), Took: time.Since(began)}
}

func (c Cell) run(w *World) error {
	injection := &injection{cell: c, done: make(chan struct{})}
	if c.Step.Drive == nil {
		w.traps.set(injection.trap(w))
	}
	w.watchCollector()
	if err := w.Start(); err != nil {
		return err
	}
	driven := make(chan struct{})
	if c.Step.Drive != nil {
		if err := w.ready(); err != nil {
			return errors.Wrap(err, "before the fault")
		}
		w.traps.set(injection.trap(w))
		go func() {
			defer close(driven)
			c.Step.drive(w, injection.done)
		}()
	} else {
		close(driven)
	}
	select {
	case <-injection.done:
	case <-time.After(reachWithin):
		return ErrNotReached
	}
	w.workload()
	injection.await()
	injection.heal()
	<-driven
	for _, h := range w.fleet.Hosts {
		w.restart(h) // those that a step killed
	}
	undrained := func() bool { return w.undrain(w.live()[0], w.spareService()) == nil }
	if err := repeat(time.Now().Add(progressWithin), undrained); err != nil {
		return errors.Wrap(err, "undrain after healing")
	}
	if c.Step.Drains {
		w.awaitGrace()
		if err := repeat(time.Now().Add(progressWithin), w.drained); err != nil {
			return errors.Wrap(err, "a group is still draining after healing")
		}
	}
	if err := w.progress(progressWithin); err != nil {
		return errors.Wrap(err, "after healing")
	}
	c.judgeStops(w)
	return nil
}

// ready waits until groups of both models serve and the service answers.
func (w *World) ready() error {
	deadline := time.Now().Add(readyWithin)
	cues := func() bool {
		return complete(w.chat(w.live()[0], rudderfleetstand.ModelCues, w.prompt(shortAnswer), shortAnswer, false))
	}
	if err := repeat(deadline, cues); err != nil {
		return err
	}
	return w.progress(time.Until(deadline))
}

// drained reports whether no group is draining.
func (w *World) drained() bool {
	for _, d := range w.fleet.Layout.Domains {
		for _, g := range w.planOf(d.Name).Groups {
			if g.State == ruddergroup.StateDraining {
				return false
			}
		}
	}
	return true
}

// awaitGrace lasts until a drained host must get no new work, with requests all the time.
func (w *World) awaitGrace() {
	end := time.Now().Add(rudderoracle.LeavingGrace)
	for time.Now().Before(end) {
		for _, e := range w.live() {
			w.chat(e, rudderfleetstand.ModelLedger, w.prompt(shortAnswer), shortAnswer, false)
		}
	}
}

// judgeStops hands planned stops to the oracle unless the fault itself may cut work. An attempt on a
// target is also cut when its entry host fails, or its connection, and then goes on elsewhere.
func (c Cell) judgeStops(w *World) {
	platformOnly := true
	for _, f := range c.Faults {
		if f.Cuts {
			return
		}
		platformOnly = platformOnly && f.Hits == OnPlatform
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stops {
		if s.Entry != "" || platformOnly {
			w.recorder.Stop(s)
		}
	}
}

// injection puts the faults of a cell in place when the step's event happens.
type injection struct {
	cell Cell
	done chan struct{}

	mu    sync.Mutex
	heals []func()
	lasts []func() bool
}

func (i *injection) trap(w *World) *Trap {
	return &Trap{
		Matches: func(c Call) bool { return i.cell.Step.Matches(w, c) },
		Spring: func(c Call) {
			i.mu.Lock()
			defer i.mu.Unlock()
			for _, f := range i.cell.Faults {
				if f.Lasts != nil {
					i.lasts = append(i.lasts, f.Lasts(w, c))
				}
				i.heals = append(i.heals, f.Inject(w, c))
			}
			close(i.done)
		},
	}
}

// await waits for the events that the faults last for.
func (i *injection) await() {
	end := time.Now().Add(lastsWithin)
	for _, over := range i.lasts {
		for !over() && time.Now().Before(end) {
			time.Sleep(eventPoll)
		}
	}
}

func (i *injection) heal() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, heal := range i.heals {
		heal()
	}
}

// String describes a result in one line.
func (r Result) String() string {
	text := r.Cell.Name() + ": "
	if r.Passed() {
		return text + "ok"
	}
	if r.Err != nil {
		text += r.Err.Error() + "; "
	}
	return text + fmt.Sprintf("%d violations", len(r.Violations))
}

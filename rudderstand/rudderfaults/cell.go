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

// Cell is a test case of the matrix: one or two faults injected at a step.
type Cell struct {
	Step   Step
	Faults []Fault
}

// Name returns the step and the faults, for example "stream/member_dies+key_value_down".
func (c Cell) Name() string {
	name := c.Step.Name + "/" + c.Faults[0].Name
	for _, f := range c.Faults[1:] {
		name += "+" + f.Name
	}
	return name
}

// Result is the outcome of running a cell.
type Result struct {
	Cell       Cell
	Violations []rudderoracle.Violation
	// Err is set if the step was not reached or the system made no progress after healing.
	Err     error
	Elapsed time.Duration
}

// Passed reports whether the cell ran without an error or a violation.
func (r Result) Passed() bool { return r.Err == nil && len(r.Violations) == 0 }

// ErrNotReached is returned when the event of the step was not observed in time, so that nothing was injected.
var ErrNotReached = errors.New("step not reached")

const (
	reachTimeout = 20 * time.Second
	// faultEndTimeout bounds the wait for Fault.HealWhen. The condition may never be met, for example when a
	// second fault prevents it.
	faultEndTimeout   = 8 * time.Second
	eventPollInterval = 20 * time.Millisecond
)

// Run starts the world, runs the cell in it and closes it.
func (c Cell) Run(w *World) Result {
	began := time.Now()
	defer w.Close()
	err := c.run(w)
	return Result{Cell: c, Err: err, Violations: w.Violations(), Elapsed: time.Since(began)}
}

func (c Cell) run(w *World) error {
	injection := &injection{cell: c, done: make(chan struct{})}
	if c.Step.Drive == nil {
		w.interceptors.add(injection.interceptor(w))
	}
	w.watchCollector()
	if err := w.Start(); err != nil {
		return err
	}
	driven := make(chan struct{})
	if c.Step.Drive != nil {
		if err := w.awaitReady(); err != nil {
			return errors.Wrap(err, "before the fault")
		}
		w.interceptors.add(injection.interceptor(w))
		go func() {
			defer close(driven)
			c.Step.drive(w, injection.done)
		}()
	} else {
		close(driven)
	}
	select {
	case <-injection.done:
	case <-time.After(reachTimeout):
		return ErrNotReached
	}
	w.workload()
	injection.await()
	injection.heal()
	<-driven
	for _, h := range w.fleet.Hosts {
		w.restart(h) // hosts that the step itself killed
	}
	undrained := func() bool { return w.undrain(w.live()[0], w.spareServiceHost()) == nil }
	if err := retryUntil(time.Now().Add(progressTimeout), undrained); err != nil {
		return errors.Wrap(err, "undrain after healing")
	}
	if c.Step.Drains {
		w.awaitLeavingGrace()
		if err := retryUntil(time.Now().Add(progressTimeout), w.drained); err != nil {
			return errors.Wrap(err, "a group is still draining after healing")
		}
	}
	if err := w.awaitProgress(progressTimeout); err != nil {
		return errors.Wrap(err, "after healing")
	}
	c.recordStops(w)
	return nil
}

// awaitReady waits until groups of both models serve and each kind of request completes at each entry host.
func (w *World) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	cues := func() bool {
		return complete(w.chat(w.live()[0], rudderfleetstand.ModelCues, w.prompt(shortAnswer), shortAnswer, false))
	}
	if err := retryUntil(deadline, cues); err != nil {
		return err
	}
	return w.awaitProgress(time.Until(deadline))
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

// awaitLeavingGrace sends requests until the grace period is over after which a drained host must get no new
// work.
func (w *World) awaitLeavingGrace() {
	end := time.Now().Add(rudderoracle.LeavingGrace)
	for time.Now().Before(end) {
		for _, e := range w.live() {
			w.chat(e, rudderfleetstand.ModelLedger, w.prompt(shortAnswer), shortAnswer, false)
		}
	}
}

// recordStops passes the planned stops to the oracle, unless a fault of the cell may interrupt work by itself.
// Stops of targets are passed only for platform faults: an attempt on a target also ends when its entry host or
// its connection fails, and is then retried elsewhere.
func (c Cell) recordStops(w *World) {
	platformOnly := true
	for _, f := range c.Faults {
		if f.InterruptsWork {
			return
		}
		platformOnly = platformOnly && f.Subsystem == SubsystemPlatform
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stops {
		if s.Entry != "" || platformOnly {
			w.recorder.Stop(s)
		}
	}
}

// injection injects the faults of a cell when the event of its step is observed.
type injection struct {
	cell Cell
	done chan struct{}

	mu       sync.Mutex
	heals    []func()
	healWhen []func() bool
}

func (i *injection) interceptor(w *World) *Interceptor {
	return &Interceptor{
		Matches: func(c Call) bool { return i.cell.Step.Matches(w, c) },
		Intercept: func(c Call) {
			i.mu.Lock()
			defer i.mu.Unlock()
			for _, f := range i.cell.Faults {
				if f.HealWhen != nil {
					i.healWhen = append(i.healWhen, f.HealWhen(w, c))
				}
				i.heals = append(i.heals, f.Inject(w, c))
			}
			close(i.done)
		},
	}
}

// await waits until the conditions of Fault.HealWhen are met or faultEndTimeout has passed.
func (i *injection) await() {
	end := time.Now().Add(faultEndTimeout)
	for _, met := range i.healWhen {
		for !met() && time.Now().Before(end) {
			time.Sleep(eventPollInterval)
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

// String summarises a result in one line.
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

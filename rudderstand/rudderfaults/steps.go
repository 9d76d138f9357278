package rudderfaults

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/rudderstore"
)

// Step is a point of an operation at which faults are injected.
type Step struct {
	Name string
	// Matches recognises the observable event of the step.
	Matches func(w *World, c Call) bool
	// Drive leads to the event and returns when the operation has ended; nil for steps that the start
	// of the fleet passes through.
	Drive func(w *World)
	// Runs says what the step's operation runs on.
	Runs Domain
	// Once is true when the operation cannot be repeated. Others are, until the event has happened: on a
	// busy machine a request may be refused before it gets there.
	Once bool
	// Drains is true when the operation drains groups, whose end the cell waits for.
	Drains bool
}

// Domain says which part of the system an operation or a fault belongs to.
type Domain string

// Parts of the system.
const (
	OnEngines  Domain = "engines"
	OnServices Domain = "services"
	OnPlatform Domain = "platform"
	OnEntries  Domain = "entries"
)

// Steps lists all steps in the order of an operation's life.
func Steps() []Step {
	return []Step{
		{Name: "form", Runs: OnEngines, Matches: putsUnder("control/plan/", "")},
		{Name: "load", Runs: OnEngines, Matches: func(_ *World, c Call) bool {
			return isOrder(c) && bytes.Contains(c.Body, []byte(`"assign"`))
		}},
		{Name: "serve", Runs: OnEngines, Matches: isWork, Drive: func(w *World) {
			w.chat(w.live()[0], rudderfleetstand.ModelLedger, w.prompt(longAnswer), longAnswer, false)
		}},
		{Name: "stream", Runs: OnEngines, Matches: isToken, Drive: driveStream},
		{Name: "resume", Runs: OnEngines, Matches: func(w *World, c Call) bool {
			return isWork(w, c) && bytes.Contains(c.Body, []byte(`"rudder_attempt":2`))
		}, Drive: driveResume},
		{Name: "claim", Runs: OnPlatform, Matches: putsUnder("claims/", ""), Drive: driveKeyed},
		{Name: "dispatch", Runs: OnServices, Matches: isDispatch, Drive: func(w *World) {
			w.call(w.live()[0], "", "pay dispatch")
		}},
		{Name: "answer", Runs: OnServices, Matches: func(w *World, c Call) bool {
			c.Answered = !c.Answered
			return isDispatch(w, c)
		}, Drive: driveKeyed},
		{Name: "drain", Runs: OnEngines, Once: true, Drains: true, Matches: putsUnder("control/plan/", `"draining"`), Drive: driveDrain},
		{Name: "hand_over", Runs: OnEngines, Once: true, Drains: true, Matches: func(_ *World, c Call) bool {
			return isOrder(c) && bytes.Contains(c.Body, []byte(`"assign"`)) && bytes.Contains(c.Body, []byte(rudderfleetstand.ModelLedger))
		}, Drive: driveHandOver},
		{Name: "accept_configuration", Runs: OnPlatform, Matches: putsUnder("control/config", ""), Drive: func(w *World) {
			_, _ = w.label(w.live()[0], "accept", 0)
		}},
		{Name: "start", Runs: OnEntries, Once: true, Matches: func(w *World, c Call) bool {
			return c.From == entryName(w.Entries) && c.To == partyKeyValue
		}, Drive: driveStart},
		{Name: "stop", Runs: OnEntries, Once: true, Matches: func(_ *World, c Call) bool { return c.Method == methodOffList }, Drive: driveStop},
	}
}

// drive carries the operation out until the step was reached.
func (s Step) drive(w *World, reached <-chan struct{}) {
	end := time.Now().Add(reachWithin)
	for {
		s.Drive(w)
		select {
		case <-reached:
			return
		case <-time.After(progressPause):
		}
		if s.Once || time.Now().After(end) {
			return
		}
	}
}

// methodOffList marks the pseudo call that tells that an entry host went off the list of entries.
const methodOffList = "OFF-LIST"

// decoded returns the value that a write carries.
func decoded(body []byte) []byte {
	var request rudderstore.PutRequest
	if json.Unmarshal(body, &request) != nil {
		return nil
	}
	return request.Value
}

func putsUnder(prefix, content string) func(w *World, c Call) bool {
	return func(_ *World, c Call) bool {
		return c.Method == http.MethodPut && c.To == partyKeyValue && !c.Answered &&
			strings.HasPrefix(c.Path, "/v1/kv/"+prefix) && bytes.Contains(decoded(c.Body), []byte(content))
	}
}

func isOrder(c Call) bool {
	return c.Method == http.MethodPost && c.Path == "/control/orders" && !c.Answered
}

func isWork(w *World, c Call) bool {
	return c.Path == pathChat && !c.Answered && w.fleet.Host(c.To) != nil
}

func isToken(_ *World, c Call) bool { return c.Method == methodToken }

func isDispatch(w *World, c Call) bool {
	host := w.fleet.Host(c.To)
	return host != nil && host.Backend != nil && !strings.HasPrefix(c.Path, "/control/") && !c.Answered
}

func driveStream(w *World) {
	w.chat(w.live()[0], rudderfleetstand.ModelLedger, w.prompt(longAnswer), longAnswer, true)
}

// driveResume kills the engine of a stream at its first token, which is restarted when the cell heals.
func driveResume(w *World) {
	w.traps.set(&Trap{
		Matches: func(c Call) bool { return isToken(w, c) },
		Spring: func(c Call) {
			for _, run := range w.fleet.Fabric.Ledger.Runs() {
				if run.RequestID == c.Path && run.End.IsZero() {
					w.fleet.Host(run.Host).Engine.Kill()
				}
			}
		},
	})
	driveStream(w)
}

func driveKeyed(w *World) {
	key := fmt.Sprintf("payment-%d", w.serial.Add(1))
	w.call(w.live()[0], key, "pay "+key)
	w.call(w.live()[1], key, "pay "+key)
}

// driveDrain drains a member of a group while a long answer runs on it.
func driveDrain(w *World) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		driveStream(w)
	}()
	member := w.servingMember()
	if w.drain(w.live()[0], member) == nil {
		w.plannedHost(member)
	}
	<-done
}

func driveHandOver(w *World) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.chat(w.live()[0], rudderfleetstand.ModelCues, w.prompt(longAnswer), longAnswer, true)
	}()
	if w.handOver(w.live()[0]) == nil {
		for _, member := range w.membersOf(selectorCues) {
			w.plannedHost(member)
		}
	}
	<-done
}

func driveStart(w *World) { _, _ = w.scene.StartEntry(w.Entries) }

// driveStop stops an entry host as planned, with a long answer in flight.
func driveStop(w *World) {
	live := w.live()
	stopping, other := live[len(live)-1], live[0]
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.chat(stopping, rudderfleetstand.ModelLedger, w.prompt(longAnswer), longAnswer, true)
	}()
	ended := make(chan struct{})
	from := time.Now()
	go func() {
		defer close(ended)
		_ = stopping.Stop()
		w.markDead(stopping.Name)
		w.planned(rudderoracle.Stop{Entry: stopping.Name, From: from, To: time.Now()})
	}()
	w.awaitOffList(stopping, other, ended)
	<-done
	<-ended
}

// listPoll is the time between two looks at the list of entries.
const listPoll = 20 * time.Millisecond

func (w *World) awaitOffList(stopping, other *rudderscene.Entry, ended <-chan struct{}) {
	for w.onList(stopping, other) {
		select {
		case <-ended:
			return
		case <-time.After(listPoll):
		}
	}
	w.traps.see(Call{From: stopping.Name, Method: methodOffList})
}

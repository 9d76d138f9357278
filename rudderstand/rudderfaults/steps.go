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

// Step is a point in an operation of the system at which faults are injected.
type Step struct {
	Name string
	// Matches reports whether a request or pseudo call marks the step.
	Matches func(w *World, c Call) bool
	// Drive performs the operation and returns when it has ended; nil for steps that occur while the fleet
	// starts.
	Drive func(w *World)
	// Subsystem is the part of the system that the operation runs on.
	Subsystem Subsystem
	// Once is true if the operation cannot be repeated. Other operations are repeated until the step is
	// reached: on a busy machine a request may be refused before it gets that far.
	Once bool
	// Drains is true if the operation drains groups; the cell then waits until draining has ended.
	Drains bool
}

// Subsystem is the part of the system that an operation or a fault belongs to.
type Subsystem string

// Values of Subsystem.
const (
	SubsystemEngines  Subsystem = "engines"
	SubsystemServices Subsystem = "services"
	SubsystemPlatform Subsystem = "platform"
	SubsystemEntries  Subsystem = "entries"
)

// Steps returns all steps in the order in which they occur in the life of an operation, which is also the
// order of the columns in docs/faults.md.
func Steps() []Step {
	return []Step{
		{Name: "form", Subsystem: SubsystemEngines, Matches: writesUnder("control/plan/", "")},
		{Name: "load", Subsystem: SubsystemEngines, Matches: func(_ *World, c Call) bool {
			return isOrder(c) && bytes.Contains(c.Body, []byte(`"assign"`))
		}},
		{Name: "serve", Subsystem: SubsystemEngines, Matches: isModelRequest, Drive: func(w *World) {
			w.chat(w.live()[0], rudderfleetstand.ModelLedger, w.prompt(longAnswer), longAnswer, false)
		}},
		{Name: "stream", Subsystem: SubsystemEngines, Matches: isToken, Drive: driveStream},
		{Name: "resume", Subsystem: SubsystemEngines, Matches: func(w *World, c Call) bool {
			return isModelRequest(w, c) && bytes.Contains(c.Body, []byte(`"rudder_attempt":2`))
		}, Drive: driveResume},
		{Name: "claim", Subsystem: SubsystemPlatform, Matches: writesUnder("claims/", ""), Drive: driveKeyedCalls},
		{Name: "dispatch", Subsystem: SubsystemServices, Matches: isDispatch, Drive: func(w *World) {
			w.call(w.live()[0], "", "pay dispatch")
		}},
		{Name: "answer", Subsystem: SubsystemServices, Matches: func(w *World, c Call) bool {
			c.Answered = !c.Answered
			return isDispatch(w, c)
		}, Drive: driveKeyedCalls},
		{Name: "drain", Subsystem: SubsystemEngines, Once: true, Drains: true, Matches: writesUnder("control/plan/", `"draining"`), Drive: driveDrain},
		{Name: "hand_over", Subsystem: SubsystemEngines, Once: true, Drains: true, Matches: func(_ *World, c Call) bool {
			return isOrder(c) && bytes.Contains(c.Body, []byte(`"assign"`)) && bytes.Contains(c.Body, []byte(rudderfleetstand.ModelLedger))
		}, Drive: driveHandOver},
		{Name: "accept_configuration", Subsystem: SubsystemPlatform, Matches: writesUnder("control/config", ""), Drive: func(w *World) {
			_, _ = w.changeLabel(w.live()[0], "accept", 0)
		}},
		{Name: "start", Subsystem: SubsystemEntries, Once: true, Matches: func(w *World, c Call) bool {
			return c.From == entryName(w.Entries) && c.To == partyKeyValue
		}, Drive: driveStart},
		{Name: "stop", Subsystem: SubsystemEntries, Once: true, Matches: func(_ *World, c Call) bool { return c.Method == methodUnlisted }, Drive: driveStop},
	}
}

// drive performs the operation, repeatedly if it allows that, until the step is reached or reachTimeout has
// passed.
func (s Step) drive(w *World, reached <-chan struct{}) {
	end := time.Now().Add(reachTimeout)
	for {
		s.Drive(w)
		select {
		case <-reached:
			return
		case <-time.After(retryInterval):
		}
		if s.Once || time.Now().After(end) {
			return
		}
	}
}

// methodUnlisted is the method of the pseudo call that reports the removal of an entry host from the entry
// list.
const methodUnlisted = "OFF-LIST"

// putValue returns the value in the body of a write to the key-value service, or nil if it can't be decoded.
func putValue(body []byte) []byte {
	var request rudderstore.PutRequest
	if json.Unmarshal(body, &request) != nil {
		return nil
	}
	return request.Value
}

// writesUnder matches a write to the key-value service whose key has a prefix and whose value contains a text.
func writesUnder(prefix, content string) func(w *World, c Call) bool {
	return func(_ *World, c Call) bool {
		return c.Method == http.MethodPut && c.To == partyKeyValue && !c.Answered &&
			strings.HasPrefix(c.Path, "/v1/kv/"+prefix) && bytes.Contains(putValue(c.Body), []byte(content))
	}
}

func isOrder(c Call) bool {
	return c.Method == http.MethodPost && c.Path == "/control/orders" && !c.Answered
}

func isModelRequest(w *World, c Call) bool {
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

// driveResume kills the engine of a stream at the first token, so that a second attempt resumes the stream. The
// cell restarts the engine when it heals.
func driveResume(w *World) {
	w.interceptors.add(&Interceptor{
		Matches: func(c Call) bool { return isToken(w, c) },
		Intercept: func(c Call) {
			for _, run := range w.fleet.Fabric.Ledger.Runs() {
				if run.RequestID == c.Path && run.End.IsZero() {
					w.fleet.Host(run.Host).Engine.Kill()
				}
			}
		},
	})
	driveStream(w)
}

func driveKeyedCalls(w *World) {
	key := fmt.Sprintf("payment-%d", w.serial.Add(1))
	w.call(w.live()[0], key, "pay "+key)
	w.call(w.live()[1], key, "pay "+key)
}

// driveDrain drains a member of a group while a long answer is in flight.
func driveDrain(w *World) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		driveStream(w)
	}()
	member := w.servingMember()
	if w.drain(w.live()[0], member) == nil {
		w.recordHostStop(member)
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
			w.recordHostStop(member)
		}
	}
	<-done
}

func driveStart(w *World) { _, _ = w.scene.StartEntry(w.Entries) }

// driveStop shuts down an entry host gracefully with a long answer in flight.
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
		w.recordStop(rudderoracle.Stop{Entry: stopping.Name, From: from, To: time.Now()})
	}()
	w.awaitRemovalFromList(stopping, other, ended)
	<-done
	<-ended
}

// listPollInterval is the time between two reads of the entry list.
const listPollInterval = 20 * time.Millisecond

func (w *World) awaitRemovalFromList(stopping, other *rudderscene.Entry, ended <-chan struct{}) {
	for w.inEntryList(stopping, other) {
		select {
		case <-ended:
			return
		case <-time.After(listPollInterval):
		}
	}
	w.interceptors.observe(Call{From: stopping.Name, Method: methodUnlisted})
}

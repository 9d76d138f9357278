package rudderfaults

import (
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
)

const (
	shortAnswer = 15
	longAnswer  = 60
)

// workload runs while a fault lasts: chats, calls with a key at two entry hosts, calls without one, a
// change of the configuration and a drain. Any of them may fail; the oracle judges what callers were
// told. It returns when all have ended.
func (w *World) workload() {
	var working sync.WaitGroup
	entries := w.live()
	for i, e := range entries {
		working.Go(func() { w.chat(e, rudderfleetstand.ModelLedger, w.prompt(longAnswer), longAnswer, true) })
		working.Go(func() { w.chat(e, rudderfleetstand.ModelLedger, w.prompt(shortAnswer), shortAnswer, i%2 == 0) })
		working.Go(func() { w.call(e, "", fmt.Sprintf("pay %d", w.serial.Add(1))) })
	}
	for i := range 2 {
		key := fmt.Sprintf("payment-%d", w.serial.Add(1))
		for j := range 2 {
			e := entries[(i+j)%len(entries)]
			working.Go(func() {
				w.call(e, key, "pay "+key)
				w.call(e, key, "pay "+key) // the same again, for the stored answer
			})
		}
	}
	working.Go(func() {
		_, _ = w.label(entries[0], fmt.Sprintf("shift-%d", w.serial.Add(1)), 0)
		_ = w.drain(entries[len(entries)-1], w.spareService())
	})
	working.Wait()
}

// spareService is the service host that the workload drains.
func (w *World) spareService() string { return w.fleet.Hosts[len(w.fleet.Hosts)-1].Name }

// Bounds of progress. Recovery takes at most suspicion (3 s), a lease and the new planner's wait (3 s),
// draining (6 s) and loading (1 s); the rest allows for a busy machine.
const (
	readyWithin    = 25 * time.Second
	progressWithin = 25 * time.Second
	progressPause  = 100 * time.Millisecond
)

// ErrNoProgress reports a system that did not get going again after its faults were healed.
var ErrNoProgress = errors.New("no progress")

// progress requires that each entry host completes new requests of all kinds and that a change of the
// configuration is accepted, all within the bound.
func (w *World) progress(within time.Duration) error {
	deadline := time.Now().Add(within)
	steps := []struct {
		what string
		done func(e *rudderscene.Entry) bool
	}{
		{"streamed chat", func(e *rudderscene.Entry) bool {
			return complete(w.chat(e, rudderfleetstand.ModelLedger, w.prompt(shortAnswer), shortAnswer, true))
		}},
		{"unstreamed chat", func(e *rudderscene.Entry) bool {
			return complete(w.chat(e, rudderfleetstand.ModelLedger, w.prompt(shortAnswer), shortAnswer, false))
		}},
		{"call with a key", func(e *rudderscene.Entry) bool {
			key := fmt.Sprintf("payment-%d", w.serial.Add(1))
			return complete(w.call(e, key, "pay "+key))
		}},
		{"call without a key", func(e *rudderscene.Entry) bool {
			return complete(w.call(e, "", fmt.Sprintf("pay %d", w.serial.Add(1))))
		}},
	}
	for _, s := range steps {
		for _, e := range w.live() {
			if err := repeat(deadline, func() bool { return s.done(e) }); err != nil {
				return errors.Wrapf(err, "%s at %s, %s", s.what, e.Name, w.lastAnswer())
			}
		}
	}
	accepted := func() bool {
		result, err := w.label(w.live()[0], fmt.Sprintf("shift-%d", w.serial.Add(1)), 0)
		return err == nil && result.State == "accepted"
	}
	return errors.Wrap(repeat(deadline, accepted), "change of the configuration")
}

func complete(a rudderoracle.Answer) bool { return a.Outcome == rudderoracle.OutcomeComplete }

// lastAnswer describes the newest answer, for the report of a system that makes no progress.
func (w *World) lastAnswer() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.last
	return fmt.Sprintf("last answer: %d %s %s after %s", a.Status, a.Outcome, a.Code, a.EndedAt.Sub(a.SentAt).Round(time.Millisecond))
}

// record keeps an answer as evidence, unless the request was never sent.
func (w *World) record(a rudderoracle.Answer) {
	a.EndedAt = time.Now()
	if a.Code != codeNotSent {
		w.recorder.Answer(a)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = a
}

func repeat(deadline time.Time, done func() bool) error {
	for !done() {
		if time.Now().After(deadline) {
			return ErrNoProgress
		}
		time.Sleep(progressPause)
	}
	return nil
}

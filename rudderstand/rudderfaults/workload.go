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

// workload runs a fixed set of operations while a fault is active and returns when all have ended: model
// requests, calls with an idempotency key at two entry hosts, calls without one, a change of the
// configuration and a drain. Any of them may fail; the oracle checks the outcomes that callers received.
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
				w.call(e, key, "pay "+key) // repeated, to get the stored answer
			})
		}
	}
	working.Go(func() {
		_, _ = w.changeLabel(entries[0], fmt.Sprintf("shift-%d", w.serial.Add(1)), 0)
		_ = w.drain(entries[len(entries)-1], w.spareServiceHost())
	})
	working.Wait()
}

// spareServiceHost is the service host that the workload drains.
func (w *World) spareServiceHost() string { return w.fleet.Hosts[len(w.fleet.Hosts)-1].Name }

// Time-outs for progress. Recovery takes at most failure detection (3 s), a lease and the new planner's wait
// (3 s), draining (6 s) and loading (1 s). The rest is a margin for a busy machine.
const (
	readyTimeout    = 25 * time.Second
	progressTimeout = 25 * time.Second
	retryInterval   = 100 * time.Millisecond
)

// ErrNoProgress is returned when the system does not complete new requests or changes within the time-out,
// usually after its faults were healed.
var ErrNoProgress = errors.New("no progress")

// awaitProgress retries until each entry host has completed a new request of each kind and a change of the
// configuration is accepted. It returns ErrNoProgress if that takes longer than the time-out.
func (w *World) awaitProgress(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	requests := []struct {
		name string
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
	for _, r := range requests {
		for _, e := range w.live() {
			if err := retryUntil(deadline, func() bool { return r.done(e) }); err != nil {
				return errors.Wrapf(err, "%s at %s, %s", r.name, e.Name, w.lastAnswer())
			}
		}
	}
	accepted := func() bool {
		result, err := w.changeLabel(w.live()[0], fmt.Sprintf("shift-%d", w.serial.Add(1)), 0)
		return err == nil && result.State == "accepted"
	}
	return errors.Wrap(retryUntil(deadline, accepted), "change of the configuration")
}

func complete(a rudderoracle.Answer) bool { return a.Outcome == rudderoracle.OutcomeComplete }

// lastAnswer describes the most recent answer, for the error message when there is no progress.
func (w *World) lastAnswer() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.last
	return fmt.Sprintf("last answer: %d %s %s after %s", a.Status, a.Outcome, a.Code, a.EndedAt.Sub(a.SentAt).Round(time.Millisecond))
}

// record adds an answer to the evidence, unless the request was never sent.
func (w *World) record(a rudderoracle.Answer) {
	a.EndedAt = time.Now()
	if a.Code != codeNotSent {
		w.recorder.Answer(a)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = a
}

// retryUntil calls a function until it returns true. After the deadline it returns ErrNoProgress.
func retryUntil(deadline time.Time, done func() bool) error {
	for !done() {
		if time.Now().After(deadline) {
			return ErrNoProgress
		}
		time.Sleep(retryInterval)
	}
	return nil
}

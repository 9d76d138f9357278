package rudderengine

import (
	"context"
	"slices"
	"sort"
	"strings"
	"time"

	"comfreyrudder.example/shared/ruddertarget"
)

// stallPoll is the interval at which a leader checks whether a paused or loading member is ready again.
const stallPoll = 5 * time.Millisecond

// loop runs the batch of the group that this host leads. Each step generates one token of each running
// request.
func (e *Engine) loop(ctx context.Context) {
	for {
		wait, busy := e.advance()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		timer := e.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		}
	}
}

// notify wakes the loop.
func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// advance does one step and returns its duration; busy is false when no request is queued or running.
func (e *Engine) advance() (wait time.Duration, busy bool) {
	e.mu.Lock()
	idle := len(e.queue)+len(e.running) == 0
	e.mu.Unlock()
	if idle {
		return 0, false
	}
	view := e.inspect()
	if view.condition == conditionStalled || view.condition == conditionLoading {
		return stallPoll, true
	}
	crashed := false
	e.mu.Lock()
	switch {
	case view.role.Group != e.holder.Role().Group:
		// The role changed since inspect; the next step inspects the group again.
	case view.condition == conditionBroken:
		e.dropIncomplete(view)
	case !e.paused && !e.dead:
		crashed = e.admit(view)
		e.generate()
	}
	e.sample()
	wait = e.gap(view.slowdown)
	busy = len(e.queue)+len(e.running) > 0
	e.mu.Unlock()
	if crashed {
		e.crash()
	}
	return wait, busy
}

// dropIncomplete fails all queued and running requests because a member of the group is missing. It needs
// the mutex.
func (e *Engine) dropIncomplete(view groupView) {
	for _, r := range e.queue {
		entry := e.ledgerEntry(r, view)
		entry.Outcome, entry.End = OutcomeIncomplete, entry.Start
		e.Fabric.Ledger.start(entry)
	}
	e.failRuns(OutcomeFailed)
}

// admit moves queued requests into free slots and reports whether one of them crashes the host. It
// needs the mutex.
func (e *Engine) admit(view groupView) (crashed bool) {
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].before(e.queue[j]) })
	for len(e.queue) > 0 && len(e.running) < e.Slots {
		r := e.queue[0]
		e.queue = slices.Delete(e.queue, 0, 1)
		e.begin(r, view)
		if marker := e.faults.crashMarker; marker != "" && strings.Contains(r.prompt, marker) {
			return true
		}
	}
	return false
}

func (e *Engine) begin(r *run, view groupView) {
	now := e.Clock.Now()
	text := r.prompt + r.ResumeText
	hits := e.cache.use(ruddertarget.PrefixBlocks(text), now)
	fresh := len(text) - hits*ruddertarget.PrefixBlockBytes
	prefill := time.Duration(float64(fresh) / 1024 * float64(e.Timing.PrefillPerKB) * view.slowdown)
	r.readyAt = now.Add(prefill)
	r.ledger = e.Fabric.Ledger.start(e.ledgerEntry(r, view))
	e.runCount++
	e.running = append(e.running, r)
	r.start()
}

func (e *Engine) ledgerEntry(r *run, view groupView) Run {
	return Run{
		RequestID: r.RequestID, Attempt: r.Attempt, Group: view.role.Group, Host: e.Host,
		Size: len(view.role.Members), Members: view.present, Prompt: r.prompt,
		ResumeAfter: r.ResumeAfter, Start: e.Clock.Now(), Outcome: OutcomeRunning,
	}
}

// generate makes one token of each request whose prefill is done. It needs the mutex.
func (e *Engine) generate() {
	now := e.Clock.Now()
	for _, r := range slices.Clone(e.running) {
		if r.readyAt.After(now) || !r.step() {
			continue
		}
		e.finish(r, OutcomeComplete)
		e.running = remove(e.running, r)
	}
}

// finish ends a running request. It needs the mutex and does not remove the request from e.running.
func (e *Engine) finish(r *run, outcome string) {
	r.end(outcome)
	e.Fabric.Ledger.end(r.ledger, len(r.snapshot().tokens), outcome, e.Clock.Now())
}

// cancel ends a request, queued or running.
func (e *Engine) cancel(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.running, r) {
		e.finish(r, OutcomeCancelled)
		e.running = remove(e.running, r)
	}
	e.queue = remove(e.queue, r)
	r.end(OutcomeCancelled)
	e.sample()
}

// gap returns the duration of one step. It needs the mutex.
func (e *Engine) gap(slowdown float64) time.Duration {
	gap := e.Timing.TokenGap + time.Duration(max(0, len(e.running)-1))*e.Timing.TokenGapPerRequest
	return time.Duration(float64(gap) * slowdown)
}

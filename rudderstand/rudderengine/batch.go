package rudderengine

import (
	"context"
	"slices"
	"sort"
	"strings"
	"time"

	"comfreyrudder.example/shared/ruddertarget"
)

// stallPoll is how often a leader looks whether a paused or loading member can go on.
const stallPoll = 5 * time.Millisecond

// loop runs the requests of the group that this host leads, one token of each running request per
// step.
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

func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// advance does one step and returns how long it takes; busy is false when there is nothing to do.
func (e *Engine) advance() (wait time.Duration, busy bool) {
	e.mu.Lock()
	idle := len(e.queue)+len(e.running) == 0
	e.mu.Unlock()
	if idle {
		return 0, false
	}
	view := e.look()
	if view.condition == conditionStalled || view.condition == conditionLoading {
		return stallPoll, true
	}
	crashed := false
	e.mu.Lock()
	switch {
	case view.role.Group != e.holder.Role().Group:
		// The role changed after the look; look again.
	case view.condition == conditionBroken:
		e.dropIncomplete(view)
	case !e.paused && !e.dead:
		crashed = e.admit(view)
		e.generate()
	}
	e.sample()
	wait = e.gap(view.straggle)
	busy = len(e.queue)+len(e.running) > 0
	e.mu.Unlock()
	if crashed {
		e.crash()
	}
	return wait, busy
}

// dropIncomplete cuts everything off because the group is not whole. It needs the mutex.
func (e *Engine) dropIncomplete(view groupView) {
	for _, r := range e.queue {
		line := e.ledgerLine(r, view)
		line.Outcome, line.End = OutcomeIncomplete, line.Start
		e.Fabric.Ledger.start(line)
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
	prefill := time.Duration(float64(fresh) / 1024 * float64(e.Timing.PrefillPerKB) * view.straggle)
	r.readyAt = now.Add(prefill)
	r.ledger = e.Fabric.Ledger.start(e.ledgerLine(r, view))
	e.runCount++
	e.running = append(e.running, r)
	r.start()
}

func (e *Engine) ledgerLine(r *run, view groupView) Run {
	return Run{
		RequestID: r.RequestID, Attempt: r.Attempt, Group: view.role.Group, Host: e.Host,
		Size: len(view.role.Members), Members: view.present, Prompt: r.prompt,
		ResumeAfter: r.ResumeAfter, Start: e.Clock.Now(), Outcome: OutcomeRunning,
	}
}

// generate makes one token of each request whose prompt has been read. It needs the mutex.
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

// finish ends a running request. It needs the mutex and leaves e.running alone.
func (e *Engine) finish(r *run, outcome string) {
	r.end(outcome)
	e.Fabric.Ledger.end(r.ledger, len(r.look().tokens), outcome, e.Clock.Now())
}

// cancel ends a request wherever it is.
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

// gap is the time of one step. It needs the mutex.
func (e *Engine) gap(straggle float64) time.Duration {
	gap := e.Timing.TokenGap + time.Duration(max(0, len(e.running)-1))*e.Timing.TokenGapPerRequest
	return time.Duration(float64(gap) * straggle)
}

package rudderstream

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// decidingTime is the time from DeadAfter on in which the last probe may still be answered.
	decidingTime = 250 * time.Millisecond
	// probePause is the time between a probe that failed early and the next one.
	probePause = 50 * time.Millisecond
	// deliveryTime is the least time that a connection gets to deliver tokens that the engine has already produced.
	deliveryTime = 250 * time.Millisecond
	// arrivedTime bounds the reading of what has arrived before an engine failed.
	arrivedTime = 50 * time.Millisecond
)

var (
	errSilent = errors.New("stream: connection silent")
	// errUnresponsive marks an errSilent that says nothing about the engine's process: it may be alive.
	errUnresponsive = errors.New("stream: engine does not respond")
	errStraggler    = errors.New("stream: engine makes no progress")
	errAbandoned    = errors.New("stream: no caller reads the answer")
)

// probeResult is the answer of an engine to the question for the state of a request.
type probeResult struct {
	status ruddertarget.RequestStatus
	err    error
}

// silence decides whether an attempt from which nothing comes has failed, by probes on new connections. A sound engine may
// be silent for a while.
type silence struct {
	*run
	slot     Slot
	opening  bool      // the engine has not accepted the request yet
	progress time.Time // of the last event
	heard    time.Time // of the last response of the engine: an event or the answer to a probe
	aheadAt  time.Time // when the engine was first found ahead of the connection; zero if it was not
	unknown  int       // consecutive probes that the engine answered without knowing the attempt
	timer    clockwork.Timer
	results  chan probeResult // nil while no probe runs
	cancel   context.CancelFunc
}

func (s *run) watchSilence(slot Slot, opening bool) *silence {
	now := s.Clock.Now()
	return &silence{run: s, slot: slot, opening: opening, progress: now, heard: now, timer: s.Clock.NewTimer(s.SilenceAfter), cancel: func() {}}
}

// stop ends the timer and the probe.
func (w *silence) stop() {
	w.timer.Stop()
	w.cancel()
	w.results = nil
}

// event records that something has come.
func (w *silence) event() {
	w.stop()
	now := w.Clock.Now()
	w.progress, w.heard, w.aheadAt, w.unknown = now, now, time.Time{}, 0
	w.timer.Reset(w.SilenceAfter)
}

// probe starts a probe. It ends when the engine counts as dead if it does not answer.
func (w *silence) probe(ctx context.Context) {
	timeout := w.DeadAfter + decidingTime - w.Clock.Since(w.heard)
	if timeout <= 0 {
		timeout = decidingTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	answered, results := make(chan probeResult, 1), make(chan probeResult, 1)
	w.results, w.cancel = results, cancel
	address, id := w.slot.Address, w.request.ID
	go func() {
		status, err := w.Probe(ctx, address, id)
		answered <- probeResult{status, err}
	}()
	go func() {
		defer cancel()
		select {
		case r := <-answered:
			results <- r
		case <-ctx.Done(): // a probe may end later, when it looks for another path
			results <- probeResult{err: ctx.Err()}
		}
	}()
}

// judge returns an error if the attempt has failed by the result of a probe. Otherwise it sets the timer for the next one.
func (w *silence) judge(r probeResult) error {
	w.results = nil
	w.cancel()
	now := w.Clock.Now()
	if w.answer.abandoned(now, w.AbandonAfter) {
		return errAbandoned
	}
	wait, err := w.SilenceAfter, error(nil)
	switch unknown := errors.Is(r.err, ruddertarget.ErrNotFound) || r.err == nil && r.status.Attempt != w.attempt; {
	case unknown:
		wait, err = decidingTime, w.judgeUnknown(now)
	case errors.Is(r.err, syscall.ECONNREFUSED):
		return errors.Mark(errors.Wrap(r.err, "probing the engine"), errSilent)
	case r.err != nil:
		wait, err = w.judgeUnanswered(now, r.err)
	case r.status.Done || r.status.Generated > w.answer.Received():
		wait, err = w.judgeAhead(now)
	case !r.status.Queued && now.Sub(w.progress) > w.StragglerAfter:
		return errStraggler
	default:
		w.heard, w.unknown = now, 0
	}
	w.timer.Reset(wait)
	return err
}

// judgeUnknown handles an engine that does not know the attempt. A request that was sent while the engine was silent may
// arrive after the probe.
func (w *silence) judgeUnknown(now time.Time) error {
	w.heard = now
	w.unknown++
	if w.opening && w.unknown == 1 {
		return nil
	}
	return errors.Mark(errors.New("the engine does not know the attempt"), errSilent)
}

// judgeUnanswered handles an engine that does not answer. It counts as dead only after DeadAfter. A request that has not
// begun is sent elsewhere before that, and one that cannot be sent elsewhere waits.
func (w *silence) judgeUnanswered(now time.Time, cause error) (time.Duration, error) {
	err := errors.Mark(errors.Mark(errors.Wrap(cause, "probing the engine"), errSilent), errUnresponsive)
	if w.GroupLost != nil && w.GroupLost(w.slot) {
		return 0, err
	}
	begun := w.answer.Received() > 0
	if begun && now.Sub(w.heard) < w.DeadAfter+decidingTime-probePause {
		return probePause, nil
	}
	if w.mayMove() {
		return 0, err
	}
	return w.SilenceAfter, nil
}

// judgeAhead handles an engine that has produced more than has come. An attempt that cannot be repeated waits until the
// engine would count as a straggler.
func (w *silence) judgeAhead(now time.Time) (time.Duration, error) {
	w.heard, w.unknown = now, 0
	if w.aheadAt.IsZero() {
		w.aheadAt = now
	}
	limit := max(w.aheadAt.Add(min(deliveryTime, w.SilenceAfter)).Sub(now), w.progress.Add(w.DeadAfter).Sub(now))
	if limit > 0 {
		return limit, nil
	}
	if now.Sub(w.progress) > w.StragglerAfter || w.mayMove() {
		return 0, errors.Mark(errors.New("the engine is ahead of the connection"), errSilent)
	}
	return w.SilenceAfter, nil
}

// mayMove reports whether the attempt can be followed by another one. For a request that has not begun it takes a retry from
// the budget.
func (w *silence) mayMove() bool { return !w.attemptsSpent() && w.takeRetry(nil) }

package rudderapp

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderentry"
	"comfreyrudder.example/rudderd/rudderhttp"
	"comfreyrudder.example/rudderd/rudderservice"
	"comfreyrudder.example/rudderd/rudderstream"
)

// messageStopping is the message of refusals while the entry host stops.
const messageStopping = "this entry host is stopping"

// stopState makes the stop sequence of rudderentry safe for concurrent use.
type stopState struct {
	mu      sync.Mutex
	leaving rudderentry.Shutdown
	paces   rudderentry.Paces
	running map[*runningChat]bool
	started chan struct{} // closed when the planned stop begins
	// accepting ends when no new work is taken, and serving when running work is cut off.
	accepting context.Context
	refuseNew context.CancelFunc
	serving   context.Context
	cut       context.CancelCauseFunc
}

func (s *stopState) init() {
	s.started = make(chan struct{})
	s.running = map[*runningChat]bool{}
	s.accepting, s.refuseNew = context.WithCancel(context.Background())
	s.serving, s.cut = context.WithCancelCause(context.Background())
}

func (s *stopState) takesNewWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.TakesNewWork()
}

// takes reports whether new work with a limit is taken.
func (s *stopState) takes(now time.Time, work rudderentry.Limit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.Takes(now, work)
}

// mayStart reports whether work that has been taken may be started.
func (s *stopState) mayStart(now time.Time, work rudderentry.Limit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.MayStart(now, work)
}

// begun reports whether the planned stop has begun.
func (s *stopState) begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.Phase() != rudderentry.PhaseServing
}

func (s *stopState) begin(now time.Time, lifetime, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving.RankingTTL = lifetime
	s.leaving.Begin(now, grace)
	close(s.started)
}

func (s *stopState) advance(now time.Time, running int) rudderentry.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	phase := s.leaving.Advance(now, running)
	if !s.leaving.TakesNewWork() {
		s.refuseNew()
	}
	return phase
}

// whileStartable returns a context for the wait of work for its start. It ends, with the cause ErrStopping, when the
// work must no longer be started because this entry host stops.
func (s *stopState) whileStartable(ctx context.Context, clock clockwork.Clock, work rudderentry.Limit) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-s.started:
		}
		s.mu.Lock()
		latest, limited := s.leaving.LatestStart(work)
		s.mu.Unlock()
		if !limited {
			return
		}
		select {
		case <-ctx.Done():
		case <-clock.After(latest.Sub(clock.Now())):
			cancel(rudderstream.ErrStopping)
		}
	}()
	return ctx, func() { cancel(nil) }
}

// observe records how fast work has run.
func (s *stopState) observe(now time.Time, kind string, first, perUnit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paces.Observe(now, kind, first, perUnit)
}

// bound returns the longest time that work of a kind is expected to take from now on.
func (s *stopState) bound(now time.Time, kind string, units int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []rudderentry.Progress
	for r := range s.running {
		if r.kind == kind {
			running = append(running, rudderentry.Progress{Elapsed: now.Sub(r.since), Units: r.answer.Received() - r.before})
		}
	}
	return s.paces.Bound(kind, units, running...)
}

// runningChat is an attempt that holds a slot.
type runningChat struct {
	kind   string
	since  time.Time
	answer *rudderstream.Answer
	before int // tokens received before this attempt
}

// track registers an attempt and returns the function to call at its end.
func (s *stopState) track(now time.Time, kind string, answer *rudderstream.Answer) func() {
	r := &runningChat{kind: kind, since: now, answer: answer, before: answer.Received()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[r] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, r)
	}
}

func paceOfModel(model string) string     { return "model " + model }
func paceOfService(service string) string { return "service " + service }

// chatLimit returns the limit of a model request that starts now.
func (a *App) chatLimit(q rudderstream.Request) rudderentry.Limit {
	return rudderentry.Limit{Duration: a.stopping.bound(a.Clock.Now(), paceOfModel(q.Model), q.MaxTokens)}
}

// callLimit returns the limit of a call of a plain service that ends by a deadline. The time that earlier calls took
// counts only for calls that may be repeated.
func (a *App) callLimit(call *rudderservice.Call, deadline time.Time) rudderentry.Limit {
	limit := rudderentry.Limit{Deadline: deadline}
	if a.declaredIdempotent(call.Service, call.Method, call.Path) {
		limit.Duration = a.stopping.bound(a.Clock.Now(), paceOfService(call.Service), 1)
	}
	return limit
}

// stoppingRefusal returns the refusal for a model request that has not run.
func stoppingRefusal() error {
	return &rudderstream.Refusal{Code: rudderstream.CodeNotReady, Message: messageStopping, RetryAfter: time.Second}
}

// refuseCall returns the refusal for a call that can't end before this entry host stops, or nil.
func (a *App) refuseCall(call *rudderservice.Call) *rudderhttp.Refusal {
	now := a.Clock.Now()
	if a.stopping.takes(now, a.callLimit(call, now.Add(a.Settings.CallTimeout))) {
		return nil
	}
	return a.notReady(rudderstream.CodeNotReady, messageStopping)
}

const (
	// leaveTimeout bounds the removal of this entry host from the registry.
	leaveTimeout = 2 * time.Second
	// stopPoll is the interval at which the requests in flight are checked while stopping.
	stopPoll = 50 * time.Millisecond
	// cutTimeout bounds the wait for the responses of requests that are cut off.
	cutTimeout = 2 * time.Second
	// resumeTimeout is how long a stop waits for a caller that has lost its connection to resume its complete answer.
	resumeTimeout = 10 * time.Second
	// settleTimeout bounds the wait for the settlements of the last calls.
	settleTimeout = 5 * time.Second
	// exitTimeout bounds all that follows the grace time, whatever the key-value service does.
	exitTimeout = 10 * time.Second
)

// stop performs the planned stop of the entry host. It first leaves the list of entry addresses, serves until
// callers with an older list have stopped using it, and then waits for its requests. Those that still run at the end
// of the grace time are cut off, and their callers are told so.
func (a *App) stop(ctx context.Context) {
	a.Logger.Info().Dur("lifetime_ms", a.Settings.EntryLifetime).Msg("entry host is shutting down; leaving the list of entry addresses")
	a.stopping.begin(a.Clock.Now(), a.Settings.EntryLifetime, a.Settings.StopGrace)
	a.node.Leave()
	a.node.AdvanceHeartbeat()
	for a.stopping.advance(a.Clock.Now(), a.running()) != rudderentry.PhaseStopped && ctx.Err() == nil {
		a.wait(ctx, stopPoll)
	}
	ctx, cancel := context.WithTimeout(ctx, exitTimeout)
	defer cancel()
	cut := a.running()
	a.stopping.cut(rudderstream.ErrStopping)
	a.waitUntil(ctx, cutTimeout, func() bool { return a.running() == 0 })
	a.waitUntil(ctx, settleTimeout, func() bool { return a.claims.Pending() == 0 })
	a.collector.StoreSnapshot(ctx)
	leave, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	if err := a.registrar.Leave(leave); err != nil {
		a.Logger.Warn().Err(err).Msg("cannot remove this entry host from the registry; others will remove it")
	}
	a.Logger.Info().Int("requests_cut", cut).Msg("entry host stopped")
}

// running returns the number of requests that are still executed, or whose callers are still connected or may come back
// for their answers.
func (a *App) running() int {
	return int(a.paths.relaying.Load()) + max(a.answers.Running()+a.answers.Unread(a.Clock.Now(), resumeTimeout), a.callers.Open())
}

// wait returns after a duration, or when the context is cancelled.
func (a *App) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.Clock.After(d):
	}
}

// waitUntil returns when a condition holds, after a duration, or when the context is cancelled.
func (a *App) waitUntil(ctx context.Context, d time.Duration, holds func() bool) {
	for end := a.Clock.Now().Add(d); !holds() && a.Clock.Now().Before(end) && ctx.Err() == nil; {
		a.wait(ctx, stopPoll)
	}
}

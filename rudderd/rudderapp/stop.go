package rudderapp

import (
	"context"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderentry"
)

// stopState makes the stop sequence of rudderentry safe for concurrent use.
type stopState struct {
	mu      sync.Mutex
	leaving rudderentry.Shutdown
}

func (s *stopState) takesNewWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.TakesNewWork()
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
}

func (s *stopState) advance(now time.Time, running int) rudderentry.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.Advance(now, running)
}

const (
	// leaveTimeout bounds the removal of this entry host from the registry.
	leaveTimeout = 2 * time.Second
	// stopPoll is the interval at which the requests in flight are checked while stopping.
	stopPoll = 50 * time.Millisecond
)

// stop performs the planned stop of the entry host. It first leaves the list of entry addresses, serves until
// callers with an older list have stopped using it, and then waits for its requests.
func (a *App) stop(ctx context.Context) {
	a.Logger.Info().Dur("lifetime_ms", a.Settings.EntryLifetime).Msg("entry host is shutting down; leaving the list of entry addresses")
	a.stopping.begin(a.Clock.Now(), a.Settings.EntryLifetime, a.Settings.StopGrace)
	a.node.Leave()
	a.node.AdvanceHeartbeat()
	for a.stopping.advance(a.Clock.Now(), a.running()) != rudderentry.PhaseStopped && ctx.Err() == nil {
		a.wait(ctx, stopPoll)
	}
	a.collector.StoreSnapshot(ctx)
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := a.enrolment.Leave(leave); err != nil {
		a.Logger.Warn().Err(err).Msg("cannot remove this entry host from the registry; others will remove it")
	}
	a.Logger.Info().Int("requests_cut", a.running()).Msg("entry host stopped")
}

// running returns the number of requests that are still executed or whose callers are still connected, whichever is
// larger.
func (a *App) running() int { return max(a.answers.Running(), a.callers.InFlight()) }

// wait returns after a duration, or when the context is cancelled.
func (a *App) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.Clock.After(d):
	}
}

package rudderapp

import (
	"context"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderentry"
)

// stopState guards the leaving sequence, which is not safe for concurrent use.
type stopState struct {
	mu      sync.Mutex
	leaving rudderentry.Leaving
}

func (s *stopState) takesNewWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.TakesNewWork()
}

// begun reports that the planned stop has begun.
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
	// leaveTimeout bounds taking this entry host off the registry.
	leaveTimeout = 2 * time.Second
	// stopPoll is the time between two looks at the requests in flight while stopping.
	stopPoll = 50 * time.Millisecond
)

// stop is the planned stop of an entry host. It goes off the list of entries first, serves until
// callers that keep an older list have stopped using it, then waits for its requests.
func (a *App) stop(ctx context.Context) {
	a.Logger.Info().Dur("lifetime_ms", a.Settings.EntryLifetime).Msg("stopping: off the list of entries")
	a.stopping.begin(a.Clock.Now(), a.Settings.EntryLifetime, a.Settings.StopGrace)
	a.node.Leave()
	a.node.AdvanceHeartbeat()
	for a.stopping.advance(a.Clock.Now(), a.running()) != rudderentry.PhaseStopped && ctx.Err() == nil {
		a.wait(ctx, stopPoll)
	}
	a.collector.Keep(ctx)
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := a.enrolment.Leave(leave); err != nil {
		a.Logger.Warn().Err(err).Msg("this entry host stays in the registry until others remove it")
	}
	a.Logger.Info().Int("requests_cut", a.running()).Msg("stopped")
}

// running counts requests whose work or whose caller's connection is not done.
func (a *App) running() int { return max(a.answers.Running(), a.callers.InFlight()) }

// wait returns after a time, or when the context ends.
func (a *App) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.Clock.After(d):
	}
}

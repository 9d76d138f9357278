package rudderapp

import (
	"context"
	"sync/atomic"
	"time"
)

// stopState tells the caller API when the entry host takes no new requests.
type stopState struct {
	noNewRequests atomic.Bool
}

func (s *stopState) closed() bool { return s.noNewRequests.Load() }

// leaveTimeout bounds taking this entry host off the registry.
const leaveTimeout = 2 * time.Second

// stop is the planned stop of an entry host. It goes off the list of entries first, serves until
// callers that keep an older list have stopped using it, then waits for its requests.
func (a *App) stop(ctx context.Context) {
	a.Logger.Info().Dur("lifetime_ms", a.Settings.EntryLifetime).Msg("stopping: off the list of entries")
	a.node.Leave()
	a.node.Touch()
	a.wait(ctx, a.Settings.EntryLifetime)
	a.stopping.noNewRequests.Store(true)
	deadline := a.Clock.Now().Add(a.Settings.StopGrace)
	for a.busy() && a.Clock.Now().Before(deadline) && ctx.Err() == nil {
		a.wait(ctx, stopPoll)
	}
	a.collector.Keep(ctx)
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := a.enrolment.Leave(leave); err != nil {
		a.Logger.Warn().Err(err).Msg("this entry host stays in the registry until others remove it")
	}
	a.Logger.Info().Int("requests_cut", a.answers.Running()).Msg("stopped")
}

// busy tells whether requests are running.
func (a *App) busy() bool { return a.answers.Running() > 0 || a.callers.InFlight() > 0 }

func (a *App) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.Clock.After(d):
	}
}

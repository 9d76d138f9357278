package rudderentry

import "time"

// gossipMargin is the time within which every other entry host has learned by gossip that this one is leaving
// and has stopped ranking it.
const gossipMargin = 5 * time.Second

// Phase is a phase in the life cycle of an entry host.
type Phase string

// Phases, in order.
const (
	// PhaseServing: other entry hosts rank it, and it takes new work.
	PhaseServing Phase = "serving"
	// PhaseLeaving: it is no longer ranked, but still takes new work from callers with a cached ranking.
	PhaseLeaving Phase = "leaving"
	// PhaseDraining: it rejects new work, marked as not executed, and finishes running work.
	PhaseDraining Phase = "draining"
	// PhaseStopped: no work is running or the drain limit has passed. The process may exit.
	PhaseStopped Phase = "stopped"
)

// Shutdown is the state machine of an entry host's graceful shutdown. The zero value is in PhaseServing. It
// is not safe for concurrent use.
type Shutdown struct {
	// RankingTTL is how long callers cache a ranking; 0 means the constant RankingTTL.
	RankingTTL time.Duration

	phase         Phase
	began         time.Time
	drainDeadline time.Time
}

// Begin starts the shutdown. Streams that still run after drainLimit, counted from the end of the callers'
// cached rankings, are cut off; 0 means no limit. A second call has no effect.
func (s *Shutdown) Begin(now time.Time, drainLimit time.Duration) {
	if s.phase != "" {
		return
	}
	s.phase, s.began = PhaseLeaving, now
	if drainLimit > 0 {
		s.drainDeadline = now.Add(s.rankedFor() + drainLimit)
	}
}

// Advance updates and returns the phase. running is the number of running requests and streams.
func (s *Shutdown) Advance(now time.Time, running int) Phase {
	if s.phase == PhaseLeaving && now.Sub(s.began) >= s.rankedFor() {
		s.phase = PhaseDraining
	}
	overdue := !s.drainDeadline.IsZero() && !now.Before(s.drainDeadline)
	if s.phase == PhaseDraining && (running == 0 || overdue) {
		s.phase = PhaseStopped
	}
	return s.Phase()
}

// Phase returns the phase as of the last call of Begin or Advance.
func (s *Shutdown) Phase() Phase {
	if s.phase == "" {
		return PhaseServing
	}
	return s.phase
}

// Listed reports whether this entry host should appear in rankings.
func (s *Shutdown) Listed() bool { return s.Phase() == PhaseServing }

// TakesNewWork reports whether this entry host accepts new requests.
func (s *Shutdown) TakesNewWork() bool {
	return s.Phase() == PhaseServing || s.Phase() == PhaseLeaving
}

// rankedFor is how long after Begin callers may still have a cached ranking that lists this entry host.
func (s *Shutdown) rankedFor() time.Duration {
	if s.RankingTTL > 0 {
		return gossipMargin + s.RankingTTL
	}
	return gossipMargin + RankingTTL
}

package rudderentry

import "time"

// gossipMargin is the time within which every other entry host has learned by gossip that this one is leaving
// and has stopped ranking it.
const gossipMargin = 5 * time.Second

// deliveryMargin is the time between the end of work and its delivery to the caller.
const deliveryMargin = 500 * time.Millisecond

// Phase is a phase in the life cycle of an entry host.
type Phase string

// Phases, in order.
const (
	// PhaseServing: other entry hosts rank it, and it takes new work.
	PhaseServing Phase = "serving"
	// PhaseLeaving: it is no longer ranked, but still takes new work that ends in time from callers with a cached
	// ranking.
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

// TakesNewWork reports whether this entry host accepts new requests, provided that they end in time.
func (s *Shutdown) TakesNewWork() bool {
	return s.Phase() == PhaseServing || s.Phase() == PhaseLeaving
}

// Limit bounds the time at which work ends.
type Limit struct {
	// Deadline is the time at which the work ends at the latest; zero means that it has none.
	Deadline time.Time
	// Duration is the longest time from the start of the work to its end; 0 means that it is unknown.
	Duration time.Duration
}

// Takes reports whether this entry host accepts new work with a limit.
func (s *Shutdown) Takes(now time.Time, work Limit) bool {
	return s.TakesNewWork() && s.MayStart(now, work)
}

// MayStart reports whether work that is started now ends before running work is cut off.
func (s *Shutdown) MayStart(now time.Time, work Limit) bool {
	latest, limited := s.LatestStart(work)
	return !limited || now.Before(latest)
}

// LatestStart returns the time from which on the work must not be started. limited is false if there is none, also
// before Begin.
func (s *Shutdown) LatestStart(work Limit) (latest time.Time, limited bool) {
	if s.drainDeadline.IsZero() {
		return time.Time{}, false
	}
	end := s.drainDeadline.Add(-deliveryMargin)
	if !work.Deadline.IsZero() && !work.Deadline.After(end) {
		return time.Time{}, false
	}
	if work.Duration == 0 {
		return s.began, true
	}
	return end.Add(-work.Duration), true
}

// rankedFor is how long after Begin callers may still have a cached ranking that lists this entry host.
func (s *Shutdown) rankedFor() time.Duration {
	if s.RankingTTL > 0 {
		return gossipMargin + s.RankingTTL
	}
	return gossipMargin + RankingTTL
}

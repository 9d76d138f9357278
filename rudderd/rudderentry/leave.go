package rudderentry

import "time"

// gossipMargin is the time until every entry host has heard that this one leaves, and so no longer
// ranks it.
const gossipMargin = 5 * time.Second

// Phase of an entry host's life.
type Phase string

// Phases, in order.
const (
	// PhaseServing: ranked, takes new work.
	PhaseServing Phase = "serving"
	// PhaseLeaving: not ranked, still takes new work of callers with a cached ranking.
	PhaseLeaving Phase = "leaving"
	// PhaseDraining: refuses new work as not run, finishes what runs.
	PhaseDraining Phase = "draining"
	// PhaseStopped: nothing runs any more, or the drain limit passed. The process may end.
	PhaseStopped Phase = "stopped"
)

// Leaving is the sequence in which an entry host stops. The zero value is serving. It is not safe for
// concurrent use.
type Leaving struct {
	// RankingTTL is how long callers keep a ranking; 0 takes the constant.
	RankingTTL time.Duration

	phase     Phase
	began     time.Time
	drainedBy time.Time
}

// Begin starts the sequence. Streams that still run after drainLimit, counted from the end of the
// caller's rankings, are cut off; 0 waits for all. A second call changes nothing.
func (l *Leaving) Begin(now time.Time, drainLimit time.Duration) {
	if l.phase != "" {
		return
	}
	l.phase, l.began = PhaseLeaving, now
	if drainLimit > 0 {
		l.drainedBy = now.Add(l.listedFor() + drainLimit)
	}
}

// Advance returns the phase at the time now, with running requests and streams.
func (l *Leaving) Advance(now time.Time, running int) Phase {
	if l.phase == PhaseLeaving && now.Sub(l.began) >= l.listedFor() {
		l.phase = PhaseDraining
	}
	overdue := !l.drainedBy.IsZero() && !now.Before(l.drainedBy)
	if l.phase == PhaseDraining && (running == 0 || overdue) {
		l.phase = PhaseStopped
	}
	return l.Phase()
}

// Phase is the phase found by the last Advance.
func (l *Leaving) Phase() Phase {
	if l.phase == "" {
		return PhaseServing
	}
	return l.phase
}

// Listed reports whether other entry hosts should rank this one.
func (l *Leaving) Listed() bool { return l.Phase() == PhaseServing }

// TakesNewWork reports whether a new request is taken.
func (l *Leaving) TakesNewWork() bool {
	return l.Phase() == PhaseServing || l.Phase() == PhaseLeaving
}

// listedFor is how long after the begin callers may still hold a ranking with this entry host.
func (l *Leaving) listedFor() time.Duration {
	if l.RankingTTL > 0 {
		return gossipMargin + l.RankingTTL
	}
	return gossipMargin + RankingTTL
}

// Package rudderlimit keeps the request rates that targets name as the most that they take from all entry hosts together.
// The package does no I/O.
package rudderlimit

import (
	"sync"
	"time"
)

const (
	// maxTargets bounds the number of targets whose limits are kept; a large fleet stays below it.
	maxTargets = 4096
	// retention is how long the state of a target is kept without news of it. It is long, because a limit ends with an
	// answer, which comes soon where there is demand.
	retention = 10 * time.Minute
)

// Process identifies one incarnation of a target.
type Process struct {
	Target string
	// Born is the Unix millisecond at which the process started.
	Born int64
}

// Change says how an observation has changed what is known of a target.
type Change int

// Changes of the limit of a target.
const (
	Unchanged Change = iota
	Began
	Raised
	Lowered
	Ended
)

// String returns the name of a change, for logs and metrics.
func (c Change) String() string {
	return [...]string{"unchanged", "began", "raised", "lowered", "ended"}[c]
}

// Table holds the limits of targets. It is safe for concurrent use. Times are uptimes of the entry host.
type Table struct {
	// Uptime is the clock for limits that end by themselves, see SetCold; optional.
	Uptime func() time.Duration

	mu      sync.Mutex
	targets map[string]*state
	// hosts is the largest number of entry hosts since hostsAt.
	hosts   int
	hostsAt time.Duration
}

// state is what is known of the limit of one process.
type state struct {
	born    int64
	limited bool
	rate    float64       // requests per second
	namedAt time.Duration // when an answer last named the limit
	knownAt time.Duration // when the newest observation was made, which may be the end of the limit
	usage   Usage

	coldRate  float64       // requests per second while the process is cold
	coldUntil time.Duration // when that ends

	permits bucket                       // of all entry hosts, on the one that grants them
	askedAt [urgencyLevels]time.Duration // when requests of each urgency last asked for a permit
	share   bucket                       // of this entry host, for requests without a permit
	probes  bucket                       // of all entry hosts, for requests for a report
	// unreported is the number of requests that were sent without a permit and are not deducted from permits yet.
	unreported int
}

// Name records that an answer has named a limit, in requests per second.
func (t *Table) Name(p Process, rate float64, now time.Duration) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.enter(p, now)
	if s == nil {
		return Unchanged
	}
	change := s.changeTo(rate)
	s.limited, s.rate, s.namedAt, s.knownAt = true, rate, now, now
	return change
}

func (s *state) changeTo(rate float64) Change {
	switch {
	case !s.limited:
		return Began
	case rate > s.rate:
		return Raised
	case rate < s.rate:
		return Lowered
	}
	return Unchanged
}

// NameNone records that an answer names no limit. It ends a limit only if the request was sent after the limit was last
// named: answers on different connections overtake each other.
func (t *Table) NameNone(p Process, sentAt, now time.Duration) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(p)
	if s == nil || sentAt <= s.namedAt {
		return Unchanged
	}
	was := s.limited
	s.limited, s.knownAt = false, now
	if !was {
		return Unchanged
	}
	return Ended
}

// Empty reports whether no target is known to name a limit or to have named one lately.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.targets) == 0
}

// Limited reports whether a process has a limit that has not ended.
func (t *Table) Limited(p Process) bool {
	_, limited := t.Rate(p)
	return limited
}

// Rate returns the limit of a process in requests per second, at least the rate at which it is tried; limited is false if
// it has none.
func (t *Table) Rate(p Process) (rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(p)
	if s == nil {
		return 0, false
	}
	if rate, limited = s.limit(t.now()); !limited {
		return 0, false
	}
	return effective(rate), true
}

// Prune drops the targets of which there is no news.
func (t *Table) Prune(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
}

func (t *Table) prune(now time.Duration) {
	for name, s := range t.targets {
		if now-s.knownAt > retention && !s.cold(now) {
			delete(t.targets, name)
		}
	}
}

func (t *Table) find(p Process) *state {
	s := t.targets[p.Target]
	if s == nil || s.born != p.Born {
		return nil
	}
	return s
}

// enter returns the state of a process and creates it if necessary. It returns nil for a process that has ended, and if
// maxTargets is reached.
func (t *Table) enter(p Process, now time.Duration) *state {
	s := t.targets[p.Target]
	switch {
	case s != nil && s.born == p.Born:
		return s
	case s != nil && s.born > p.Born:
		return nil
	case s == nil && len(t.targets) >= maxTargets:
		if t.prune(now); len(t.targets) >= maxTargets {
			return nil
		}
	}
	if t.targets == nil {
		t.targets = map[string]*state{}
	}
	s = &state{born: p.Born, knownAt: now}
	t.targets[p.Target] = s
	return s
}

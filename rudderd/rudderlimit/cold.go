package rudderlimit

import (
	"math"
	"time"
)

// SetCold records that a process takes at most rate requests per second until an uptime, because it has started or has lost its
// caches. The limit ends by itself and holds beside one that the process names; the lower one applies. It is only known to tables
// with Uptime. An end that is not after now, or a rate of 0, ends it.
func (t *Table) SetCold(p Process, rate float64, until, now time.Duration) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(p)
	if s == nil {
		if until <= now || rate <= 0 {
			return Unchanged
		}
		if s = t.enter(p, now); s == nil {
			return Unchanged
		}
		s.knownAt = 0 // older than any answer or report about a limit that the process names
	}
	was := s.cold(now)
	s.coldRate, s.coldUntil = rate, until
	switch is := s.cold(now); {
	case is && !was:
		return Began
	case was && !is:
		return Ended
	}
	return Unchanged
}

func (s *state) cold(now time.Duration) bool { return s.coldUntil > now && s.coldRate > 0 }

// limit returns the rate that applies, in requests per second; limited is false if none does.
func (s *state) limit(now time.Duration) (rate float64, limited bool) {
	rate = math.Inf(1)
	if s.limited {
		rate, limited = s.rate, true
	}
	if s.cold(now) {
		rate, limited = min(rate, s.coldRate), true
	}
	return rate, limited
}

// applies reports whether any limit applies.
func (s *state) applies(now time.Duration) bool { return s.limited || s.cold(now) }

// now returns the uptime, or the end of time without Uptime, at which no process is cold.
func (t *Table) now() time.Duration {
	if t.Uptime == nil {
		return math.MaxInt64
	}
	return t.Uptime()
}

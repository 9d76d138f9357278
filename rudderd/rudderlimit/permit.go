package rudderlimit

import (
	"math/rand/v2"
	"time"
)

const (
	// burstTime is for how long unused permits are saved up, beyond the first one.
	burstTime = 500 * time.Millisecond
	// idleTime is the time without a question after which no more than one permit is left of those saved up: another
	// entry host may have granted permits meanwhile.
	idleTime = time.Second
	// minRate is the rate, in requests per second, at which a target that takes none is tried. Without an answer nobody
	// would learn that its limit has ended.
	minRate = 0.2
	// urgencyLevels is the number of levels of urgency; level 0 is the most urgent.
	urgencyLevels = 10
	// demandTime is how long a question counts as demand of its urgency.
	demandTime = 2 * time.Second
	// reservedShare is the part of the saved permits that is kept for more urgent requests.
	reservedShare = 0.7
	// hostsTime is how long the largest number of entry hosts is remembered. Registrations lapse and come back in an outage
	// of the key-value service.
	hostsTime = 30 * time.Second
)

// bucket is a token bucket. One token permits one request.
type bucket struct {
	tokens  float64
	at      time.Duration // uptime to which tokens have been added
	started bool
}

func (b *bucket) fill(rate, capacity float64, now time.Duration) {
	b.tokens = min(capacity, b.tokens+rate*max(now-b.at, 0).Seconds())
	b.at = max(b.at, now)
}

func effective(rate float64) float64 { return max(rate, minRate) }

func capacity(rate float64) float64 { return 1 + effective(rate)*burstTime.Seconds() }

// Wait returns how long a request of an urgency must wait for a permit, 0 if it can have one now or if the process names no
// limit. It is asked by the entry host that grants the permits of all.
func (t *Table) Wait(p Process, urgency int, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(p)
	if s == nil {
		return 0
	}
	rate, limited := s.limit(now)
	if !limited {
		return 0
	}
	s.fillPermits(rate, now)
	urgency = min(max(urgency, 0), urgencyLevels-1)
	s.askedAt[urgency] = now
	missing := 1 + s.reserved(rate, urgency, now) - s.permits.tokens
	return max(time.Duration(missing/effective(rate)*float64(time.Second)), 0)
}

// fillPermits adds the permits that have become free. The first ones become free with time, because the other entry hosts
// have sent requests without a permit until the limit was known, or had permits of an earlier owner.
func (s *state) fillPermits(rate float64, now time.Duration) {
	if !s.permits.started {
		s.permits = bucket{at: now, started: true}
	}
	if now-s.permits.at > idleTime {
		s.permits.tokens, s.permits.at = min(s.permits.tokens, 1), now-idleTime
	}
	s.permits.fill(effective(rate), capacity(rate), now)
	s.permits.tokens = max(s.permits.tokens-float64(s.unreported), -capacity(rate))
	s.unreported = 0
}

// reserved returns the permits that are kept for requests which are more urgent.
func (s *state) reserved(rate float64, urgency int, now time.Duration) float64 {
	levels, above := 0, 0
	for level, at := range s.askedAt {
		if at > 0 && now-at <= demandTime {
			levels++
			if level < urgency {
				above++
			}
		}
	}
	if above == 0 {
		return 0
	}
	return reservedShare * (capacity(rate) - 1) * float64(above) / float64(levels-1)
}

// Take takes a permit, after Wait has returned 0.
func (t *Table) Take(p Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.find(p); s != nil && s.applies(t.now()) {
		s.permits.tokens--
	}
}

// HasShare reports whether this entry host may send a request to a process without a permit, because the entry host that
// grants them does not answer. Each host has an equal share of the limit then.
func (t *Table) HasShare(p Process, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(p)
	return s == nil || !s.applies(now) || s.fillShare(now, t.hosts)
}

// TakeShare takes a request from this entry host's share of the limit. It reports whether one was left.
func (t *Table) TakeShare(p Process, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(p)
	if s == nil || !s.applies(now) {
		return true
	}
	if !s.fillShare(now, t.hosts) {
		return false
	}
	s.share.tokens--
	s.unreported++
	return true
}

// fillShare adds what has become free and reports whether a request may be sent. It starts at a random part of a request:
// hundreds of hosts that each started with a whole one would send all of them at once.
func (s *state) fillShare(now time.Duration, hosts int) bool {
	if !s.share.started || now-s.share.at > hostsTime {
		s.share = bucket{tokens: rand.Float64(), at: now, started: true}
	}
	rate, _ := s.limit(now)
	s.share.fill(effective(rate)/float64(max(hosts, 1)), 1, now)
	return s.share.tokens >= 1
}

// SetHosts sets the number of entry hosts that share the limits.
func (t *Table) SetHosts(hosts int, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if hosts >= t.hosts || now-t.hostsAt > hostsTime {
		t.hosts, t.hostsAt = hosts, now
	}
}

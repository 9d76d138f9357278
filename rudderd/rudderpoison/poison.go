// Package rudderpoison detects poison requests, which crash the targets that run them. It counts the deaths of
// groups against the requests in flight there. It does no I/O; callers pass the time.
package rudderpoison

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DomainLossWindow is the time within which the deaths of two groups of one fabric domain count as the loss
	// of the domain.
	DomainLossWindow = 2 * time.Second
	// refusalThreshold is the number of counted deaths after which a request is refused.
	refusalThreshold = 2
	// deathTTL is how long a death is kept.
	deathTTL = 30 * time.Minute
	// defaultMaxDeaths bounds the number of deaths kept; each takes about 200 bytes.
	defaultMaxDeaths = 8192
)

// Fingerprint identifies a request by its workspace and body, so that all attempts of a request share it.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(workspace string, body []byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// Death records that a group died and which requests were in flight there. Entry hosts exchange deaths as JSON.
type Death struct {
	// Group IDs are unique over time, so a group dies once.
	Group string `json:"group"`
	// Domain is empty if the death is known not to be part of a domain loss.
	Domain string `json:"domain"`
	// AtUnixMS is when the death was detected, in milliseconds since the Unix epoch.
	AtUnixMS int64         `json:"at_unix_ms"`
	InFlight []Fingerprint `json:"in_flight,omitempty"`
}

func (d *Death) detectedAt() time.Time { return time.UnixMilli(d.AtUnixMS) }

// Verdict classifies a request by the deaths counted against it.
type Verdict int

// Verdicts.
const (
	Clear   Verdict = iota // no counted death
	Suspect                // one counted death
	Poison                 // at least refusalThreshold counted deaths; the request is refused
)

// Tracker counts deaths against requests. It keeps the deaths and counts them on each query, so that a death
// that turns out later to be part of a domain loss is no longer counted. It is not safe for concurrent use.
type Tracker struct {
	maxDeaths int
	deaths    map[string]*Death        // by group
	domains   map[string][]*Death      // by domain
	requests  map[Fingerprint][]*Death // by request in flight
}

// NewTracker returns an empty tracker that keeps up to maxDeaths deaths; 0 means defaultMaxDeaths.
func NewTracker(maxDeaths int) *Tracker {
	if maxDeaths <= 0 {
		maxDeaths = defaultMaxDeaths
	}
	return &Tracker{
		maxDeaths: maxDeaths, deaths: map[string]*Death{}, domains: map[string][]*Death{},
		requests: map[Fingerprint][]*Death{},
	}
}

// Record adds deaths that this or another entry host detected. Entry hosts see different requests in flight
// on the same group, so reports of one group are merged, with the earliest time. Record is idempotent and its
// result does not depend on the order of reports.
func (t *Tracker) Record(now time.Time, deaths ...Death) {
	for _, d := range deaths {
		if now.Sub(d.detectedAt()) > deathTTL {
			continue
		}
		known := t.deaths[d.Group]
		if known == nil {
			known = &Death{Group: d.Group, Domain: d.Domain, AtUnixMS: d.AtUnixMS}
			t.deaths[d.Group] = known
			t.domains[d.Domain] = append(t.domains[d.Domain], known)
		}
		known.AtUnixMS = min(known.AtUnixMS, d.AtUnixMS)
		for _, f := range d.InFlight {
			if !slices.Contains(known.InFlight, f) {
				known.InFlight = append(known.InFlight, f)
				t.requests[f] = append(t.requests[f], known)
			}
		}
	}
	t.expire(now)
}

// expire removes deaths older than deathTTL, and the oldest ones above maxDeaths.
func (t *Tracker) expire(now time.Time) {
	var excess []*Death
	for _, d := range t.deaths {
		excess = append(excess, d)
	}
	slices.SortFunc(excess, func(a, b *Death) int {
		if a.AtUnixMS != b.AtUnixMS {
			return int(a.AtUnixMS - b.AtUnixMS)
		}
		return strings.Compare(a.Group, b.Group)
	})
	for i, d := range excess {
		if now.Sub(d.detectedAt()) > deathTTL || len(excess)-i > t.maxDeaths {
			t.remove(d)
		}
	}
}

func (t *Tracker) remove(d *Death) {
	same := func(other *Death) bool { return other == d }
	delete(t.deaths, d.Group)
	if t.domains[d.Domain] = slices.DeleteFunc(t.domains[d.Domain], same); len(t.domains[d.Domain]) == 0 {
		delete(t.domains, d.Domain)
	}
	for _, f := range d.InFlight {
		if t.requests[f] = slices.DeleteFunc(t.requests[f], same); len(t.requests[f]) == 0 {
			delete(t.requests, f)
		}
	}
}

// isDomainLoss reports whether another group of the domain died within DomainLossWindow of this one.
func (t *Tracker) isDomainLoss(d *Death) bool {
	return d.Domain != "" && slices.ContainsFunc(t.domains[d.Domain], func(other *Death) bool {
		return other != d && other.detectedAt().Sub(d.detectedAt()).Abs() <= DomainLossWindow
	})
}

// DeathCount returns the number of deaths counted against a request; those in a domain loss do not count.
func (t *Tracker) DeathCount(f Fingerprint) int {
	n := 0
	for _, d := range t.requests[f] {
		if !t.isDomainLoss(d) {
			n++
		}
	}
	return n
}

// Verdict classifies a request by its DeathCount.
func (t *Tracker) Verdict(f Fingerprint) Verdict {
	switch n := t.DeathCount(f); {
	case n >= refusalThreshold:
		return Poison
	case n > 0:
		return Suspect
	}
	return Clear
}

// RetryAfter returns the time until the newest death that counts against a request expires.
func (t *Tracker) RetryAfter(now time.Time, f Fingerprint) time.Duration {
	var left time.Duration
	for _, d := range t.requests[f] {
		if !t.isDomainLoss(d) {
			left = max(left, deathTTL-now.Sub(d.detectedAt()))
		}
	}
	return left
}

// Forgive drops what is recorded against a request, because a target has begun its answer and lives.
func (t *Tracker) Forgive(f Fingerprint) {
	for _, d := range t.requests[f] {
		d.InFlight = slices.DeleteFunc(d.InFlight, func(x Fingerprint) bool { return x == f })
	}
	delete(t.requests, f)
}

// CanColocate reports whether a request may be placed on a group that runs the others. Two suspected requests
// are kept apart, because the next death would otherwise count against both.
func (t *Tracker) CanColocate(f Fingerprint, running []Fingerprint) bool {
	if t.Verdict(f) == Clear {
		return true
	}
	return !slices.ContainsFunc(running, func(other Fingerprint) bool {
		return other != f && t.Verdict(other) != Clear
	})
}

// AvoidedDomains returns the domains in which a group died within DomainLossWindow with the request in flight. The next
// attempt should use another domain: a second death in the same domain within the window would look like the loss of the
// domain and would never count.
func (t *Tracker) AvoidedDomains(now time.Time, f Fingerprint) []string {
	var domains []string
	for _, d := range t.requests[f] {
		if now.Sub(d.detectedAt()) <= DomainLossWindow && !slices.Contains(domains, d.Domain) {
			domains = append(domains, d.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// Snapshot returns all recorded deaths, oldest first, for an entry host that has just started.
func (t *Tracker) Snapshot() []Death {
	deaths := make([]Death, 0, len(t.deaths))
	for _, d := range t.deaths {
		known := *d
		known.InFlight = slices.Clone(d.InFlight)
		deaths = append(deaths, known)
	}
	slices.SortFunc(deaths, func(a, b Death) int {
		if a.AtUnixMS != b.AtUnixMS {
			return int(a.AtUnixMS - b.AtUnixMS)
		}
		return strings.Compare(a.Group, b.Group)
	})
	return deaths
}

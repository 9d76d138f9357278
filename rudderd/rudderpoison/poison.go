// Package rudderpoison finds requests that crash the targets that run them. It does no I/O; callers
// pass the time in.
package rudderpoison

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DomainLossWindow is the time within which the deaths of two groups of one fabric domain count
	// as the loss of the domain.
	DomainLossWindow = 2 * time.Second
	// refuseAfter is the number of counted deaths after which a request is refused.
	refuseAfter = 2
	// ttl is how long a death is remembered.
	ttl = 30 * time.Minute
	// defaultMaxDeaths bounds the memory; a death takes about 200 bytes.
	defaultMaxDeaths = 8192
)

// Fingerprint identifies a request by its workspace and body, however often it is sent.
type Fingerprint uint64

// FingerprintOf hashes a request.
func FingerprintOf(workspace string, body []byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// Death says that a group died, and which requests it was running. It is sent to other entry hosts.
type Death struct {
	// Group IDs are unique over time, so a group dies once.
	Group  string `json:"group"`
	Domain string `json:"domain"`
	// AtUnixMS is when the death was noticed, in milliseconds since the Unix epoch.
	AtUnixMS int64         `json:"at_unix_ms"`
	InFlight []Fingerprint `json:"in_flight,omitempty"`
}

func (d *Death) at() time.Time { return time.UnixMilli(d.AtUnixMS) }

// Verdict on a request.
type Verdict int

// Verdicts.
const (
	Clear   Verdict = iota // no counted death
	Suspect                // one counted death
	Poison                 // refused
)

// Tracker counts deaths against requests. Deaths are kept as facts and counted when asked for, so
// that a death which later turns out to be part of a domain loss is no longer counted. It is not
// safe for concurrent use.
type Tracker struct {
	maxDeaths int
	deaths    map[string]*Death        // by group
	domains   map[string][]*Death      // by domain
	requests  map[Fingerprint][]*Death // by request in flight
}

// NewTracker returns an empty tracker bounded to a number of deaths; 0 takes the default.
func NewTracker(maxDeaths int) *Tracker {
	if maxDeaths <= 0 {
		maxDeaths = defaultMaxDeaths
	}
	return &Tracker{
		maxDeaths: maxDeaths, deaths: map[string]*Death{}, domains: map[string][]*Death{},
		requests: map[Fingerprint][]*Death{},
	}
}

// Record adds deaths that this or another entry host noticed. Entry hosts see different requests in
// flight on the same group, so reports of one group are joined; the earliest time stays. Recording
// a death again, in any order, changes nothing.
func (t *Tracker) Record(now time.Time, deaths ...Death) {
	for _, d := range deaths {
		if now.Sub(d.at()) > ttl {
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

// expire forgets old deaths, and the oldest ones beyond the bound.
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
		if now.Sub(d.at()) > ttl || len(excess)-i > t.maxDeaths {
			t.forget(d)
		}
	}
}

func (t *Tracker) forget(d *Death) {
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

// domainLoss reports whether another group of the domain died within DomainLossWindow.
func (t *Tracker) domainLoss(d *Death) bool {
	return slices.ContainsFunc(t.domains[d.Domain], func(other *Death) bool {
		return other != d && other.at().Sub(d.at()).Abs() <= DomainLossWindow
	})
}

// Deaths is the number of deaths counted against a request.
func (t *Tracker) Deaths(f Fingerprint) int {
	n := 0
	for _, d := range t.requests[f] {
		if !t.domainLoss(d) {
			n++
		}
	}
	return n
}

// Verdict returns the verdict on a request.
func (t *Tracker) Verdict(f Fingerprint) Verdict {
	switch n := t.Deaths(f); {
	case n >= refuseAfter:
		return Poison
	case n > 0:
		return Suspect
	}
	return Clear
}

// CanColocate reports whether a request may be placed on a group that runs the others: two suspected
// requests are kept apart, else the next death would count against both.
func (t *Tracker) CanColocate(f Fingerprint, running []Fingerprint) bool {
	if t.Verdict(f) == Clear {
		return true
	}
	return !slices.ContainsFunc(running, func(other Fingerprint) bool {
		return other != f && t.Verdict(other) != Clear
	})
}

// FailedDomains lists the domains in which groups died with the request in flight. The next attempt goes
// elsewhere if it can: a second death in the same domain within the window would look like the loss
// of the domain and would never count.
func (t *Tracker) FailedDomains(f Fingerprint) []string {
	var domains []string
	for _, d := range t.requests[f] {
		if !slices.Contains(domains, d.Domain) {
			domains = append(domains, d.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// Known returns all remembered deaths, oldest first, for an entry host that has just started.
func (t *Tracker) Known() []Death {
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

package rudderfleet

import (
	"slices"
	"time"

	"comfreyrudder.example/shared/ruddergroup"
)

// SetFollowed sets the fabric domains whose confirmations this entry host keeps up to date. For other domains
// Groups, Stranded and ServingCounts rely on the plans; Serving needs confirmations for every domain. Until
// the first call all domains are followed.
func (f *Fleet) SetFollowed(domains map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followed = domains
}

func (f *Fleet) follows(domain string) bool { return f.followed == nil || f.followed[domain] }

// reason returns why a group that is serving according to its plan takes no new work, or "" if it does.
func (f *Fleet) reason(now time.Time, p ruddergroup.Plan, g ruddergroup.Group) Reason {
	_, reason := f.confirmed(now, g)
	if f.follows(p.Domain) || !f.unconfirmed(now, p, g) {
		return reason
	}
	return ""
}

// Unconfirmed reports whether a group that is serving according to its plan lacks a recent report from some
// member while no known report contradicts the plan. An entry host that follows the group's domain may be
// able to confirm it.
func (f *Fleet) Unconfirmed(now time.Time, domain string, g ruddergroup.Group) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.unconfirmed(now, f.plans[domain], g)
}

func (f *Fleet) unconfirmed(now time.Time, p ruddergroup.Plan, g ruddergroup.Group) bool {
	ttl := f.ConfirmTTL
	if ttl == 0 {
		ttl = DefaultConfirmTTL
	}
	missing := false
	for rank, m := range g.Members {
		if slices.Contains(p.Unresponsive, m.Host) {
			return false
		}
		c, ok := f.confirmations[m.Host]
		if !ok || now.Sub(c.At) >= ttl {
			missing = true
			continue
		}
		if contradiction(g, rank, c.Status) != "" {
			return false
		}
	}
	return missing
}

// Silent returns the hosts that do not answer according to the plans.
func (f *Fleet) Silent() map[string]bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := map[string]bool{}
	for _, p := range f.plans {
		for _, h := range p.Unresponsive {
			out[h] = true
		}
	}
	return out
}

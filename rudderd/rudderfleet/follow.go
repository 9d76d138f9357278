package rudderfleet

import (
	"slices"
	"time"

	"comfreyrudder.example/shared/ruddergroup"
)

// SetFollowed names the domains whose confirmations this entry host keeps fresh. Reports of groups in
// other domains go by their plans. Serving always needs confirmations. Without a call all domains are
// followed.
func (f *Fleet) SetFollowed(domains map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followed = domains
}

func (f *Fleet) follows(domain string) bool { return f.followed == nil || f.followed[domain] }

// why judges a group that its plan lists as serving.
func (f *Fleet) why(now time.Time, p ruddergroup.Plan, g ruddergroup.Group) Reason {
	_, why := f.confirmed(now, g)
	if f.follows(p.Domain) || !f.unconfirmed(now, p, g) {
		return why
	}
	return ""
}

// Unconfirmed reports that a group which its plan lists as serving lacks a fresh report of some member,
// while nothing known here contradicts the plan. An entry host that follows the group may confirm it.
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
		if slices.Contains(p.Silent, m.Host) {
			return false
		}
		c, ok := f.confirmations[m.Host]
		if !ok || now.Sub(c.At) >= ttl {
			missing = true
			continue
		}
		if disagrees(g, rank, c.Status) != "" {
			return false
		}
	}
	return missing
}

// Silent returns the hosts that the plans name as not answering.
func (f *Fleet) Silent() map[string]bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := map[string]bool{}
	for _, p := range f.plans {
		for _, h := range p.Silent {
			out[h] = true
		}
	}
	return out
}

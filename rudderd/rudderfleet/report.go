package rudderfleet

import (
	"slices"
	"strings"
	"time"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
)

// Reason says why a group takes no new work. The empty value means that it does.
type Reason string

// Reasons why a group takes no new work.
const (
	WhyLoading   Reason = "loading"          // the plan says loading
	WhyDraining  Reason = "draining"         // the plan says draining
	WhyNoReport  Reason = "no_report"        // a member has not reported yet
	WhyOldReport Reason = "old_report"       // a member's last report is too old
	WhyRestarted Reason = "member_restarted" // a member's process is another one
	WhyLeaving   Reason = "member_leaving"
	WhyOtherRole Reason = "other_role" // a member reports another group, another rank or none
	WhyNotReady  Reason = "not_ready"
)

// GroupReport is one group of a plan with the reason why it does not serve.
type GroupReport struct {
	ruddergroup.Group
	Domain string
	Why    Reason
}

// Groups returns all groups of all plans by domain and identifier.
func (f *Fleet) Groups(now time.Time) []GroupReport {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.groups(now)
}

func (f *Fleet) groups(now time.Time) []GroupReport {
	var out []GroupReport
	for domain, p := range f.plans {
		for _, g := range p.Groups {
			r := GroupReport{Group: g, Domain: domain}
			switch g.State {
			case ruddergroup.StateLoading:
				r.Why = WhyLoading
			case ruddergroup.StateDraining:
				r.Why = WhyDraining
			default:
				r.Why = f.why(now, p, g)
			}
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b GroupReport) int {
		if c := strings.Compare(a.Domain, b.Domain); c != 0 {
			return c
		}
		return compareGroups(a.Group, b.Group)
	})
	return out
}

// Stranded returns, in name order, the hosts that reported within ConfirmTTL, or that the plan of a domain
// that is not followed does not name as silent, and that are in no group that takes new work.
func (f *Fleet) Stranded(now time.Time, hosts []rudderhost.Host) []rudderhost.Host {
	f.mu.RLock()
	defer f.mu.RUnlock()
	ttl := f.ConfirmTTL
	if ttl == 0 {
		ttl = DefaultConfirmTTL
	}
	working := map[string]bool{}
	for _, g := range f.groups(now) {
		if g.Why == "" {
			for _, m := range g.Members {
				working[m.Host] = true
			}
		}
	}
	var out []rudderhost.Host
	for _, h := range hosts {
		c, ok := f.confirmations[h.Name]
		up := ok && now.Sub(c.At) < ttl
		if p, planned := f.plans[h.FabricDomain]; planned && !f.follows(h.FabricDomain) {
			up = !slices.Contains(p.Silent, h.Name)
		}
		if up && !working[h.Name] {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b rudderhost.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ServingCounts returns the number of groups by selector that take new work.
func (f *Fleet) ServingCounts(now time.Time) map[string]int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.servingCounts(now)
}

func (f *Fleet) servingCounts(now time.Time) map[string]int {
	out := map[string]int{}
	for _, g := range f.groups(now) {
		if g.Why == "" {
			out[g.Selector]++
		}
	}
	return out
}

// OldestReport returns the largest age of the reports of the members of a domain's serving groups.
// Members that never reported are left out.
func (f *Fleet) OldestReport(now time.Time, domain string) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var oldest time.Duration
	for _, g := range f.plans[domain].Groups {
		if g.State != ruddergroup.StateServing {
			continue
		}
		for _, m := range g.Members {
			if c, ok := f.confirmations[m.Host]; ok {
				oldest = max(oldest, now.Sub(c.At))
			}
		}
	}
	return oldest
}

// accounting sums group downtime.
type accounting struct {
	last    time.Time
	missing map[string]int
	sum     map[string]time.Duration
}

// SampleDowntime adds the time since the last sample, times the groups that were missing then, to the
// downtime of each selector. wanted is the number of groups by selector that should serve now.
func (f *Fleet) SampleDowntime(now time.Time, wanted map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &f.downtime
	if a.sum == nil {
		a.sum = map[string]time.Duration{}
	}
	if passed := now.Sub(a.last); !a.last.IsZero() && passed > 0 {
		for s, n := range a.missing {
			a.sum[s] += passed * time.Duration(n)
		}
	}
	serving := f.servingCounts(now)
	a.last, a.missing = now, map[string]int{}
	for s, n := range wanted {
		a.missing[s] = max(0, n-serving[s])
	}
}

// Downtime returns the group downtime by selector: the sum over missing groups of the time missed.
func (f *Fleet) Downtime() map[string]time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make(map[string]time.Duration, len(f.downtime.sum))
	for s, d := range f.downtime.sum {
		out[s] = d
	}
	return out
}

func compareGroups(a, b ruddergroup.Group) int { return strings.Compare(a.ID, b.ID) }

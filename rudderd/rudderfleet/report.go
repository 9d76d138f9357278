package rudderfleet

import (
	"slices"
	"strings"
	"time"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
)

// Reason is why a group takes no new work. The empty value means that it takes new work.
type Reason string

// Reasons why a group takes no new work.
const (
	ReasonLoading   Reason = "loading"          // plan state
	ReasonDraining  Reason = "draining"         // plan state
	ReasonNoReport  Reason = "no_report"        // a member has not reported yet
	ReasonOldReport Reason = "old_report"       // a member's last report is too old
	ReasonRestarted Reason = "member_restarted" // a member's process is not the planned one
	ReasonLeaving   Reason = "member_leaving"
	ReasonOtherRole Reason = "other_role" // a member reports another group, another rank or none
	ReasonNotReady  Reason = "not_ready"
	ReasonEvacuated Reason = "evacuated" // operators have evacuated its data centre
)

// GroupReport is a group of a plan with the reason why it takes no new work.
type GroupReport struct {
	ruddergroup.Group
	Domain           string
	DataCentre       string
	NotServingReason Reason
}

// Groups returns all groups of all plans, sorted by fabric domain and identifier.
func (f *Fleet) Groups(now time.Time) []GroupReport {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.groups(now)
}

func (f *Fleet) groups(now time.Time) []GroupReport {
	var out []GroupReport
	for domain, p := range f.plans {
		for _, g := range p.Groups {
			r := GroupReport{Group: g, Domain: domain, DataCentre: p.DataCentre}
			switch {
			case f.isEvacuated(p.DataCentre):
				r.NotServingReason = ReasonEvacuated
			case g.State == ruddergroup.StateLoading:
				r.NotServingReason = ReasonLoading
			case g.State == ruddergroup.StateDraining:
				r.NotServingReason = ReasonDraining
			default:
				r.NotServingReason = f.reason(now, p, g)
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

// Stranded returns the hosts that are up but in no group that takes new work, sorted by name. A host is up if
// it has reported within ConfirmTTL or, in a domain that is not followed, if the plan does not list it as
// unresponsive. Hosts of evacuated data centres are not stranded: they are meant to be idle.
func (f *Fleet) Stranded(now time.Time, hosts []rudderhost.Host) []rudderhost.Host {
	f.mu.RLock()
	defer f.mu.RUnlock()
	ttl := f.ConfirmTTL
	if ttl == 0 {
		ttl = DefaultConfirmTTL
	}
	working := map[string]bool{}
	for _, g := range f.groups(now) {
		if g.NotServingReason == "" {
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
			up = !slices.Contains(p.Unresponsive, h.Name)
		}
		if up && !working[h.Name] && !f.isEvacuated(h.DataCentre) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b rudderhost.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ServingCounts returns the number of groups that take new work, by selector.
func (f *Fleet) ServingCounts(now time.Time) map[string]int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.servingCounts(now)
}

func (f *Fleet) servingCounts(now time.Time) map[string]int {
	out := map[string]int{}
	for _, g := range f.groups(now) {
		if g.NotServingReason == "" {
			out[g.Selector]++
		}
	}
	return out
}

// OldestReport returns the age of the oldest report among the members of the serving groups of a fabric
// domain. Members that have never reported are ignored.
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

// accounting accumulates group downtime.
type accounting struct {
	last    time.Time
	missing map[string]int
	sum     map[string]time.Duration
}

// SampleDowntime adds to the downtime of each selector the time since the last sample multiplied by the
// number of groups that were missing at that sample. wanted is the number of groups that should serve now, by
// selector.
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

// Downtime returns the accumulated downtime by selector. Each missing group counts separately.
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

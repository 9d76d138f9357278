package rudderbench

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/ruddertarget"
)

// dayPolicy is a variant of the planner.
type dayPolicy struct {
	name string
	// allocate returns the wanted groups by selector and fabric domain; nil uses the planner's own allocation.
	allocate func(rudderallocator.AllocationInput) rudderallocator.Allocation
	// reformDomain drops all groups of a fabric domain when a member of one of them died.
	reformDomain bool
	// ignoreExisting computes the allocation without regard to existing groups.
	ignoreExisting bool
}

var (
	dayCurrent        = dayPolicy{name: "now"}
	dayFirstFit       = dayPolicy{name: "first fit", allocate: rudderallocator.FirstFit}
	dayIgnoreExisting = dayPolicy{name: "division without held groups", ignoreExisting: true}
	dayReform         = dayPolicy{name: "re-form the whole domain", reformDomain: true}
)

// advanceResponses removes the responses that have ended and starts new ones on the groups that serve.
func (w *daySimulation) advanceResponses(step time.Duration) {
	w.responses = slices.DeleteFunc(w.responses, func(a dayResponse) bool { return !a.end.After(w.now) })
	for _, d := range w.domains {
		for _, g := range w.plans[d].Groups {
			if g.State != ruddergroup.StateServing || !w.ready(g) {
				continue
			}
			for range w.arrivals(step) {
				a := dayResponse{group: g.ID, end: w.now.Add(w.responseDuration())}
				for _, m := range g.Members {
					a.members = append(a.members, w.byName[m.Host])
				}
				a.leader = a.members[0]
				w.responses = append(w.responses, a)
			}
		}
	}
}

// arrivals draws the number of responses that begin in a step. A long step counts only its last seconds, since
// short responses that began earlier are over by its end.
func (w *daySimulation) arrivals(step time.Duration) int {
	n := 0
	for range int(min(step, dayShortResponse) / time.Second) {
		if w.rng.Float64() < dayResponsesPerSecond {
			n++
		}
	}
	return n
}

func (w *daySimulation) responseDuration() time.Duration {
	mean := dayShortResponse
	if w.rng.Float64() < dayLongShare {
		mean = dayLongResponse
	}
	return time.Duration(w.rng.Float64() * 2 * float64(mean))
}

// ready reports whether every member is alive, has its role in the group and is ready.
func (w *daySimulation) ready(g ruddergroup.Group) bool {
	for rank, m := range g.Members {
		h := w.byName[m.Host]
		if h.dead || h.role.Group != g.ID || h.role.Rank != rank || h.phase(w.now) != ruddertarget.PhaseReady {
			return false
		}
	}
	return true
}

// pollHosts updates the observed status of each host. Its load report is dayReportLag old.
func (w *daySimulation) pollHosts() {
	running := map[*dayHost]int{}
	for _, a := range w.responses {
		if a.end.After(w.now.Add(-dayReportLag)) {
			running[a.leader]++
		}
	}
	for _, h := range w.hosts {
		if h.dead {
			h.observed.Missed++
			h.observed.Age += dayPoll
			continue
		}
		h.observed = rudderallocator.Observation{Known: true, Status: ruddertarget.Status{
			Host: h.Name, Incarnation: strconv.Itoa(h.incarnation), Phase: h.phase(w.now), Role: h.role,
			Weights: slices.Sorted(maps.Keys(h.weights)),
			Load:    ruddertarget.Load{Running: running[h], At: w.now.Add(-dayReportLag)},
		}}
	}
}

// applyPlan computes the next plan of a fabric domain and carries out its orders.
func (w *daySimulation) applyPlan(domain string) {
	in := w.planInput(domain)
	result := rudderallocator.Step(in)
	if result.Changed {
		w.changed = w.now
		for _, r := range result.Reasons {
			if r.Code == rudderallocator.CodeFormed {
				w.formed++
			}
		}
		if w.policy.reformDomain && slices.ContainsFunc(result.Reasons, func(r rudderallocator.Reason) bool { return r.Code == rudderallocator.CodeMemberDead }) {
			result.Plan.Groups, result.Orders = nil, nil
			for _, h := range w.byDomain[domain] {
				w.endResponses(h, true)
				h.role, h.weights = ruddertarget.Role{}, map[string]bool{}
			}
		}
	}
	w.plans[domain] = result.Plan
	for _, o := range result.Orders {
		w.applyOrder(o)
	}
}

func (w *daySimulation) planInput(domain string) rudderallocator.Input {
	in := rudderallocator.Input{
		Now: w.now, Domain: domain, Config: w.config, Observed: map[string]rudderallocator.Observation{},
		Plan: w.plans[domain], Fencing: 1, Planner: "planner", Timing: w.timing, ServingTotal: w.serving,
		Want: w.allocation.Domain(domain), WantTotal: w.allocation.Totals(), Upcoming: w.upcoming[domain],
	}
	for _, h := range w.byDomain[domain] {
		in.Hosts = append(in.Hosts, h.Host)
		in.Observed[h.Name] = h.observed
	}
	return in
}

// allocate computes the allocation and the upcoming windows once per poll for all fabric domains. A baseline
// policy computes its allocation anew only when its inputs have changed.
func (w *daySimulation) allocate() {
	in := w.allocationInput()
	shares, upcoming := w.allocationCache.Allocate(in, w.timing)
	w.upcoming, w.serving = upcoming, w.servingBySelector()
	if w.policy.allocate == nil {
		w.allocation = shares
		return
	}
	key := xxhash.New()
	_, _ = fmt.Fprint(key, w.config.Version, slices.Sorted(maps.Keys(in.Down)))
	for _, s := range w.config.Selectors {
		_, _ = fmt.Fprint(key, s.ActiveAt(w.now))
	}
	if sum := key.Sum64(); sum != w.allocationKey {
		w.allocationKey, w.allocation = sum, w.policy.allocate(in)
	}
}

// allocationInput collects the hosts, dead hosts and existing groups of the fleet.
func (w *daySimulation) allocationInput() rudderallocator.AllocationInput {
	plans := slices.Collect(maps.Values(w.plans))
	in := rudderallocator.AllocationInput{Now: w.now, Config: w.config, Down: map[string]bool{}, Current: rudderallocator.CurrentGroups(plans)}
	if w.policy.ignoreExisting {
		in.Current = nil
	}
	for _, h := range w.hosts {
		in.Hosts = append(in.Hosts, h.Host)
		if h.observed.Dead(w.timing) {
			in.Down[h.Name] = true
		}
	}
	return in
}

// servingBySelector counts the serving groups by selector.
func (w *daySimulation) servingBySelector() map[string]int {
	out := map[string]int{}
	for _, d := range w.domains {
		for _, g := range w.plans[d].Groups {
			if g.State == ruddergroup.StateServing && w.ready(g) {
				out[g.Selector]++
			}
		}
	}
	return out
}

// changeConfig replaces the configuration by a changed copy with the next version.
func (w *daySimulation) changeConfig(change func(*rudderconfig.Document)) {
	next := *w.config
	next.Hosts = slices.Clone(next.Hosts)
	next.Version++
	change(&next)
	w.config = &next
}

func hostSettings(d *rudderconfig.Document, host string) *rudderconfig.HostSettings {
	for i := range d.Hosts {
		if d.Hosts[i].Name == host {
			return &d.Hosts[i]
		}
	}
	d.Hosts = append(d.Hosts, rudderconfig.HostSettings{Name: host})
	return &d.Hosts[len(d.Hosts)-1]
}

// usable reports whether a host is alive, not drained and matched by an active selector.
func (w *daySimulation) usable(h *dayHost) bool {
	if h.dead {
		return false
	}
	settings := w.config.SettingsOf(h.Name)
	labels := rudderconfig.HostLabels(h.Host, settings)
	return !settings.Drain && slices.ContainsFunc(w.config.Selectors, func(s rudderconfig.Selector) bool {
		return s.ActiveAt(w.now) && s.Matches(labels)
	})
}

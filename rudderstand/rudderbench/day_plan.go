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

// dayPolicy is a way of planning.
type dayPolicy struct {
	name string
	// divide returns the wanted groups by selector and domain; nil takes Allocate's.
	divide func(rudderallocator.AllocationInput) rudderallocator.Allocation
	// reform drops all groups of a domain when a member of one of them died.
	reform bool
	// forget divides without regard to the groups that exist.
	forget bool
}

var (
	dayNow      = dayPolicy{name: "now"}
	dayFirstFit = dayPolicy{name: "first fit", divide: rudderallocator.FirstFit}
	dayForget   = dayPolicy{name: "division without held groups", forget: true}
	dayReform   = dayPolicy{name: "re-form the whole domain", reform: true}
)

// serve ends answers and sends new ones to the groups that serve.
func (w *dayWorld) serve(step time.Duration) {
	w.answers = slices.DeleteFunc(w.answers, func(a dayAnswer) bool { return !a.end.After(w.now) })
	for _, d := range w.domains {
		for _, g := range w.plans[d].Groups {
			if g.State != ruddergroup.StateServing || !w.whole(g) {
				continue
			}
			for range w.arrivals(step) {
				a := dayAnswer{group: g.ID, end: w.now.Add(w.answerTime())}
				for _, m := range g.Members {
					a.members = append(a.members, w.byName[m.Host])
				}
				a.leader = a.members[0]
				w.answers = append(w.answers, a)
			}
		}
	}
}

// arrivals draws how many answers begin in a step. In a long step only its last seconds count, since
// short answers of its beginning are over.
func (w *dayWorld) arrivals(step time.Duration) int {
	n := 0
	for range int(min(step, dayShortAnswer) / time.Second) {
		if w.rng.Float64() < dayAnswersPerSecond {
			n++
		}
	}
	return n
}

func (w *dayWorld) answerTime() time.Duration {
	mean := dayShortAnswer
	if w.rng.Float64() < dayLongShare {
		mean = dayLongAnswer
	}
	return time.Duration(w.rng.Float64() * 2 * float64(mean))
}

// whole reports that every member is there and ready.
func (w *dayWorld) whole(g ruddergroup.Group) bool {
	for rank, m := range g.Members {
		h := w.byName[m.Host]
		if h.dead || h.role.Group != g.ID || h.role.Rank != rank || h.phase(w.now) != ruddertarget.PhaseReady {
			return false
		}
	}
	return true
}

// poll asks each host for its status. Loads are a second old.
func (w *dayWorld) poll() {
	running := map[*dayHost]int{}
	for _, a := range w.answers {
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

// plan computes and carries out the next plan of a domain.
func (w *dayWorld) plan(domain string) {
	in := w.input(domain)
	result := rudderallocator.Step(in)
	if result.Changed {
		w.changed = w.now
		for _, r := range result.Reasons {
			if r.Code == rudderallocator.CodeFormed {
				w.formed++
			}
		}
		if w.policy.reform && slices.ContainsFunc(result.Reasons, func(r rudderallocator.Reason) bool { return r.Code == rudderallocator.CodeMemberDead }) {
			result.Plan.Groups, result.Orders = nil, nil
			for _, h := range w.byDomain[domain] {
				w.cut(h, true)
				h.role, h.weights = ruddertarget.Role{}, map[string]bool{}
			}
		}
	}
	w.plans[domain] = result.Plan
	for _, o := range result.Orders {
		w.order(o)
	}
}

func (w *dayWorld) input(domain string) rudderallocator.Input {
	in := rudderallocator.Input{
		Now: w.now, Domain: domain, Config: w.config, Observed: map[string]rudderallocator.Observation{},
		Plan: w.plans[domain], Fencing: 1, Planner: "planner", Timing: w.timing, ServingTotal: w.serving,
		Want: w.shares.Domain(domain), WantTotal: w.shares.Totals(), Upcoming: w.upcoming[domain],
	}
	for _, h := range w.byDomain[domain] {
		in.Hosts = append(in.Hosts, h.Host)
		in.Observed[h.Name] = h.observed
	}
	return in
}

// divide computes what all domains need in a poll.
func (w *dayWorld) divide() {
	in := w.division()
	shares, upcoming := w.divider.Allocate(in, w.timing)
	w.upcoming, w.serving = upcoming, w.servingBySelector()
	if w.policy.divide == nil {
		w.shares = shares
		return
	}
	key := xxhash.New()
	_, _ = fmt.Fprint(key, w.config.Version, slices.Sorted(maps.Keys(in.Down)))
	for _, s := range w.config.Selectors {
		_, _ = fmt.Fprint(key, s.ActiveAt(w.now))
	}
	if sum := key.Sum64(); sum != w.divided {
		w.divided, w.shares = sum, w.policy.divide(in)
	}
}

func (w *dayWorld) division() rudderallocator.AllocationInput {
	plans := slices.Collect(maps.Values(w.plans))
	in := rudderallocator.AllocationInput{Now: w.now, Config: w.config, Down: map[string]bool{}, Current: rudderallocator.CurrentGroups(plans)}
	if w.policy.forget {
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

// servingBySelector counts the groups that serve.
func (w *dayWorld) servingBySelector() map[string]int {
	out := map[string]int{}
	for _, d := range w.domains {
		for _, g := range w.plans[d].Groups {
			if g.State == ruddergroup.StateServing && w.whole(g) {
				out[g.Selector]++
			}
		}
	}
	return out
}

// configure puts a changed copy of the configuration in force.
func (w *dayWorld) configure(change func(*rudderconfig.Document)) {
	next := *w.config
	next.Hosts = slices.Clone(next.Hosts)
	next.Version++
	change(&next)
	w.config = &next
}

func setting(d *rudderconfig.Document, host string) *rudderconfig.HostSettings {
	for i := range d.Hosts {
		if d.Hosts[i].Name == host {
			return &d.Hosts[i]
		}
	}
	d.Hosts = append(d.Hosts, rudderconfig.HostSettings{Name: host})
	return &d.Hosts[len(d.Hosts)-1]
}

// usable reports that a host is up and that some active selector may have it.
func (w *dayWorld) usable(h *dayHost) bool {
	if h.dead {
		return false
	}
	settings := w.config.SettingsOf(h.Name)
	labels := rudderconfig.HostLabels(h.Host, settings)
	return !settings.Drain && slices.ContainsFunc(w.config.Selectors, func(s rudderconfig.Selector) bool {
		return s.ActiveAt(w.now) && s.Matches(labels)
	})
}

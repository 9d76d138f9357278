// Package rudderfleet holds an entry host's view of the plans and of the status reports of targets, and
// derives which groups may take new work. It does no I/O and is safe for concurrent use.
package rudderfleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/ruddertarget"
)

// DefaultConfirmTTL is how long a member's own report is valid.
const DefaultConfirmTTL = 3 * time.Second

// Confirmation is a target's own status report. At is the latest local time at which it can have been made.
type Confirmation struct {
	Domain  string
	Host    string
	Address string
	Status  ruddertarget.Status
	At      time.Time
}

// Fleet holds the newest plan of each fabric domain and the newest report of each host. The zero value is
// ready to use.
type Fleet struct {
	// ConfirmTTL is DefaultConfirmTTL if zero.
	ConfirmTTL time.Duration
	// Evacuated reports whether the groups of a data centre get no new work; nil means that none is evacuated.
	Evacuated func(dataCentre string) bool

	mu            sync.RWMutex
	plans         map[string]ruddergroup.Plan
	confirmations map[string]Confirmation
	byModel       map[string][]Group
	byService     map[string][]Group
	downtime      accounting
	followed      map[string]bool // nil for all
}

// ObservePlan stores a plan if it is newer than the known one, and reports whether it is. A plan with a lower
// sequence number never replaces a known plan; for the same sequence number the higher fencing number wins.
func (f *Fleet) ObservePlan(p ruddergroup.Plan) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.plans[p.Domain]; ok && (p.Seq < old.Seq || (p.Seq == old.Seq && p.Fencing <= old.Fencing)) {
		return false
	}
	if f.plans == nil {
		f.plans = map[string]ruddergroup.Plan{}
	}
	f.plans[p.Domain] = p
	f.index()
	return true
}

// index rebuilds the lists of serving groups by model and by service.
func (f *Fleet) index() {
	f.byModel, f.byService = map[string][]Group{}, map[string][]Group{}
	for _, p := range f.plans {
		for _, g := range p.Groups {
			if g.State != ruddergroup.StateServing || len(g.Members) == 0 {
				continue
			}
			placed := Group{Group: g, Domain: p.Domain, DataCentre: p.DataCentre, Region: p.Region}
			if g.Service != "" {
				f.byService[g.Service] = append(f.byService[g.Service], placed)
			} else {
				f.byModel[g.Model] = append(f.byModel[g.Model], placed)
			}
		}
	}
	for _, lists := range []map[string][]Group{f.byModel, f.byService} {
		for _, l := range lists {
			slices.SortFunc(l, func(a, b Group) int { return compareGroups(a.Group, b.Group) })
		}
	}
}

// ObserveStatus stores a target's report if it is newer than the known one, and reports whether it is. The
// caller sets At to the local time less the age of the report.
func (f *Fleet) ObserveStatus(c Confirmation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.confirmations[c.Host]; ok && !c.At.After(old.At) {
		return false
	}
	if f.confirmations == nil {
		f.confirmations = map[string]Confirmation{}
	}
	f.confirmations[c.Host] = c
	return true
}

// Plan returns the known plan of a fabric domain.
func (f *Fleet) Plan(domain string) (ruddergroup.Plan, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p, ok := f.plans[domain]
	return p, ok
}

// Confirmations returns the newest reports of the hosts of a fabric domain, sorted by host, for relaying to
// other entry hosts; "" means all domains.
func (f *Fleet) Confirmations(domain string) []Confirmation {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []Confirmation
	for _, c := range f.confirmations {
		if domain == "" || c.Domain == domain {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Confirmation) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Prune deletes the reports that are older than the given time.
func (f *Fleet) Prune(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for h, c := range f.confirmations {
		if c.At.Before(before) {
			delete(f.confirmations, h)
		}
	}
}

// Filter selects groups. Empty fields match everything. Set Model or Service on the request path, because a
// query without either copies and sorts all groups.
type Filter struct {
	Model        string
	ModelVersion string
	Adapter      string
	Service      string
	Firm         string
	Workspace    string
	Class        rudderconfig.WorkClass
	Domain       string
	DataCentre   string
	// Config is the configuration in force. If it is set, a group matches only if its selector exists and
	// allows the workspace and the class. If it is nil, Workspace and Class are not checked.
	Config *rudderconfig.Document
}

// Group is a group with its location and the newest load report of its leader.
type Group struct {
	ruddergroup.Group
	Domain     string
	DataCentre string
	Region     string
	Load       ruddertarget.Load
	// ConfirmedFor is how long the confirmations of all members remain valid.
	ConfirmedFor time.Duration
}

// Serving returns the groups that may take new work now, sorted by identifier: those outside evacuated data centres whose
// plan state is serving and whose members have all reported the group, their rank and readiness within ConfirmTTL.
func (f *Fleet) Serving(now time.Time, filter Filter) []Group {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []Group
	for _, g := range f.candidates(filter) {
		if !filter.matches(g) || f.isEvacuated(g.DataCentre) {
			continue
		}
		if valid, reason := f.confirmed(now, g.Group); reason == "" {
			g.ConfirmedFor, g.Load = valid, f.confirmations[g.Members[0].Host].Status.Load
			out = append(out, g)
		}
	}
	return out
}

func (f *Fleet) isEvacuated(dataCentre string) bool {
	return f.Evacuated != nil && f.Evacuated(dataCentre)
}

func (f *Fleet) candidates(filter Filter) []Group {
	switch {
	case filter.Model != "":
		return f.byModel[filter.Model]
	case filter.Service != "":
		return f.byService[filter.Service]
	}
	var all []Group
	for _, lists := range []map[string][]Group{f.byModel, f.byService} {
		for _, l := range lists {
			all = append(all, l...)
		}
	}
	slices.SortFunc(all, func(a, b Group) int { return compareGroups(a.Group, b.Group) })
	return all
}

func (filter Filter) matches(g Group) bool {
	return filter.place(g) && filter.work(g) && filter.allowed(g)
}

// matchesField reports whether a filter field is unset or equal to the value.
func matchesField(field, value string) bool { return field == "" || field == value }

func (filter Filter) place(g Group) bool {
	return matchesField(filter.Domain, g.Domain) && matchesField(filter.DataCentre, g.DataCentre)
}

func (filter Filter) work(g Group) bool {
	return matchesField(filter.Firm, g.Firm) && matchesField(filter.Service, g.Service) && matchesField(filter.ModelVersion, g.ModelVersion) &&
		(filter.Adapter == "" || slices.Contains(g.Adapters, filter.Adapter))
}

// allowed reports whether the configuration allows the group to take this work.
func (filter Filter) allowed(g Group) bool {
	if filter.Config == nil {
		return true
	}
	i := slices.IndexFunc(filter.Config.Selectors, func(s rudderconfig.Selector) bool { return s.Name == g.Selector })
	if i < 0 {
		return false
	}
	s := filter.Config.Selectors[i]
	return s.Firm == g.Firm && (filter.Workspace == "" || len(s.Workspaces) == 0 || slices.Contains(s.Workspaces, filter.Workspace)) &&
		(filter.Class == "" || len(s.Classes) == 0 || slices.Contains(s.Classes, filter.Class))
}

// confirmed returns how long the confirmations of all members remain valid, or the reason why they are not valid.
func (f *Fleet) confirmed(now time.Time, g ruddergroup.Group) (time.Duration, Reason) {
	ttl := f.ConfirmTTL
	if ttl == 0 {
		ttl = DefaultConfirmTTL
	}
	valid := ttl
	for rank, m := range g.Members {
		c, ok := f.confirmations[m.Host]
		if !ok {
			return 0, ReasonNoReport
		}
		left := ttl - now.Sub(c.At)
		if left <= 0 {
			return 0, ReasonOldReport
		}
		if reason := contradiction(g, rank, c.Status); reason != "" {
			return 0, reason
		}
		valid = min(valid, left)
	}
	return valid, ""
}

// contradiction returns how a member's report contradicts the plan, or "" if it does not. A target of a plain
// service takes no orders, so it may report no role.
func contradiction(g ruddergroup.Group, rank int, s ruddertarget.Status) Reason {
	switch {
	case g.Members[rank].Incarnation != s.Incarnation:
		return ReasonRestarted
	case s.Leaving:
		return ReasonLeaving
	case g.Service != "" && s.Role.Group == "":
		return ""
	case s.Role.Group != g.ID || s.Role.Rank != rank:
		return ReasonOtherRole
	case g.Service == "" && s.Phase != ruddertarget.PhaseReady:
		return ReasonNotReady
	}
	return ""
}

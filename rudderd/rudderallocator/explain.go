package rudderallocator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
)

// Snapshot is the state of the fleet from which explanations are derived.
type Snapshot struct {
	Now      time.Time
	Config   *rudderconfig.Document
	Hosts    []rudderhost.Host
	Plans    []ruddergroup.Plan
	Observed map[string]Observation
	Timing   Timing
}

// DomainShare counts the hosts and groups of a selector in one fabric domain.
type DomainShare struct {
	Domain   string `json:"domain"`
	Matching int    `json:"matching"` // hosts that match the selector
	Usable   int    `json:"usable"`   // matching hosts that are not dead, leaving or drained
	Share    int    `json:"share"`    // groups allocated to this domain
	Loading  int    `json:"loading"`
	Serving  int    `json:"serving"`
	Draining int    `json:"draining"`
}

// Explanation describes which groups a selector gets and why.
type Explanation struct {
	Selector string `json:"selector"`
	Active   bool   `json:"active"`
	// NextChange is when Active changes next; zero if it does not within a week.
	NextChange time.Time `json:"next_change,omitzero"`
	Wanted     int       `json:"wanted"` // 0 means as many as possible
	Missing    int       `json:"missing"`
	// Domains is sorted by name.
	Domains []DomainShare `json:"domains"`
	Reasons []Reason      `json:"reasons"`
}

func (s Snapshot) allocation() Allocation {
	down := map[string]bool{}
	for host, o := range s.Observed {
		down[host] = o.Dead(s.Timing)
	}
	return Allocate(AllocationInput{Now: s.Now, Config: s.Config, Hosts: s.Hosts, Down: down})
}

// Explain returns the explanation for a selector, or false if there is no such selector.
func (s Snapshot) Explain(selector string) (Explanation, bool) {
	sel, ok := findSelector(s.Config, selector)
	if !ok {
		return Explanation{}, false
	}
	allocation := s.allocation()
	e := Explanation{Selector: selector, Active: sel.ActiveAt(s.Now), Wanted: sel.WantedGroups, Missing: allocation.Missing(selector)}
	if next, ok := sel.NextChange(s.Now); ok {
		e.NextChange = next
	}
	shares := s.shares(sel, allocation)
	matching, usable, placed := 0, 0, 0
	for _, d := range slices.Sorted(maps.Keys(shares)) {
		e.Domains = append(e.Domains, *shares[d])
		matching += shares[d].Matching
		usable += shares[d].Usable
		placed += shares[d].Share
	}
	add := func(c Code, format string, args ...any) {
		e.Reasons = append(e.Reasons, Reason{Code: c, Text: fmt.Sprintf(format, args...)})
	}
	switch {
	case !e.Active:
		add(CodeWindowClosed, "no window is open; %s", nextOpening(sel, s.Now))
	case matching == 0:
		add(CodeNoMatch, "no host's labels match")
	case usable == 0:
		add(CodeMemberDead, "all %d matching hosts are unreachable, leaving or drained", matching)
	case e.Missing > 0:
		add(CodeNoRoom, "%d of %d wanted groups of %d hosts do not fit into any single domain next to selectors that get hosts first",
			e.Missing, sel.WantedGroups, groupSize(sel))
	case placed == 0:
		add(CodeNoRoom, "no domain has %d free hosts left", groupSize(sel))
	default:
		add(CodeFormed, "%d groups are placed", placed)
	}
	return e, true
}

// nextOpening describes when the selector's next window opens.
func nextOpening(sel rudderconfig.Selector, now time.Time) string {
	if next, ok := sel.NextChange(now); ok {
		return "the next one opens at " + next.Format(time.RFC3339)
	}
	return "none opens within a week"
}

// shares counts the matching hosts and the groups of a selector by domain.
func (s Snapshot) shares(sel rudderconfig.Selector, allocation Allocation) map[string]*DomainShare {
	shares := map[string]*DomainShare{}
	at := func(domain string) *DomainShare {
		if shares[domain] == nil {
			shares[domain] = &DomainShare{Domain: domain, Share: allocation.Groups(sel.Name, domain)}
		}
		return shares[domain]
	}
	hosts := newHostIndex(s.Config, s.Hosts)
	for _, h := range s.Hosts {
		if !hosts.fits(sel, h.Name) {
			continue
		}
		at(h.FabricDomain).Matching++
		if hosts.drainReason(h.Name) == "" && !s.Observed[h.Name].Dead(s.Timing) {
			at(h.FabricDomain).Usable++
		}
	}
	for _, p := range s.Plans {
		for _, g := range p.Groups {
			if g.Selector != sel.Name {
				continue
			}
			switch g.State {
			case ruddergroup.StateLoading:
				at(p.Domain).Loading++
			case ruddergroup.StateServing:
				at(p.Domain).Serving++
			case ruddergroup.StateDraining:
				at(p.Domain).Draining++
			}
		}
	}
	return shares
}

// WhyNot returns why a host is in no serving group. For a host in a serving group the last reason is
// CodeServing.
func (s Snapshot) WhyNot(host string) []Reason {
	hosts := newHostIndex(s.Config, s.Hosts)
	h, ok := hosts.hosts[host]
	if !ok {
		return []Reason{{Code: CodeUnknownHost, Host: host, Text: "the platform does not list this host"}}
	}
	var out []Reason
	add := func(c Code, group, format string, args ...any) {
		out = append(out, Reason{Code: c, Host: host, Group: group, Text: fmt.Sprintf(format, args...)})
	}
	if why := hosts.drainReason(host); why != "" {
		add(CodeLeaving, "", "%s", why)
	}
	if s.Config.Evacuated(h.DataCentre) {
		add(CodeEvacuated, "", "operators have evacuated its data centre, %s", h.DataCentre)
	}
	switch o := s.Observed[host]; {
	case o.Dead(s.Timing):
		add(CodeMemberDead, "", "host missed %d polls", o.Missed)
	case !o.Known:
		add(CodeNoReport, "", "host has not answered a poll yet")
	case o.Status.Leaving:
		add(CodeLeaving, "", "host reports that it is leaving")
	}
	if g, ok := s.groupOf(host); ok {
		return append(out, s.groupReason(g, host))
	}
	out = append(out, s.selectorReasons(hosts, h)...)
	if role := s.Observed[host].Status.Role; role.Group != "" {
		add(CodeStaleRole, role.Group, "host still reports a group that the plan does not list")
	}
	return out
}

// groupOf returns the planned group of a host.
func (s Snapshot) groupOf(host string) (ruddergroup.Group, bool) {
	for _, p := range s.Plans {
		for _, g := range p.Groups {
			if slices.ContainsFunc(g.Members, func(m ruddergroup.Member) bool { return m.Host == host }) {
				return g, true
			}
		}
	}
	return ruddergroup.Group{}, false
}

func (s Snapshot) groupReason(g ruddergroup.Group, host string) Reason {
	r := Reason{Host: host, Group: g.ID}
	switch g.State {
	case ruddergroup.StateLoading:
		r.Code, r.Text = CodeLoading, "its group is loading"
		for rank, m := range g.Members {
			if o := s.Observed[m.Host]; !confirms(g, rank, o.Status) {
				r.Text = fmt.Sprintf("its group is loading; %s reports phase %q, %.0f%% loaded", m.Host, o.Status.Phase, o.Status.LoadFraction*100)
				break
			}
		}
	case ruddergroup.StateDraining:
		r.Code, r.Text = CodeDraining, "its group is draining: "+g.Reason
	default:
		r.Code, r.Text = CodeServing, "its group is serving"
	}
	return r
}

// selectorReasons returns, for a host in no group, why each matching selector does not use it.
func (s Snapshot) selectorReasons(hosts hostIndex, h rudderhost.Host) []Reason {
	var out []Reason
	allocation := s.allocation()
	matched := false
	for _, sel := range s.Config.Selectors {
		if !hosts.fits(sel, h.Name) {
			continue
		}
		matched = true
		r := Reason{Host: h.Name}
		share := allocation.Groups(sel.Name, h.FabricDomain)
		switch {
		case !sel.ActiveAt(s.Now):
			r.Code, r.Text = CodeWindowClosed, fmt.Sprintf("selector %s: no window is open; %s", sel.Name, nextOpening(sel, s.Now))
		case sel.WantedGroups > 0 && allocation.Missing(sel.Name) == 0:
			r.Code, r.Text = CodeEnough, fmt.Sprintf("selector %s has all %d wanted groups, %d in this domain", sel.Name, sel.WantedGroups, share)
		default:
			r.Code, r.Text = CodeRemainder, fmt.Sprintf("selector %s has %d groups in this domain; %d hosts are left over, a group needs %d",
				sel.Name, share, allocation.Stranded(h.FabricDomain), groupSize(sel))
		}
		out = append(out, r)
	}
	if !matched {
		out = append(out, Reason{Code: CodeNoMatch, Host: h.Name, Text: "no selector matches the host's labels and kind"})
	}
	return out
}

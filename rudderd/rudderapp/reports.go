package rudderapp

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/rudderplan"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderhost"
)

// situation collects the state from which explanations for operators are derived.
func (a *App) situation(ctx context.Context) (rudderplan.Snapshot, error) {
	hosts, err := a.lastHosts.read(ctx, a.hosts.Hosts)
	if err != nil {
		return rudderplan.Snapshot{}, err
	}
	a.relay.Refresh(ctx)
	now := a.Clock.Now()
	observed := make(map[string]rudderplan.Observation)
	for _, c := range a.fleet.Confirmations("") {
		observed[c.Host] = rudderplan.Observation{
			Status: c.Status, Age: now.Sub(c.At), Known: true, Missed: missedPolls(now.Sub(c.At), a.Settings.PollInterval),
		}
	}
	return rudderplan.Snapshot{
		Now: now, Config: a.keeper.Current(), Hosts: hosts, Plans: a.fleet.Plans(), Observed: observed, Timing: a.planner.Timing,
	}, nil
}

// missedPolls estimates the number of missed polls from the age of a relayed report. Two intervals are normal: one
// between polls and one between pulls of the relay.
func missedPolls(age, interval time.Duration) int {
	return max(0, int(age/interval)-2)
}

func (a *App) explainSelector(ctx context.Context, selector string) (rudderadmin.Explanation, bool, error) {
	situation, err := a.situation(ctx)
	if err != nil {
		return rudderadmin.Explanation{}, false, err
	}
	e, found := situation.Explain(selector)
	if !found {
		return rudderadmin.Explanation{}, false, nil
	}
	explanation := rudderadmin.Explanation{
		Selector: e.Selector, Active: e.Active, NextChange: e.NextChange, Wanted: e.Wanted, Missing: e.Missing,
		Domains: []rudderadmin.DomainShare{}, Reasons: reasonsOf(e.Reasons),
	}
	for _, d := range e.Domains {
		explanation.Domains = append(explanation.Domains, rudderadmin.DomainShare(d))
	}
	subtractOutOfService(&explanation, a.fleet.Groups(situation.Now))
	return explanation, true, nil
}

func (a *App) whyNot(ctx context.Context, host string) ([]rudderadmin.Reason, error) {
	situation, err := a.situation(ctx)
	if err != nil {
		return nil, err
	}
	return correctServing(reasonsOf(situation.WhyNot(host)), a.fleet.Groups(situation.Now)), nil
}

func reasonsOf(reasons []rudderplan.Reason) []rudderadmin.Reason {
	list := make([]rudderadmin.Reason, 0, len(reasons))
	for _, r := range reasons {
		list = append(list, rudderadmin.Reason{Code: string(r.Code), Group: r.Group, Host: r.Host, Text: r.Text})
	}
	return list
}

// groupReports lists all groups of all plans.
func (a *App) groupReports() []rudderadmin.Group {
	loads := make(map[string]rudderfleet.Confirmation)
	for _, c := range a.fleet.Confirmations("") {
		loads[c.Address] = c
	}
	groups := []rudderadmin.Group{}
	for _, g := range a.fleet.Groups(a.Clock.Now()) {
		group := rudderadmin.Group{
			ID: g.ID, Domain: g.Domain, Selector: g.Selector, Firm: g.Firm, Work: g.Service,
			State: string(g.State), NotServingReason: string(g.NotServingReason), Reason: g.Reason, Slots: g.Slots,
		}
		if g.Model != "" {
			group.Work = g.Model + "@" + g.ModelVersion
		}
		for _, m := range g.Members {
			group.Hosts = append(group.Hosts, m.Host)
		}
		if leader, known := loads[g.Leader()]; known {
			group.Running, group.Waiting = leader.Status.Load.Running, leader.Status.Load.Waiting
		}
		groups = append(groups, group)
	}
	return groups
}

// hostReports lists the platform's hosts with their configured settings and their groups.
func (a *App) hostReports(ctx context.Context) ([]rudderadmin.Host, error) {
	hosts, err := a.lastHosts.read(ctx, a.hosts.Hosts)
	if err != nil {
		return nil, err
	}
	groupOf := make(map[string]string)
	for _, g := range a.fleet.Groups(a.Clock.Now()) {
		for _, m := range g.Members {
			groupOf[m.Host] = g.ID
		}
	}
	reports := make([]rudderadmin.Host, 0, len(hosts))
	for _, h := range hosts {
		reports = append(reports, a.hostReport(h, groupOf[h.Name]))
	}
	return reports, nil
}

func (a *App) hostReport(h rudderhost.Host, group string) rudderadmin.Host {
	report := rudderadmin.Host{
		Name: h.Name, Address: h.Address, Kind: string(h.Kind), Region: h.Region, DataCentre: h.DataCentre,
		FabricDomain: h.FabricDomain, Accelerators: h.Accelerators, State: string(h.State), Group: group,
		Labels: h.Labels,
	}
	if document := a.keeper.Current(); document != nil {
		settings := document.SettingsOf(h.Name)
		report.Drain, report.Labels = settings.Drain, rudderconfig.HostLabels(h, settings)
	}
	return report
}

// statusReport summarises the system as this entry host sees it.
func (a *App) statusReport(ctx context.Context) (rudderadmin.Status, error) {
	situation, err := a.situation(ctx)
	if err != nil {
		return rudderadmin.Status{}, err
	}
	now := a.Clock.Now()
	status := rudderadmin.Status{
		Entry: a.self.Name, ConfigVersion: a.keeper.Version().Number, Permit: a.keeper.Permit(now) == nil,
		PermitRule: string(a.keeper.Rule()), EntryHosts: a.entryReports(now), Selectors: []rudderadmin.SelectorStatus{},
		Hosts: len(situation.Hosts), Stranded: []string{},
	}
	if err := a.keeper.Permit(now); err != nil {
		status.Permit, status.PermitReason = false, err.Error()
	}
	if situation.Config == nil {
		return status, nil
	}
	for _, s := range situation.Config.Selectors {
		e, _ := situation.Explain(s.Name)
		summary := rudderadmin.SelectorStatus{Name: s.Name, Active: e.Active, Wanted: e.Wanted, Missing: e.Missing}
		summary.Serving = servingGroups(s.Name, a.fleet.Groups(now))
		status.Selectors = append(status.Selectors, summary)
	}
	for _, h := range a.fleet.Stranded(now, situation.Hosts) {
		status.Stranded = append(status.Stranded, h.Name)
	}
	return status, nil
}

func (a *App) entryReports(now time.Time) []rudderadmin.EntryHost {
	live := make(map[string]bool)
	for _, m := range a.node.Live() {
		live[m.Name] = true
	}
	reports := []rudderadmin.EntryHost{}
	for _, m := range a.node.Members() {
		entry, heard := a.node.Entry(m.Name)
		age := entry.Age(now).Milliseconds()
		if !heard {
			age = rudderadmin.AgeUnknown
		}
		version, _ := entry.Config()
		reports = append(reports, rudderadmin.EntryHost{
			Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, CallerAddress: m.CallerAddress,
			Live: live[m.Name], Leaving: entry.Leaving(), ConfigVersion: version.Number,
			InFlight: entry.Load().InFlight, AgeMS: age,
		})
	}
	return reports
}

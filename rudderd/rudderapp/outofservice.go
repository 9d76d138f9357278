package rudderapp

import (
	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/rudderplan"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/ruddergroup"
)

// A plan says what its planner last wrote. When all hosts of a domain are silent nobody writes it, and it
// still lists groups as serving that take no work. Reports to operators go by what takes work.

// planServes tells whether the plan lists the group as serving.
func planServes(g rudderfleet.GroupReport) bool { return g.State == ruddergroup.StateServing }

// servingGroups counts the groups of a selector that take new work.
func servingGroups(selector string, groups []rudderfleet.GroupReport) int {
	count := 0
	for _, g := range groups {
		if g.Selector == selector && g.Why == "" {
			count++
		}
	}
	return count
}

// outOfService takes the groups out of an explanation's serving ones that take no new work, and names them.
func outOfService(e *rudderadmin.Explanation, groups []rudderfleet.GroupReport) {
	for _, g := range groups {
		if g.Selector != e.Selector || !planServes(g) || g.Why == "" {
			continue
		}
		for i := range e.Domains {
			if e.Domains[i].Domain == g.Domain {
				e.Domains[i].Serving = max(0, e.Domains[i].Serving-1)
			}
		}
		e.Reasons = append(e.Reasons, rudderadmin.Reason{Code: string(g.Why), Group: g.ID, Text: whyText(g)})
	}
}

// correctServing replaces the reason that a host's group is in service where the group takes no new work.
func correctServing(reasons []rudderadmin.Reason, groups []rudderfleet.GroupReport) []rudderadmin.Reason {
	why := make(map[string]rudderfleet.GroupReport)
	for _, g := range groups {
		why[g.ID] = g
	}
	for i, r := range reasons {
		if g := why[r.Group]; r.Code == string(rudderplan.CodeServing) && g.Why != "" {
			reasons[i].Code, reasons[i].Text = string(g.Why), whyText(g)
		}
	}
	return reasons
}

// whyTexts say why a group that the plan lists as serving takes no new work.
var whyTexts = []struct {
	why  rudderfleet.Reason
	text string
}{
	{rudderfleet.WhyNoReport, "a member has not reported yet"},
	{rudderfleet.WhyOldReport, "a member's last report is too old"},
	{rudderfleet.WhyRestarted, "a member's process was restarted"},
	{rudderfleet.WhyLeaving, "a member is leaving"},
	{rudderfleet.WhyOtherRole, "a member reports another group or rank"},
	{rudderfleet.WhyNotReady, "a member is not ready"},
}

func whyText(g rudderfleet.GroupReport) string {
	text := string(g.Why)
	for _, w := range whyTexts {
		if w.why == g.Why {
			text = w.text
		}
	}
	return "the plan lists the group as serving, but it takes no new work: " + text
}

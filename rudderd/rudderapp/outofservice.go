package rudderapp

import (
	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/ruddergroup"
)

// A plan is the state that its planner last wrote. When all hosts of a domain stop responding, nobody updates
// the plan, and it still lists groups as serving that get no work. Reports to operators therefore count only
// the groups that get work.

// planServes reports whether the plan lists the group as serving.
func planServes(g rudderfleet.GroupReport) bool { return g.State == ruddergroup.StateServing }

// servingGroups counts the groups of a selector that accept new work.
func servingGroups(selector string, groups []rudderfleet.GroupReport) int {
	count := 0
	for _, g := range groups {
		if g.Selector == selector && g.NotServingReason == "" {
			count++
		}
	}
	return count
}

// subtractOutOfService subtracts the groups that accept no new work from the serving ones of an explanation, and
// adds a reason for each of them.
func subtractOutOfService(e *rudderadmin.Explanation, groups []rudderfleet.GroupReport) {
	for _, g := range groups {
		if g.Selector != e.Selector || !planServes(g) || g.NotServingReason == "" {
			continue
		}
		for i := range e.Domains {
			if e.Domains[i].Domain == g.Domain {
				e.Domains[i].Serving = max(0, e.Domains[i].Serving-1)
			}
		}
		e.Reasons = append(e.Reasons, rudderadmin.Reason{Code: string(g.NotServingReason), Group: g.ID, Text: whyText(g)})
	}
}

// correctServing replaces the reason "serving" of a host if its group accepts no new work.
func correctServing(reasons []rudderadmin.Reason, groups []rudderfleet.GroupReport) []rudderadmin.Reason {
	why := make(map[string]rudderfleet.GroupReport)
	for _, g := range groups {
		why[g.ID] = g
	}
	for i, r := range reasons {
		if g := why[r.Group]; r.Code == string(rudderallocator.CodeServing) && g.NotServingReason != "" {
			reasons[i].Code, reasons[i].Text = string(g.NotServingReason), whyText(g)
		}
	}
	return reasons
}

// whyTexts are the reasons why a group that the plan lists as serving accepts no new work.
var whyTexts = []struct {
	why  rudderfleet.Reason
	text string
}{
	{rudderfleet.ReasonNoReport, "a member has not reported yet"},
	{rudderfleet.ReasonOldReport, "a member's last report is too old"},
	{rudderfleet.ReasonRestarted, "a member's process was restarted"},
	{rudderfleet.ReasonLeaving, "a member is leaving"},
	{rudderfleet.ReasonOtherRole, "a member reports another group or rank"},
	{rudderfleet.ReasonNotReady, "a member is not ready"},
	{rudderfleet.ReasonEvacuated, "operators have evacuated its data centre"},
}

func whyText(g rudderfleet.GroupReport) string {
	text := string(g.NotServingReason)
	for _, w := range whyTexts {
		if w.why == g.NotServingReason {
			text = w.text
		}
	}
	return "the plan lists the group as serving, but it takes no new work: " + text
}

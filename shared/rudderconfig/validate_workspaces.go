package rudderconfig

import "fmt"

func (v *validation) workspaces() {
	items := v.document.Workspaces
	v.names("workspaces", len(items), func(i int) string { return items[i].Name }, func(i int) string { return items[i].Name })
	hashes := map[string]string{}
	for i, w := range items {
		at := fmt.Sprintf("workspaces[%d]", i)
		v.firmName(at+".firm", w.Firm)
		if len(w.KeyHashes) == 0 {
			v.warn(RuleNoEffect, at+".key_hashes", "workspace %q has no key, so nobody can use it", w.Name)
		}
		for j, h := range w.KeyHashes {
			v.hash(fmt.Sprintf("%s.key_hashes[%d]", at, j), h, hashes)
		}
		if w.Weight < 0 {
			v.fail(RuleRange, at+".weight", "%d is negative", w.Weight)
		}
		if w.Preset != "" && w.Preset != PresetWaitingFirst && w.Preset != PresetCrestFirst {
			v.fail(RuleValue, at+".preset", "%q is not a preset", w.Preset)
		}
		v.limits(at+".limits", w.Limits)
	}
}

func (v *validation) limits(at string, l Limits) {
	values := []struct {
		field string
		value float64
	}{
		{"requests_per_second", l.RequestsPerSecond},
		{"concurrent", float64(l.Concurrent)},
		{"body_bytes", float64(l.BodyBytes)},
		{"max_tokens", float64(l.MaxTokens)},
	}
	for _, x := range values {
		if x.value < 0 {
			v.fail(RuleRange, at+"."+x.field, "%v is negative", x.value)
		}
	}
}

func (v *validation) operators() {
	items := v.document.Operators
	v.names("operators", len(items), func(i int) string { return items[i].Name }, func(i int) string { return items[i].Name })
	hashes := map[string]string{}
	for i, o := range items {
		at := fmt.Sprintf("operators[%d]", i)
		v.hash(at+".token_hash", o.TokenHash, hashes)
		switch o.Role {
		case RoleViewer, RoleAdmin:
		case RoleEditor:
			if len(o.Firms) == 0 {
				v.warn(RuleNoEffect, at+".firms", "editor %q names no firm, so it can change nothing", o.Name)
			}
		default:
			v.fail(RuleValue, at+".role", "%q is not a role", o.Role)
		}
		for j, firm := range o.Firms {
			v.knownFirm(fmt.Sprintf("%s.firms[%d]", at, j), firm)
		}
	}
}

func (v *validation) objectives() {
	items := v.document.Objectives
	first := map[string]int{}
	for i, o := range items {
		at := fmt.Sprintf("objectives[%d]", i)
		if j, ok := first[objectiveIdentity(o)]; ok {
			v.fail(RuleDuplicate, at, "objectives[%d] is for the same firm and workspace", j)
		} else {
			first[objectiveIdentity(o)] = i
		}
		v.knownFirm(at+".firm", o.Firm)
		if o.Workspace != "" {
			v.workspaceOf(at+".workspace", o.Workspace, o.Firm)
		}
		if !(o.Availability > 0 && o.Availability <= 1) {
			v.fail(RuleRange, at+".availability", "%v is not above 0 and at most 1", o.Availability)
		}
		v.latencies(at, o)
	}
}

func (v *validation) latencies(at string, o Objective) {
	limits := []struct {
		field string
		value int
	}{{"first_token_ms", o.FirstTokenMS}, {"token_gap_ms", o.TokenGapMS}, {"short_wait_ms", o.ShortWaitMS}}
	limited := false
	for _, l := range limits {
		if l.value < 0 {
			v.fail(RuleRange, at+"."+l.field, "%d is negative", l.value)
		}
		limited = limited || l.value > 0
	}
	if !(o.LatencyShare >= 0 && o.LatencyShare <= 1) {
		v.fail(RuleRange, at+".latency_share", "%v is not within 0 to 1", o.LatencyShare)
	} else if limited && o.LatencyShare == 0 {
		v.warn(RuleNoEffect, at+".latency_share", "latency limits have no effect with a share of 0")
	}
}

// workspaceOf checks that a workspace that an item refers to exists and belongs to the firm.
func (v *validation) workspaceOf(at, workspace, firm string) {
	w, ok := v.document.Workspace(workspace)
	if !ok {
		v.fail(RuleUnknownReference, at, "workspace %q is unknown", workspace)
		return
	}
	if w.Firm != firm {
		v.fail(RuleOtherFirm, at, "workspace %q is of firm %q, not %q", workspace, w.Firm, firm)
	}
}

package rudderconfig

import (
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderhost"
)

func (v *validation) selectors() {
	items := v.document.Selectors
	v.names("selectors", len(items), func(i int) string { return items[i].Name }, func(i int) string { return items[i].Name })
	for i, s := range items {
		at := fmt.Sprintf("selectors[%d]", i)
		v.knownFirm(at+".firm", s.Firm)
		v.selectorWork(at, s)
		v.selectorNumbers(at, s)
		v.selectorLabels(at, s)
		for j, w := range s.Windows {
			if err := w.Check(); err != nil {
				v.fail(RuleWindow, fmt.Sprintf("%s.windows[%d]", at, j), "the window never opens: %v", err)
			}
		}
	}
	v.overlaps()
}

// selectorWork checks the model or service, the workspaces and the work classes that a selector serves.
func (v *validation) selectorWork(at string, s Selector) {
	switch {
	case (s.Model == "") == (s.Service == ""):
		v.fail(RuleValue, at, "exactly one of model and service must be set")
	case s.Service != "":
		v.selectorService(at, s)
	default:
		v.selectorModel(at, s)
	}
	for j, w := range s.Workspaces {
		v.workspaceOf(fmt.Sprintf("%s.workspaces[%d]", at, j), w, s.Firm)
	}
	for j, c := range s.Classes {
		if c != ClassShort && c != ClassLong {
			v.fail(RuleValue, fmt.Sprintf("%s.classes[%d]", at, j), "%q is not a class of work", c)
		}
	}
}

func (v *validation) selectorService(at string, s Selector) {
	service, ok := v.document.Service(s.Service)
	switch {
	case !ok:
		v.fail(RuleUnknownReference, at+".service", "service %q is unknown", s.Service)
	case service.Firm != s.Firm:
		v.fail(RuleOtherFirm, at+".service", "service %q is of firm %q, not %q", s.Service, service.Firm, s.Firm)
	}
	if s.GroupSize > 1 {
		v.fail(RuleRange, at+".group_size", "a group of a plain service has one host, not %d", s.GroupSize)
	}
	if s.ModelVersion != "" || len(s.Adapters) > 0 {
		v.warn(RuleNoEffect, at, "model_version and adapters have no effect for a service")
	}
}

func (v *validation) selectorModel(at string, s Selector) {
	if _, ok := v.document.Model(s.Model, ""); !ok {
		v.fail(RuleUnknownReference, at+".model", "model %q is unknown", s.Model)
		return
	}
	if _, ok := v.document.Model(s.Model, s.ModelVersion); !ok {
		v.fail(RuleUnknownReference, at+".model_version", "model %q has no version %q", s.Model, s.ModelVersion)
	}
	versions := 0
	for _, m := range v.document.Models {
		if m.Name == s.Model {
			versions++
		}
	}
	if s.ModelVersion == "" && versions > 1 {
		v.warn(RuleAmbiguous, at+".model_version", "model %q has %d versions, the first is taken", s.Model, versions)
	}
}

func (v *validation) selectorNumbers(at string, s Selector) {
	if s.GroupSize < 1 {
		v.fail(RuleRange, at+".group_size", "%d is below 1", s.GroupSize)
	}
	if s.WantedGroups < 0 {
		v.fail(RuleRange, at+".wanted_groups", "%d is negative", s.WantedGroups)
	}
	if s.ShortShare != nil && !(*s.ShortShare >= 0 && *s.ShortShare <= 1) {
		v.fail(RuleRange, at+".short_share", "%v is not within 0 to 1", *s.ShortShare)
	}
}

// selectorLabels checks the match expressions of a selector, and that a host can satisfy all its label requirements.
func (v *validation) selectorLabels(at string, s Selector) {
	for j, r := range s.MatchExpressions {
		in := fmt.Sprintf("%s.match_expressions[%d]", at, j)
		switch r.Operator {
		case OperatorIn, OperatorNotIn:
			if len(r.Values) == 0 {
				v.fail(RuleValue, in+".values", "%s needs at least one value", r.Operator)
			}
		case OperatorExists, OperatorDoesNotExist:
			if len(r.Values) > 0 {
				v.fail(RuleValue, in+".values", "%s takes no values", r.Operator)
			}
		default:
			v.fail(RuleValue, in+".operator", "%q is not an operator", r.Operator)
		}
		if r.Key == "" {
			v.fail(RuleName, in+".key", "the label key is empty")
		}
	}
	if key, ok := contradiction(s); ok {
		v.fail(RuleNeverMatches, at, "no host can satisfy what the selector requires of label %q", key)
	}
}

// overlaps warns about selectors with equal priority that can match the same host at the same time. The planner then
// prefers the selector whose name sorts first.
func (v *validation) overlaps() {
	items := v.document.Selectors
	for i, s := range items {
		for j, earlier := range items[:i] {
			if s.Priority != earlier.Priority || s.Name == earlier.Name || hostKind(s) != hostKind(earlier) || !activeTogether(s, earlier) {
				continue
			}
			if _, apart := contradiction(s, earlier); !apart {
				v.warn(RuleOverlap, fmt.Sprintf("selectors[%d]", i),
					"can want the same hosts as selectors[%d] (%s) with the same priority %d", j, earlier.Name, s.Priority)
			}
		}
	}
}

// hostKind returns the kind of host that a selector needs.
func hostKind(s Selector) rudderhost.Kind {
	if s.Service != "" {
		return rudderhost.KindService
	}
	return rudderhost.KindEngine
}

// contradiction returns the first label key for which no value satisfies the requirements of all given selectors.
func contradiction(selectors ...Selector) (string, bool) {
	// It is enough to test each label as absent, with each value that the selectors name, and with a single value
	// that stands for all others.
	const other = "\x00other"
	candidates := map[string][]string{}
	for _, s := range selectors {
		for k, value := range s.MatchLabels {
			candidates[k] = append(candidates[k], value)
		}
		for _, r := range s.MatchExpressions {
			candidates[r.Key] = append(candidates[r.Key], r.Values...)
		}
	}
	keys := make([]string, 0, len(candidates))
	for k := range candidates {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		possible := satisfies(k, "", false, selectors)
		for _, value := range append(candidates[k], other) {
			possible = possible || satisfies(k, value, true, selectors)
		}
		if !possible {
			return k, true
		}
	}
	return "", false
}

// satisfies reports whether a label with the given value, or its absence, meets the requirements of all selectors.
func satisfies(key, value string, present bool, selectors []Selector) bool {
	labels := map[string]string{}
	if present {
		labels[key] = value
	}
	for _, s := range selectors {
		if want, ok := s.MatchLabels[key]; ok && (!present || want != value) {
			return false
		}
		for _, r := range s.MatchExpressions {
			if r.Key == key && !r.matches(labels) {
				return false
			}
		}
	}
	return true
}

// activeTogether reports whether two selectors are ever active at the same time. It checks a week in January and one
// in July, to cover both standard and daylight saving time.
func activeTogether(a, b Selector) bool {
	for _, month := range []time.Month{time.January, time.July} {
		start := time.Date(2026, month, 5, 0, 0, 0, 0, time.UTC)
		end := start.AddDate(0, 0, 8)
		for t, ok := start, true; ok && t.Before(end); t, ok = earliestChange(a, b, t) {
			if a.ActiveAt(t) && b.ActiveAt(t) {
				return true
			}
		}
	}
	return false
}

func earliestChange(a, b Selector, t time.Time) (time.Time, bool) {
	first, ok := a.NextChange(t)
	if other, found := b.NextChange(t); found && (!ok || other.Before(first)) {
		return other, true
	}
	return first, ok
}

// CheckAgainstHosts returns a warning for each selector that the given hosts cannot satisfy: no fabric domain has
// enough matching hosts for a group, or the hosts can form fewer groups than wanted. Hosts that are leaving or
// drained are not counted. It also warns of evacuated data centres without hosts, and if no other one has hosts. The findings are never errors, because the host list can be out of date.
func CheckAgainstHosts(d Document, hosts []rudderhost.Host) Findings {
	v := validation{document: &d}
	for i, s := range d.Selectors {
		if s.GroupSize < 1 {
			continue // reported by Validate
		}
		domains := map[string]int{}
		matching, groups := 0, 0
		for _, h := range hosts {
			usable := h.Kind == hostKind(s) && h.State != rudderhost.StateLeaving
			if usable && !d.SettingsOf(h.Name).Drain && s.Matches(d.LabelsOf(h)) {
				matching++
				domains[h.FabricDomain]++
			}
		}
		for _, count := range domains {
			groups += count / s.GroupSize
		}
		at := fmt.Sprintf("selectors[%d]", i)
		switch {
		case matching == 0:
			v.warn(RuleNeverMatches, at, "no host matches selector %q", s.Name)
		case groups == 0:
			v.warn(RuleNotEnoughHosts, at, "%d hosts match selector %q, but no fabric domain has %d of them", matching, s.Name, s.GroupSize)
		case groups < s.WantedGroups:
			v.warn(RuleNotEnoughHosts, at, "the hosts can form %d groups for selector %q, %d are wanted", groups, s.Name, s.WantedGroups)
		}
	}
	v.evacuationsAgainstHosts(hosts)
	return v.findings
}

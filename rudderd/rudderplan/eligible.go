// Package rudderplan decides which hosts form groups. It divides the wanted groups over fabric domains
// and computes the next plan and the orders of one domain. It is pure: time and state are passed in.
package rudderplan

import (
	"cmp"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderhost"
)

// ordered returns the selectors that are active at t, those that get hosts first in front.
func ordered(config *rudderconfig.Document, t time.Time) []rudderconfig.Selector {
	var out []rudderconfig.Selector
	for _, s := range config.Selectors {
		if s.ActiveAt(t) && groupSize(s) > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b rudderconfig.Selector) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func groupSize(s rudderconfig.Selector) int {
	if s.Service != "" {
		return 1
	}
	return s.GroupSize
}

// fits reports whether the selector's labels and kind of work suit the host.
func fits(config *rudderconfig.Document, s rudderconfig.Selector, h rudderhost.Host) bool {
	kind := rudderhost.KindEngine
	if s.Service != "" {
		kind = rudderhost.KindService
	}
	return h.Kind == kind && s.Matches(config.LabelsOf(h))
}

// flexibility counts the selectors that suit the host.
func flexibility(config *rudderconfig.Document, selectors []rudderconfig.Selector, h rudderhost.Host) int {
	n := 0
	for _, s := range selectors {
		if fits(config, s, h) {
			n++
		}
	}
	return n
}

// departing says why operators or the platform take a host out, or "" if they do not.
func departing(config *rudderconfig.Document, h rudderhost.Host) string {
	switch {
	case h.State == rudderhost.StateLeaving:
		return "host is leaving"
	case config.SettingsOf(h.Name).Drain:
		return "host is drained by operators"
	}
	return ""
}

func findSelector(config *rudderconfig.Document, name string) (rudderconfig.Selector, bool) {
	for _, s := range config.Selectors {
		if s.Name == name {
			return s, true
		}
	}
	return rudderconfig.Selector{}, false
}

// findModel returns the named model. An empty version takes the first one listed.
func findModel(config *rudderconfig.Document, name, version string) rudderconfig.Model {
	for _, m := range config.Models {
		if m.Name == name && (version == "" || m.Version == version) {
			return m
		}
	}
	return rudderconfig.Model{Name: name, Version: version}
}

func weightsName(model, version string) string { return model + "@" + version }

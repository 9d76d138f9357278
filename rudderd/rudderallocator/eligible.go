// Package rudderallocator computes which hosts form groups. Allocate distributes the wanted groups over the
// fabric domains; Step computes the next plan of one domain and the orders that carry it out. The package does
// no I/O: time and state are arguments. Package rudderplanner runs it on an entry host; package
// rudderplacement is its counterpart for services whose targets form groups by join and open.
package rudderallocator

import (
	"cmp"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderhost"
)

// activeSelectors returns the selectors that are active at t by descending priority, then by name. Earlier ones
// get hosts first.
func activeSelectors(config *rudderconfig.Document, t time.Time) []rudderconfig.Selector {
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

// hostIndex holds hosts, labels and settings by host name.
type hostIndex struct {
	hosts    map[string]rudderhost.Host
	labels   map[string]map[string]string
	settings map[string]rudderconfig.HostSettings
}

func newHostIndex(config *rudderconfig.Document, hosts []rudderhost.Host) hostIndex {
	c := hostIndex{hosts: make(map[string]rudderhost.Host, len(hosts)), labels: make(map[string]map[string]string, len(hosts)),
		settings: make(map[string]rudderconfig.HostSettings, len(config.Hosts))}
	for _, s := range config.Hosts {
		c.settings[s.Name] = s
	}
	for _, h := range hosts {
		c.hosts[h.Name] = h
		c.labels[h.Name] = rudderconfig.HostLabels(h, c.settings[h.Name])
	}
	return c
}

// fits reports whether the host matches the selector's labels and runs its kind of work.
func (c hostIndex) fits(s rudderconfig.Selector, host string) bool {
	kind := rudderhost.KindEngine
	if s.Service != "" {
		kind = rudderhost.KindService
	}
	return c.hosts[host].Kind == kind && s.Matches(c.labels[host])
}

// flexibility returns the number of selectors that the host fits.
func (c hostIndex) flexibility(selectors []rudderconfig.Selector, host string) int {
	n := 0
	for _, s := range selectors {
		if c.fits(s, host) {
			n++
		}
	}
	return n
}

// drainReason returns why the platform or an operator takes a host out of service, or "".
func (c hostIndex) drainReason(host string) string {
	switch {
	case c.hosts[host].State == rudderhost.StateLeaving:
		return "host is leaving"
	case c.settings[host].Drain:
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

// findModel returns the named model; an empty version matches the first one listed. An unknown model is
// returned with name and version only.
func findModel(config *rudderconfig.Document, name, version string) rudderconfig.Model {
	for _, m := range config.Models {
		if m.Name == name && (version == "" || m.Version == version) {
			return m
		}
	}
	return rudderconfig.Model{Name: name, Version: version}
}

func weightsName(model, version string) string { return model + "@" + version }

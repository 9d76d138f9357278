package rudderplan

import (
	"cmp"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// Opening is a selector whose window opens soon, with this domain's share of its groups.
type Opening struct {
	Selector string
	Groups   int
	At       time.Time
}

// Upcoming returns, by domain, the selectors whose window opens within the time that fetching their
// weights takes, with their shares at the opening.
func Upcoming(in AllocationInput, t Timing) map[string][]Opening {
	out := map[string][]Opening{}
	for _, s := range in.Config.Selectors {
		opens, ok := s.NextChange(in.Now)
		if !ok || s.Service != "" || s.ActiveAt(in.Now) || opens.Sub(in.Now) > LeadTime(findModel(in.Config, s.Model, s.ModelVersion).WeightBytes, t) {
			continue
		}
		later := in
		later.Now = opens
		for domain, n := range Allocate(later).Selector(s.Name) {
			out[domain] = append(out[domain], Opening{Selector: s.Name, Groups: n, At: opens})
		}
	}
	return out
}

// LeadTime is how long before a window opens its weights are fetched.
func LeadTime(weightBytes int64, t Timing) time.Duration {
	lead := t.PreloadMargin
	if t.WeightBytesPerSecond > 0 {
		lead += time.Duration(float64(weightBytes) / t.WeightBytesPerSecond * float64(time.Second))
	}
	return lead
}

type preload struct {
	host     rudderhost.Host
	role     ruddertarget.Role
	selector string
}

// preloads picks the hosts that will serve an opening selector, in the order of choose, and lack its weights.
func preloads(in Input) []preload {
	var out []preload
	taken := map[string]bool{}
	for _, opening := range in.Upcoming {
		s, ok := findSelector(in.Config, opening.Selector)
		if !ok {
			continue
		}
		g, then := newGroup(in.Config, s), ordered(in.Config, opening.At)
		has := func(h rudderhost.Host) bool {
			return slices.Contains(in.Observed[h.Name].Status.Weights, weightsName(g.Model, g.ModelVersion))
		}
		var hosts []rudderhost.Host
		for _, h := range in.Hosts {
			if !taken[h.Name] && departing(in.Config, h) == "" && fits(in.Config, s, h) && in.Observed[h.Name].fresh(in.Timing) {
				hosts = append(hosts, h)
			}
		}
		slices.SortFunc(hosts, func(a, b rudderhost.Host) int {
			return cmp.Or(cmp.Compare(flexibility(in.Config, then, a), flexibility(in.Config, then, b)),
				-compareBool(has(a), has(b)), cmp.Compare(a.Name, b.Name))
		})
		for _, h := range hosts[:min(len(hosts), opening.Groups*groupSize(s))] {
			taken[h.Name] = true
			if !has(h) {
				out = append(out, preload{host: h, selector: s.Name, role: ruddertarget.Role{Model: g.Model, ModelVersion: g.ModelVersion, Adapters: g.Adapters}})
			}
		}
	}
	return out
}

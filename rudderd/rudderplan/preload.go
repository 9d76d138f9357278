package rudderplan

import (
	"cmp"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// UpcomingWindow is a selector whose window opens soon, with this domain's share of its groups.
type UpcomingWindow struct {
	Selector string
	Groups   int
	At       time.Time
}

// Upcoming returns, by domain, the selectors whose window opens within the time that fetching their
// weights takes, with their shares at the opening.
func Upcoming(in AllocationInput, t Timing) map[string][]UpcomingWindow {
	out := map[string][]UpcomingWindow{}
	for _, s := range in.Config.Selectors {
		opens, ok := opensSoon(in, s, t)
		if !ok {
			continue
		}
		later := in
		later.Now = opens
		for domain, n := range Allocate(later).Selector(s.Name) {
			out[domain] = append(out[domain], UpcomingWindow{Selector: s.Name, Groups: n, At: opens})
		}
	}
	return out
}

// opensSoon returns when the selector's window opens, if that is within its lead time.
func opensSoon(in AllocationInput, s rudderconfig.Selector, t Timing) (time.Time, bool) {
	if s.Service != "" || len(s.Windows) == 0 || s.ActiveAt(in.Now) {
		return time.Time{}, false
	}
	opens, ok := s.NextChange(in.Now)
	return opens, ok && opens.Sub(in.Now) <= LeadTime(findModel(in.Config, s.Model, s.ModelVersion).WeightBytes, t)
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
func preloads(in Input, known catalogue) []preload {
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
			if !taken[h.Name] && known.departing(h.Name) == "" && known.fits(s, h.Name) && in.Observed[h.Name].fresh(in.Timing) {
				hosts = append(hosts, h)
			}
		}
		stays := staying(in, then)
		slices.SortFunc(hosts, func(a, b rudderhost.Host) int {
			return cmp.Or(compareBool(stays[a.Name], stays[b.Name]), cmp.Compare(known.flexibility(then, a.Name), known.flexibility(then, b.Name)),
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

// staying returns the hosts in groups whose selectors want them beyond an opening. The opening selector
// will not get these hosts, so that weights fetched there would be of no use. Groups that fill what is
// left have no wanted number and give way.
func staying(in Input, then []rudderconfig.Selector) map[string]bool {
	out := map[string]bool{}
	for _, g := range in.Plan.Groups {
		if g.State == ruddergroup.StateDraining || !slices.ContainsFunc(then, func(s rudderconfig.Selector) bool {
			return s.Name == g.Selector && s.WantedGroups > 0
		}) {
			continue
		}
		for _, m := range g.Members {
			out[m.Host] = true
		}
	}
	return out
}

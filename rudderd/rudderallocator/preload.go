package rudderallocator

import (
	"cmp"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// UpcomingWindow is a selector whose window opens soon, with the number of its groups allocated to this domain.
type UpcomingWindow struct {
	Selector string
	Groups   int
	At       time.Time
}

// Upcoming returns, by domain, the selectors whose window opens within their LeadTime, with the allocation
// that applies when it opens.
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

// opensSoon returns the time at which the selector's next window opens, if it is within LeadTime.
func opensSoon(in AllocationInput, s rudderconfig.Selector, t Timing) (time.Time, bool) {
	if s.Service != "" || len(s.Windows) == 0 || s.ActiveAt(in.Now) {
		return time.Time{}, false
	}
	opens, ok := s.NextChange(in.Now)
	return opens, ok && opens.Sub(in.Now) <= LeadTime(findModel(in.Config, s.Model, s.ModelVersion).WeightBytes, t)
}

// LeadTime is how long before a window opens the fetch of its model's weights starts: the estimated transfer
// time plus PreloadMargin.
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

// preloads returns the hosts that are expected to serve the upcoming windows but lack the model's weights. It
// ranks hosts as chooseMembers does.
func preloads(in Input, known hostIndex) []preload {
	var out []preload
	taken := map[string]bool{}
	for _, window := range in.Upcoming {
		s, ok := findSelector(in.Config, window.Selector)
		if !ok {
			continue
		}
		g, then := newGroup(in.Config, s), activeSelectors(in.Config, window.At)
		has := func(h rudderhost.Host) bool {
			return slices.Contains(in.Observed[h.Name].Status.Weights, weightsName(g.Model, g.ModelVersion))
		}
		var hosts []rudderhost.Host
		for _, h := range in.Hosts {
			if !taken[h.Name] && known.drainReason(h.Name) == "" && known.fits(s, h.Name) && in.Observed[h.Name].fresh(in.Timing) {
				hosts = append(hosts, h)
			}
		}
		retained := retainedHosts(in, then)
		slices.SortFunc(hosts, func(a, b rudderhost.Host) int {
			return cmp.Or(compareBool(retained[a.Name], retained[b.Name]), cmp.Compare(known.flexibility(then, a.Name), known.flexibility(then, b.Name)),
				-compareBool(has(a), has(b)), cmp.Compare(a.Name, b.Name))
		})
		for _, h := range hosts[:min(len(hosts), window.Groups*groupSize(s))] {
			taken[h.Name] = true
			if !has(h) {
				out = append(out, preload{host: h, selector: s.Name, role: ruddertarget.Role{Model: g.Model, ModelVersion: g.ModelVersion, Adapters: g.Adapters}})
			}
		}
	}
	return out
}

// retainedHosts returns the hosts of groups whose selectors are still active, with a wanted number of groups,
// when the window opens. The upcoming selector will not get these hosts, so preloading weights there would be
// useless. Groups of selectors without a wanted number use leftover hosts and are displaced.
func retainedHosts(in Input, then []rudderconfig.Selector) map[string]bool {
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

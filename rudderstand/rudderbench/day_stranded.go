package rudderbench

import (
	"slices"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
)

// bestStranded returns the fewest usable hosts of a region that any packing leaves without a group, when
// it first places as many wanted groups as possible. All usable hosts of a domain suit the same
// selectors, so that counting them is enough: the search goes domain by domain over how many wanted
// groups are placed so far.
func (w *dayWorld) bestStranded(region string) int {
	var sizes, wanted []int // of the wanted selectors; size 4 for both here
	for _, s := range w.config.Selectors {
		if s.WantedGroups > 0 && s.ActiveAt(w.now) && s.MatchLabels["region"] == region {
			sizes, wanted = append(sizes, s.GroupSize), append(wanted, s.WantedGroups)
		}
	}
	if slices.Max(sizes) != slices.Min(sizes) {
		panic("bestStranded needs wanted groups of one size")
	}
	total := 0
	for _, n := range wanted {
		total += n
	}
	const impossible = 1 << 30
	fewest := make([]int, total+1) // by number of wanted groups placed
	for i := range fewest {
		fewest[i] = impossible
	}
	fewest[0] = 0
	for _, d := range w.domains {
		hosts := 0
		for _, h := range w.byDomain[d] {
			if h.Region == region && w.usable(h) {
				hosts++
			}
		}
		next := make([]int, total+1)
		for i := range next {
			next[i] = impossible
			for here := 0; here <= i && here*sizes[0] <= hosts; here++ {
				if fewest[i-here] < impossible {
					next[i] = min(next[i], fewest[i-here]+(hosts-here*sizes[0])%dayBatchSize)
				}
			}
		}
		fewest = next
	}
	for placed := total; placed >= 0; placed-- {
		if fewest[placed] < impossible {
			return fewest[placed]
		}
	}
	return 0
}

// stranded counts the usable hosts of a region that are in no serving group.
func (w *dayWorld) stranded(region string) int {
	working := map[string]bool{}
	for _, d := range w.domains {
		for _, g := range w.plans[d].Groups {
			if g.State == ruddergroup.StateServing && w.whole(g) {
				for _, m := range g.Members {
					working[m.Host] = true
				}
			}
		}
	}
	n := 0
	for _, h := range w.hosts {
		if h.Region == region && w.usable(h) && !working[h.Name] {
			n++
		}
	}
	return n
}

// missing sums the wanted groups that do not serve, of those that the hosts which are up have room for.
func (w *dayWorld) missing() int {
	serving, missing := w.servingBySelector(), 0
	for _, f := range dayFirms {
		wanted, serves, room, size := 0, 0, 0, 1
		for _, s := range w.config.Selectors {
			if s.WantedGroups > 0 && s.ActiveAt(w.now) && s.MatchLabels["region"] == f.region {
				wanted, serves, size = wanted+s.WantedGroups, serves+min(s.WantedGroups, serving[s.Name]), s.GroupSize
			}
		}
		for _, d := range w.domains {
			hosts := 0
			for _, h := range w.byDomain[d] {
				if h.Region == f.region && w.usable(h) {
					hosts++
				}
			}
			room += hosts / size
		}
		missing += max(0, min(wanted, room)-serves)
	}
	return missing
}

func (w *dayWorld) selector(name string) rudderconfig.Selector {
	i := slices.IndexFunc(w.config.Selectors, func(s rudderconfig.Selector) bool { return s.Name == name })
	return w.config.Selectors[i]
}

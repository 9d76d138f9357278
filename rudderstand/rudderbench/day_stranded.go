package rudderbench

import (
	"slices"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
)

// minimumStranded returns the lower bound of stranded hosts: the fewest usable hosts of a region that any
// packing leaves without a group, if as many wanted groups as possible are placed first. All usable hosts of a
// domain match the same selectors, so it is enough to count them. The search is a dynamic program over the
// domains and the number of wanted groups placed so far.
func (w *daySimulation) minimumStranded(region string) int {
	var sizes, wanted []int // by selector with wanted groups; both sizes are 4 in this layout
	for _, s := range w.config.Selectors {
		if s.WantedGroups > 0 && s.ActiveAt(w.now) && s.MatchLabels["region"] == region {
			sizes, wanted = append(sizes, s.GroupSize), append(wanted, s.WantedGroups)
		}
	}
	if slices.Max(sizes) != slices.Min(sizes) {
		panic("minimumStranded needs wanted groups of one size")
	}
	total := 0
	for _, n := range wanted {
		total += n
	}
	const impossible = 1 << 30
	fewest := make([]int, total+1) // hosts left over, by number of wanted groups placed
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
func (w *daySimulation) stranded(region string) int {
	working := map[string]bool{}
	for _, d := range w.domains {
		for _, g := range w.plans[d].Groups {
			if g.State == ruddergroup.StateServing && w.ready(g) {
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

// missing counts the wanted groups that do not serve although the usable hosts have room for them.
func (w *daySimulation) missing() int {
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

func (w *daySimulation) selector(name string) rudderconfig.Selector {
	i := slices.IndexFunc(w.config.Selectors, func(s rudderconfig.Selector) bool { return s.Name == name })
	return w.config.Selectors[i]
}

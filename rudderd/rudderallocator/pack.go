package rudderallocator

import (
	"slices"

	"comfreyrudder.example/shared/rudderconfig"
)

// searchSteps bounds the search for the combination of groups that strands the fewest hosts of one domain.
const searchSteps = 400

// hostClass counts the hosts of one domain that fit exactly the same selectors.
type hostClass struct {
	suits []bool // by selector index
	count int
}

func (c hostClass) flexibility() int {
	n := 0
	for _, s := range c.suits {
		if s {
			n++
		}
	}
	return n
}

// pool holds the usable hosts of one domain, least flexible classes first.
type pool []hostClass

// take removes the hosts for one group of selector s, the least flexible ones first. It reports false if there
// are too few.
func (p pool) take(s, size int) bool {
	if p.room(s) < size {
		return false
	}
	for i := range p {
		if !p[i].suits[s] {
			continue
		}
		n := min(size, p[i].count)
		p[i].count -= n
		size -= n
	}
	return true
}

// room returns the number of hosts that fit selector s.
func (p pool) room(s int) int {
	n := 0
	for _, c := range p {
		if c.suits[s] {
			n += c.count
		}
	}
	return n
}

func (p pool) size() int {
	n := 0
	for _, c := range p {
		n += c.count
	}
	return n
}

// place returns the pool that is left after taking counts[s] groups of each selector s, in order. It reports
// false if they do not fit.
func (p pool) place(selectors []rudderconfig.Selector, counts []int) (pool, bool) {
	left := slices.Clone(p)
	for s, n := range counts {
		for range n {
			if !left.take(s, groupSize(selectors[s])) {
				return nil, false
			}
		}
	}
	return left, true
}

// fill adds as many groups as possible of the selectors for which open returns true. Higher priorities take all
// they can use. Among selectors of equal priority it picks the combination that leaves the fewest hosts.
func (p pool) fill(selectors []rudderconfig.Selector, open func(s int) bool) (added []int, left pool) {
	added, left = make([]int, len(selectors)), slices.Clone(p)
	for first := 0; first < len(selectors); {
		last := first
		var tier []int
		for ; last < len(selectors) && selectors[last].Priority == selectors[first].Priority; last++ {
			if open(last) {
				tier = append(tier, last)
			}
		}
		if len(tier) > 0 {
			mix, rest := left.mix(selectors, tier)
			for i, s := range tier {
				added[s] = mix[i]
			}
			left = rest
		}
		first = last
	}
	return added, left
}

// mix chooses the number of groups of each selector in a tier of equal priority so that the fewest hosts are
// left. Ties go to the combination with the most groups of the earlier selectors. After searchSteps steps it
// returns the best combination found so far.
func (p pool) mix(selectors []rudderconfig.Selector, tier []int) (best []int, left pool) {
	steps, bestLeft := searchSteps, p.size()+1
	current := make([]int, len(tier))
	var search func(i int, rest pool)
	search = func(i int, rest pool) {
		if i == len(tier) {
			if n := rest.size(); n < bestLeft {
				best, left, bestLeft = slices.Clone(current), rest, n
			}
			return
		}
		size := groupSize(selectors[tier[i]])
		for n := rest.room(tier[i]) / size; n >= 0; n-- {
			if best != nil && (bestLeft == 0 || steps <= 0) {
				return
			}
			steps--
			next := slices.Clone(rest)
			for range n {
				next.take(tier[i], size)
			}
			current[i] = n
			search(i+1, next)
		}
	}
	search(0, slices.Clone(p))
	return best, left
}

// waste estimates how many hosts stay unused in the best combination of all selectors.
func (p pool) waste(selectors []rudderconfig.Selector) int {
	all := make([]int, len(selectors))
	for i := range all {
		all[i] = i
	}
	_, left := p.mix(selectors, all)
	return left.size()
}

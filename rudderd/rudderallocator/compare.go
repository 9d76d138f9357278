package rudderallocator

import "slices"

// FirstFit allocates greedily: selectors in order, each group to the first domain where it fits. It is the
// baseline for benchmarks and the lower bound for Allocate.
func FirstFit(in AllocationInput) Allocation {
	p := newPacking(in)
	p.firstFit()
	return p.result()
}

func (p *packing) firstFit() {
	for s, selector := range p.selectors {
		for range selector.WantedGroups {
			if !p.addFirst(s) {
				break
			}
		}
	}
}

// open returns the domains outside evacuated data centres.
func (p *packing) open() []int {
	var open []int
	for d := range p.domains {
		if !p.closed[d] {
			open = append(open, d)
		}
	}
	return open
}

func (p *packing) addFirst(s int) bool {
	return slices.ContainsFunc(p.open(), func(d int) bool { return p.keep(d, s, 1) == 1 })
}

// score makes packings comparable; a lower score is better. It lists the unplaced groups of each selector in
// priority order, then the stranded hosts.
func (p *packing) score() []int {
	score := make([]int, 0, len(p.selectors)+1)
	for s, selector := range p.selectors {
		missing := selector.WantedGroups
		for _, d := range p.open() {
			missing -= p.counts[d][s]
		}
		score = append(score, missing)
	}
	stranded := 0
	for d := range p.domains {
		stranded += p.stranded(d)
	}
	return append(score, stranded)
}

// BestPacking finds the best allocation by exhaustive search: the most wanted groups by priority, then the
// fewest stranded hosts. It returns false if the search takes more than the given number of steps.
func BestPacking(in AllocationInput, steps int) (Allocation, bool) {
	p := newPacking(in)
	best := p.score()
	bestCounts := cloneCounts(p.counts)
	var search func(s, d, left int) bool
	search = func(s, d, left int) bool {
		if steps--; steps < 0 {
			return false
		}
		if s == len(p.selectors) {
			if score := p.score(); slices.Compare(score, best) < 0 {
				best, bestCounts = score, cloneCounts(p.counts)
			}
			return true
		}
		if d == len(p.domains) {
			next := 0
			if s+1 < len(p.selectors) {
				next = p.selectors[s+1].WantedGroups
			}
			return search(s+1, 0, next)
		}
		if p.closed[d] {
			return search(s, d+1, left)
		}
		for n := 0; n <= left; n++ {
			p.counts[d][s] = n
			if !p.valid(d) {
				break
			}
			if !search(s, d+1, left-n) {
				return false
			}
		}
		p.counts[d][s] = 0
		return true
	}
	if len(p.selectors) > 0 && !search(0, 0, p.selectors[0].WantedGroups) {
		return Allocation{}, false
	}
	p.counts = bestCounts
	return p.result(), true
}

func cloneCounts(counts [][]int) [][]int {
	out := make([][]int, len(counts))
	for i, c := range counts {
		out[i] = slices.Clone(c)
	}
	return out
}

// AsGoodAs reports whether the allocation is at least as good as the other one. Missing groups are compared
// selector by selector in the given order, then stranded hosts.
func (a Allocation) AsGoodAs(other Allocation, selectors []string) bool {
	for _, s := range selectors {
		if a.Missing(s) != other.Missing(s) {
			return a.Missing(s) < other.Missing(s)
		}
	}
	return a.StrandedTotal() <= other.StrandedTotal()
}

package rudderallocator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderhost"
)

// AllocationInput holds the inputs of Allocate.
type AllocationInput struct {
	Now    time.Time
	Config *rudderconfig.Document
	Hosts  []rudderhost.Host
	// Down holds the hosts that are known to be unreachable.
	Down map[string]bool
	// Current is the number of groups in the plans by selector and domain, without draining ones. They stay
	// where they are unless moving them leaves fewer hosts unused. Optional.
	Current map[string]map[string]int
}

// Allocation is the number of groups of each selector that each fabric domain should have.
type Allocation struct {
	counts   map[string]map[string]int // by selector and domain
	usable   map[string]int            // hosts by domain that match at least one active selector
	stranded map[string]int            // usable hosts by domain that are in no group
	missing  map[string]int            // wanted groups by selector that do not fit anywhere
	closed   map[string]bool           // domains in evacuated data centres
}

// Groups returns the number of groups of a selector in a domain.
func (a Allocation) Groups(selector, domain string) int { return a.counts[selector][domain] }

// Domain returns the number of groups by selector in one domain.
func (a Allocation) Domain(domain string) map[string]int {
	out := map[string]int{}
	for selector, domains := range a.counts {
		if n := domains[domain]; n > 0 {
			out[selector] = n
		}
	}
	return out
}

// Selector returns the number of groups by domain of one selector.
func (a Allocation) Selector(selector string) map[string]int { return maps.Clone(a.counts[selector]) }

// Total returns the number of groups of a selector over all domains outside evacuated data centres.
func (a Allocation) Total(selector string) int {
	n := 0
	for domain, c := range a.counts[selector] {
		if !a.closed[domain] {
			n += c
		}
	}
	return n
}

// Totals returns the number of groups by selector over all domains outside evacuated data centres.
func (a Allocation) Totals() map[string]int {
	out := make(map[string]int, len(a.counts))
	for s := range a.counts {
		out[s] = a.Total(s)
	}
	return out
}

// Missing returns how many wanted groups of a selector do not fit anywhere.
func (a Allocation) Missing(selector string) int { return a.missing[selector] }

// Stranded returns how many usable hosts of a domain are in no group.
func (a Allocation) Stranded(domain string) int { return a.stranded[domain] }

// StrandedTotal returns how many usable hosts of the fleet are in no group.
func (a Allocation) StrandedTotal() int {
	n := 0
	for _, c := range a.stranded {
		n += c
	}
	return n
}

// packing is an allocation in progress. counts holds the number of groups by domain index and selector index.
type packing struct {
	selectors []rudderconfig.Selector
	domains   []string
	pools     []pool
	counts    [][]int
	// closed marks the domains in evacuated data centres. They keep their current groups, which do not count as wanted ones.
	closed []bool
	// cost caches, by domain, how many more hosts are wasted by one more group of each selector. An entry is
	// nil when the domain's counts have changed since it was computed.
	cost [][]int
}

// noFit is the cost of a group that does not fit into a domain.
const noFit = math.MaxInt

// Allocate distributes the wanted groups over the fabric domains. Current groups that still fit are placed first,
// where they are; the others follow, higher priorities first. Each goes to the domain where it wastes the fewest
// hosts. Ties go to the domain with the fewest groups of the selector, then are broken by a hash, so that a
// change in one domain moves few groups in the others. Selectors with 0 wanted groups get the remaining hosts.
// Domains in evacuated data centres keep their current groups, which count for no selector, and get no others but
// those of selectors with 0 wanted groups.
//
// The result is never worse than that of FirstFit.
func Allocate(in AllocationInput) Allocation {
	p := newPacking(in)
	if len(p.domains) == 0 {
		return p.result()
	}
	placed := p.placeCurrent(in.Current)
	for s, selector := range p.selectors {
		for range selector.WantedGroups - placed[s] {
			if !p.add(s) && !p.makeRoom(s) {
				break
			}
		}
	}
	p.improve()
	first := newPacking(in)
	first.firstFit()
	if slices.Compare(first.score(), p.score()) < 0 {
		return first.result()
	}
	return p.result()
}

// placeCurrent places the current groups that still fit, up to the wanted number, and returns how many it
// placed of each selector.
func (p *packing) placeCurrent(current map[string]map[string]int) []int {
	placed := make([]int, len(p.selectors))
	for s, selector := range p.selectors {
		for d, domain := range p.domains {
			if !p.closed[d] {
				placed[s] += p.keep(d, s, min(current[selector.Name][domain], selector.WantedGroups-placed[s]))
			}
		}
	}
	return placed
}

// keep places up to the given number of groups of selector s in domain d, and returns how many fit.
func (p *packing) keep(d, s, groups int) int {
	for n := range groups {
		p.counts[d][s]++
		if !p.valid(d) {
			p.counts[d][s]--
			return n
		}
	}
	return max(0, groups)
}

func newPacking(in AllocationInput) *packing {
	p := &packing{selectors: activeSelectors(in.Config, in.Now)}
	byDomain, closed := map[string]map[string]*hostClass{}, map[string]bool{}
	hosts := newHostIndex(in.Config, in.Hosts)
	for _, h := range in.Hosts {
		if in.Down[h.Name] || hosts.drainReason(h.Name) != "" {
			continue
		}
		suits, key, some := make([]bool, len(p.selectors)), make([]byte, len(p.selectors)), false
		for i, s := range p.selectors {
			if hosts.fits(s, h.Name) {
				suits[i], key[i], some = true, 1, true
			}
		}
		if !some {
			continue
		}
		if byDomain[h.FabricDomain] == nil {
			byDomain[h.FabricDomain] = map[string]*hostClass{}
		}
		if byDomain[h.FabricDomain][string(key)] == nil {
			byDomain[h.FabricDomain][string(key)] = &hostClass{suits: suits}
		}
		byDomain[h.FabricDomain][string(key)].count++
		closed[h.FabricDomain] = in.Config.Evacuated(h.DataCentre)
	}
	p.domains = slices.Sorted(maps.Keys(byDomain))
	for i, d := range p.domains {
		var classes pool
		for _, key := range slices.Sorted(maps.Keys(byDomain[d])) {
			classes = append(classes, *byDomain[d][key])
		}
		slices.SortStableFunc(classes, func(a, b hostClass) int { return cmp.Compare(a.flexibility(), b.flexibility()) })
		p.pools = append(p.pools, classes)
		p.counts = append(p.counts, make([]int, len(p.selectors)))
		p.closed = append(p.closed, closed[d])
		for s, selector := range p.selectors {
			if p.closed[i] && !p.unlimited(s) {
				p.keep(i, s, in.Current[selector.Name][d])
			}
		}
	}
	p.cost = make([][]int, len(p.domains))
	return p
}

// add places one group of selector s in the best domain where it fits, and reports whether there is one.
func (p *packing) add(s int) bool {
	type placement struct {
		domain, waste, groups int
		hash                  uint64
	}
	var options []placement
	for d := range p.domains {
		if p.closed[d] {
			continue
		}
		if p.cost[d] == nil {
			p.cost[d] = p.costs(d)
		}
		if p.cost[d][s] != noFit {
			options = append(options, placement{domain: d, groups: p.counts[d][s], waste: p.cost[d][s],
				hash: xxhash.Sum64String(p.selectors[s].Name + "\x00" + p.domains[d])})
		}
	}
	if len(options) == 0 {
		return false
	}
	best := slices.MinFunc(options, func(a, b placement) int {
		return cmp.Or(cmp.Compare(a.waste, b.waste), cmp.Compare(a.groups, b.groups), cmp.Compare(a.hash, b.hash))
	})
	p.counts[best.domain][s]++
	p.cost[best.domain] = nil
	return true
}

// costs returns, by selector, how many more hosts of domain d are wasted by one more group.
func (p *packing) costs(d int) []int {
	before, _ := p.pools[d].place(p.selectors, p.counts[d])
	waste := before.waste(p.selectors)
	out := make([]int, len(p.selectors))
	for s, selector := range p.selectors {
		after := slices.Clone(before)
		if !after.take(s, groupSize(selector)) {
			out[s] = noFit
			continue
		}
		out[s] = after.waste(p.selectors) - waste
	}
	return out
}

// makeRoom moves one group of any selector to another domain so that a group of s fits in its place.
func (p *packing) makeRoom(s int) bool {
	return p.move(func(from, to, moved int) bool {
		p.counts[from][s]++
		if p.valid(from) && p.valid(to) {
			p.cost[from], p.cost[to] = nil, nil
			return true
		}
		p.counts[from][s]--
		return false
	})
}

// improve moves single groups between domains for as long as each move leaves fewer hosts unused.
func (p *packing) improve() {
	for range len(p.domains) * len(p.selectors) {
		if !p.move(func(from, to, moved int) bool {
			if !p.valid(from) || !p.valid(to) {
				return false
			}
			after := p.stranded(from) + p.stranded(to)
			p.counts[from][moved]++
			p.counts[to][moved]--
			before := p.stranded(from) + p.stranded(to)
			p.counts[from][moved]--
			p.counts[to][moved]++
			return after < before
		}) {
			return
		}
	}
}

// move tries each move of one group to another domain and keeps the first one that accept approves.
func (p *packing) move(accept func(from, to, moved int) bool) bool {
	for from := range p.domains {
		for s := range p.selectors {
			if p.counts[from][s] == 0 || p.closed[from] {
				continue
			}
			for to := range p.domains {
				if to == from || p.closed[to] {
					continue
				}
				p.counts[from][s]--
				p.counts[to][s]++
				if accept(from, to, s) {
					return true
				}
				p.counts[from][s]++
				p.counts[to][s]--
			}
		}
	}
	return false
}

// valid reports whether all groups of domain d fit.
func (p *packing) valid(d int) bool {
	_, ok := p.pools[d].place(p.selectors, p.counts[d])
	return ok
}

func (p *packing) unlimited(s int) bool { return p.selectors[s].WantedGroups == 0 }

// stranded returns how many usable hosts of domain d are left after unlimited selectors have been filled.
func (p *packing) stranded(d int) int {
	left, _ := p.pools[d].place(p.selectors, p.counts[d])
	_, left = left.fill(p.selectors, p.unlimited)
	return left.size()
}

func (p *packing) result() Allocation {
	a := Allocation{counts: map[string]map[string]int{}, usable: map[string]int{}, stranded: map[string]int{}, missing: map[string]int{}, closed: map[string]bool{}}
	for _, s := range p.selectors {
		a.counts[s.Name] = map[string]int{}
		a.missing[s.Name] = s.WantedGroups
	}
	for d, domain := range p.domains {
		left, _ := p.pools[d].place(p.selectors, p.counts[d])
		added, left := left.fill(p.selectors, p.unlimited)
		a.closed[domain] = p.closed[d]
		a.usable[domain], a.stranded[domain] = p.pools[d].size(), left.size()
		for i, s := range p.selectors {
			if n := p.counts[d][i] + added[i]; n > 0 {
				a.counts[s.Name][domain] = n
			}
			if !p.closed[d] {
				a.missing[s.Name] -= p.counts[d][i]
			}
		}
	}
	return a
}

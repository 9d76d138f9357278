package rudderplan

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

// AllocationInput is what the division of groups over domains depends on.
type AllocationInput struct {
	Now    time.Time
	Config *rudderconfig.Document
	Hosts  []rudderhost.Host
	// Down names hosts that are known not to answer.
	Down map[string]bool
	// Current is the number of groups by selector and domain that the plans have, draining ones left out. They
	// stay where they are if that strands no more hosts. Optional.
	Current map[string]map[string]int
}

// Allocation says how many groups of each selector each fabric domain should hold.
type Allocation struct {
	counts   map[string]map[string]int // selector, domain
	usable   map[string]int            // hosts by domain that suit some active selector
	stranded map[string]int            // of these, hosts in no group
	missing  map[string]int            // wanted groups by selector that found no room
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

// Total returns the number of groups of a selector over all domains.
func (a Allocation) Total(selector string) int {
	n := 0
	for _, c := range a.counts[selector] {
		n += c
	}
	return n
}

// Totals returns the number of groups by selector over all domains.
func (a Allocation) Totals() map[string]int {
	out := make(map[string]int, len(a.counts))
	for s := range a.counts {
		out[s] = a.Total(s)
	}
	return out
}

// Missing returns how many wanted groups of a selector found no room.
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

// packing is a division in progress: the pool and the groups by selector index of each domain.
type packing struct {
	selectors []rudderconfig.Selector
	domains   []string
	pools     []pool
	counts    [][]int
	// cost holds, by domain, the hosts that one more group of each selector wastes. An entry is nil
	// after a change of the domain's counts.
	cost [][]int
}

// noRoom is the cost of a group that does not fit.
const noRoom = math.MaxInt

// Allocate divides the wanted groups over the fabric domains. Wanted groups of higher priority come
// first; each goes to the domain where it wastes the fewest hosts, then where the selector has the
// fewest groups, then by a hash, so that a change in one domain moves few groups of the others.
// Selectors with 0 wanted groups fill what is left.
//
// The result is never worse than FirstFit's.
func Allocate(in AllocationInput) Allocation {
	p := newPacking(in)
	if len(p.domains) == 0 {
		return p.result()
	}
	placed := p.keep(in.Current)
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

// keep places the held groups that fit, and returns how many of each selector.
func (p *packing) keep(held map[string]map[string]int) []int {
	placed := make([]int, len(p.selectors))
	for s, selector := range p.selectors {
		for d, domain := range p.domains {
			for range held[selector.Name][domain] {
				if placed[s] >= selector.WantedGroups {
					break
				}
				p.counts[d][s]++
				if !p.valid(d) {
					p.counts[d][s]--
					break
				}
				placed[s]++
			}
		}
	}
	return placed
}

func newPacking(in AllocationInput) *packing {
	p := &packing{selectors: ordered(in.Config, in.Now)}
	byDomain := map[string]map[string]*class{}
	hosts := newCatalogue(in.Config, in.Hosts)
	for _, h := range in.Hosts {
		if in.Down[h.Name] || hosts.departing(h.Name) != "" {
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
			byDomain[h.FabricDomain] = map[string]*class{}
		}
		if byDomain[h.FabricDomain][string(key)] == nil {
			byDomain[h.FabricDomain][string(key)] = &class{suits: suits}
		}
		byDomain[h.FabricDomain][string(key)].count++
	}
	p.domains = slices.Sorted(maps.Keys(byDomain))
	for _, d := range p.domains {
		var classes pool
		for _, key := range slices.Sorted(maps.Keys(byDomain[d])) {
			classes = append(classes, *byDomain[d][key])
		}
		slices.SortStableFunc(classes, func(a, b class) int { return cmp.Compare(a.flexibility(), b.flexibility()) })
		p.pools = append(p.pools, classes)
		p.counts = append(p.counts, make([]int, len(p.selectors)))
	}
	p.cost = make([][]int, len(p.domains))
	return p
}

// add places one group of selector s in the best domain with room.
func (p *packing) add(s int) bool {
	type option struct {
		domain, waste, held int
		hash                uint64
	}
	var options []option
	for d := range p.domains {
		if p.cost[d] == nil {
			p.cost[d] = p.costs(d)
		}
		if p.cost[d][s] != noRoom {
			options = append(options, option{domain: d, held: p.counts[d][s], waste: p.cost[d][s],
				hash: xxhash.Sum64String(p.selectors[s].Name + "\x00" + p.domains[d])})
		}
	}
	if len(options) == 0 {
		return false
	}
	best := slices.MinFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.waste, b.waste), cmp.Compare(a.held, b.held), cmp.Compare(a.hash, b.hash))
	})
	p.counts[best.domain][s]++
	p.cost[best.domain] = nil
	return true
}

func (p *packing) costs(d int) []int {
	before, _ := p.pools[d].place(p.selectors, p.counts[d])
	waste := before.waste(p.selectors)
	out := make([]int, len(p.selectors))
	for s, selector := range p.selectors {
		after := slices.Clone(before)
		if !after.take(s, groupSize(selector)) {
			out[s] = noRoom
			continue
		}
		out[s] = after.waste(p.selectors) - waste
	}
	return out
}

// makeRoom moves one group of another selector to another domain so that a group of s fits.
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

// improve moves single groups between domains for as long as this strands fewer hosts.
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

// move tries every move of one group to another domain and keeps the first that is accepted.
func (p *packing) move(accept func(from, to, moved int) bool) bool {
	for from := range p.domains {
		for s := range p.selectors {
			if p.counts[from][s] == 0 {
				continue
			}
			for to := range p.domains {
				if to == from {
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

func (p *packing) valid(d int) bool {
	_, ok := p.pools[d].place(p.selectors, p.counts[d])
	return ok
}

func (p *packing) unlimited(s int) bool { return p.selectors[s].WantedGroups == 0 }

func (p *packing) stranded(d int) int {
	left, _ := p.pools[d].place(p.selectors, p.counts[d])
	_, left = left.fill(p.selectors, p.unlimited)
	return left.size()
}

func (p *packing) result() Allocation {
	a := Allocation{counts: map[string]map[string]int{}, usable: map[string]int{}, stranded: map[string]int{}, missing: map[string]int{}}
	for _, s := range p.selectors {
		a.counts[s.Name] = map[string]int{}
		a.missing[s.Name] = s.WantedGroups
	}
	for d, domain := range p.domains {
		left, _ := p.pools[d].place(p.selectors, p.counts[d])
		added, left := left.fill(p.selectors, p.unlimited)
		a.usable[domain], a.stranded[domain] = p.pools[d].size(), left.size()
		for i, s := range p.selectors {
			if n := p.counts[d][i] + added[i]; n > 0 {
				a.counts[s.Name][domain] = n
			}
			a.missing[s.Name] -= p.counts[d][i]
		}
	}
	return a
}

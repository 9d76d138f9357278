package rudderadmission

import (
	"math"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

const (
	// rateDecay is the weight of a new sample in the decayed token rate of a group.
	rateDecay = 0.1
	// rateSamples is how many runs a group must finish before it can count as a straggler; the first
	// few are dominated by the length of single requests.
	rateSamples = 8
	// stragglerRatio of the median peer rate is where a group's slots are scaled down. Healthy groups
	// differ by less than two in mean rate once rateSamples are in.
	stragglerRatio = 0.5
	// reportLag bounds how old an engine's report can be relative to the owner's own count.
	reportLag = 2 * time.Second
)

type countAt struct {
	at   time.Time
	held int
}

type groupState struct {
	Group
	short, long int
	rate        float64 // decayed tokens per second of one slot
	samples     int
	// external is load that the engine reports and no held slot explains: slots granted by an
	// earlier or a second owner, or local shares.
	external int
	history  []countAt
}

func (g *groupState) held() int { return g.short + g.long }

func (g *groupState) used() int { return g.held() + g.external }

func (g *groupState) utilisation(slots int) float64 {
	return float64(g.used()) / float64(max(1, slots))
}

func (g *groupState) count(class rudderconfig.WorkClass, change int, now time.Time) {
	if class == rudderconfig.ClassLong {
		g.long += change
	} else {
		g.short += change
	}
	g.history = append(g.history, countAt{now, g.held()})
	for len(g.history) > 1 && now.Sub(g.history[1].at) > 2*reportLag {
		g.history = g.history[1:]
	}
}

// heldAround is the highest number of held slots within reportLag of a time.
func (g *groupState) heldAround(at time.Time) int {
	highest, before := 0, 0
	for _, c := range g.history {
		if c.at.Before(at.Add(-reportLag)) {
			before = c.held
			continue
		}
		if c.at.After(at.Add(reportLag)) {
			break
		}
		highest = max(highest, c.held)
	}
	return max(highest, before)
}

func (g *groupState) observe(tokens int, elapsed time.Duration) {
	if tokens <= 0 || elapsed <= 0 {
		return
	}
	rate := float64(tokens) / elapsed.Seconds()
	if g.samples == 0 {
		g.rate = rate
	}
	g.samples++
	weight := max(rateDecay, 1/float64(g.samples))
	g.rate += weight * (rate - g.rate)
}

// effectiveSlots scales the slots of a straggler by its share of the median rate of its peers. One
// slot stays, so that a recovered group is noticed.
func (s *Shard) effectiveSlots(g *groupState) int {
	median := s.medianRate
	if median <= 0 || g.samples < rateSamples || g.rate >= stragglerRatio*median {
		return g.Slots
	}
	return min(g.Slots, max(1, int(float64(g.Slots)*g.rate/median)))
}

func (s *Shard) updateMedian() {
	var rates []float64
	for _, g := range s.groups {
		if g.samples >= rateSamples {
			rates = append(rates, g.rate)
		}
	}
	s.medianRate = 0
	if len(rates) >= 2 {
		slices.Sort(rates)
		// The upper median: of two groups, the slower is compared with the faster.
		s.medianRate = rates[len(rates)/2]
	}
}

// free is the number of slots of a group that work of a class may take now.
func (s *Shard) free(g *groupState, class rudderconfig.WorkClass, policy Policy) int {
	if g.Draining {
		return 0
	}
	slots := s.effectiveSlots(g)
	open := slots - g.used()
	if class != rudderconfig.ClassLong {
		return open
	}
	share := policy.ShortShare
	if g.ShortShare != nil {
		share = *g.ShortShare
	}
	reserved := int(math.Ceil(share * float64(slots)))
	if share < 1 {
		// A group of one or two slots must stay usable for long work.
		reserved = min(reserved, slots-1)
	}
	return min(open, slots-reserved-g.long)
}

// place chooses the group for work: among groups with a free slot the least utilised one, or one
// that holds the prompt's prefix and is at most PreferSlack above it.
func (s *Shard) place(work Work, policy Policy) *groupState {
	var least *groupState
	leastLoad := 0.0
	for _, g := range s.groups {
		if work.avoids(g.ID) || s.free(g, work.Class, policy) <= 0 {
			continue
		}
		if load := g.utilisation(s.effectiveSlots(g)); least == nil || load < leastLoad {
			least, leastLoad = g, load
		}
	}
	chosen, gain := least, 0.0
	for _, g := range s.groups {
		share := work.Prefer[g.ID]
		if share <= gain || work.avoids(g.ID) || s.free(g, work.Class, policy) <= 0 {
			continue
		}
		if g.utilisation(s.effectiveSlots(g)) <= leastLoad+policy.PreferSlack {
			chosen, gain = g, share
		}
	}
	return chosen
}

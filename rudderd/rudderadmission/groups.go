package rudderadmission

import (
	"math"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

const (
	// rateDecay is the weight of a new sample in the moving average of a group's token rate.
	rateDecay = 0.1
	// rateSamples is the number of finished runs after which a group can count as a straggler. The rate of the
	// first few runs is dominated by the length of single requests.
	rateSamples = 8
	// stragglerRatio is the share of the median rate below which a group's slots are scaled down. The mean
	// rates of healthy groups differ by less than a factor of two after rateSamples runs.
	stragglerRatio = 0.5
	// reportLag bounds the delay between an engine's report and the owner's own count.
	reportLag = 2 * time.Second
)

// heldSample is the number of held slots of a group from a time on.
type heldSample struct {
	at   time.Time
	held int
}

type groupState struct {
	Group
	short, long int
	rate        float64 // moving average of tokens per second of one slot
	samples     int
	// external is the reported load in excess of the held slots: slots that an earlier or a second owner
	// granted, or that entry hosts took from their local shares.
	external int
	// limited is set while the leader takes no further request, because it limits their rate.
	limited     bool
	heldHistory []heldSample
}

func (g *groupState) held() int { return g.short + g.long }

func (g *groupState) used() int { return g.held() + g.external }

func (g *groupState) utilisation(slots int) float64 {
	return float64(g.used()) / float64(max(1, slots))
}

func (g *groupState) adjustHeld(class rudderconfig.WorkClass, change int, now time.Time) {
	if class == rudderconfig.ClassLong {
		g.long += change
	} else {
		g.short += change
	}
	g.heldHistory = append(g.heldHistory, heldSample{now, g.held()})
	for len(g.heldHistory) > 1 && now.Sub(g.heldHistory[1].at) > 2*reportLag {
		g.heldHistory = g.heldHistory[1:]
	}
}

// maxHeldAround returns the highest number of held slots within reportLag of a time.
func (g *groupState) maxHeldAround(at time.Time) int {
	highest, before := 0, 0
	for _, c := range g.heldHistory {
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

func (g *groupState) observeRate(tokens int, elapsed time.Duration) {
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

// effectiveSlots returns the slots of a group, scaled down for a straggler by its share of the median rate.
// One slot always stays, so that a recovery of the group is measured.
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

// free returns the number of slots of a group that work of a class may take now.
func (s *Shard) free(g *groupState, class rudderconfig.WorkClass, policy Policy) int {
	if g.Draining || g.limited {
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

// place chooses a group with a free slot: the one that holds the largest share of the prompt's prefix among
// those whose utilisation is at most AffinitySlack above the least utilised group's, else the least utilised
// one.
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
		share := work.PrefixShares[g.ID]
		if share <= gain || work.avoids(g.ID) || s.free(g, work.Class, policy) <= 0 {
			continue
		}
		if g.utilisation(s.effectiveSlots(g)) <= leastLoad+policy.AffinitySlack {
			chosen, gain = g, share
		}
	}
	return chosen
}

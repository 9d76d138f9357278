package rudderrouter

import "math/rand/v2"

// GroupView is what an entry host knows about a group without asking an owner.
type GroupView struct {
	ID    string
	Slots int
	// Reported is the load in the last report, which lags behind.
	Reported int
	// Piggybacked is the load in the last answer that this entry host received from the group.
	Piggybacked int
	// InFlight is the number of this entry host's own requests at the group.
	InFlight int
}

func (v GroupView) slots() float64 { return float64(max(1, v.Slots)) }

// Baseline is a policy by which an entry host chooses a group without an owner, for comparison in benchmarks.
type Baseline struct {
	Name   string
	Choose func(rng *rand.Rand, groups []GroupView) int
}

// Baselines returns random choice, round robin from the first group on, least load by lagging reports, and
// power of two choices by own requests in flight and piggybacked load.
func Baselines() []Baseline {
	next := 0
	return []Baseline{
		{Name: "random", Choose: func(rng *rand.Rand, groups []GroupView) int { return rng.IntN(len(groups)) }},
		{Name: "round_robin", Choose: func(_ *rand.Rand, groups []GroupView) int {
			next++
			return (next - 1) % len(groups)
		}},
		{Name: "least_reported", Choose: leastReported},
		{Name: "two_choices", Choose: twoChoices},
	}
}

func leastReported(_ *rand.Rand, groups []GroupView) int {
	best := 0
	for i, g := range groups {
		if float64(g.Reported)/g.slots() < float64(groups[best].Reported)/groups[best].slots() {
			best = i
		}
	}
	return best
}

func twoChoices(rng *rand.Rand, groups []GroupView) int {
	load := func(i int) float64 {
		return float64(max(groups[i].Piggybacked, groups[i].InFlight)) / groups[i].slots()
	}
	first, second := rng.IntN(len(groups)), rng.IntN(len(groups))
	if load(second) < load(first) {
		return second
	}
	return first
}

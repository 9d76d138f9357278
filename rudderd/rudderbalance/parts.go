package rudderbalance

import "slices"

// domainsPerPart is the number of fabric domains whose groups one ledger holds. Each request costs the ledger's owner
// a call, so the ledger of one model must not grow with the fleet; with fewer groups the choice gets worse.
const domainsPerPart = 5

// PartitionDomains divides the fabric domains of a service between ledgers: the part of each domain, from 0 on, and their
// number. Entry hosts that see the same domains make the same division. Domains that follow each other by name share a
// part, because they mostly lie in one data centre.
func PartitionDomains(domains []string) (part map[string]int, count int) {
	sorted := slices.Sorted(slices.Values(domains))
	count = max(1, (len(sorted)+domainsPerPart-1)/domainsPerPart)
	part = make(map[string]int, len(sorted))
	for i, d := range sorted {
		part[d] = i * count / len(sorted)
	}
	return part, count
}

// PartitionQuery is one question to the owner of a part. With Spill, the request goes on to another part where this one has little
// room.
type PartitionQuery struct {
	Partition int
	Spill     bool
}

// PartitionQueries returns the parts to ask for one request, in order: one that holds groups nearby, another one, and the first
// again. Groups nearby cost fewer connections and fewer bytes between data centres. weights and near are
// the numbers of groups of each part, and of those nearby; draw returns numbers in [0, 1).
func PartitionQueries(weights, near []int, draw func() float64) []PartitionQuery {
	home := DrawWeighted(near, draw())
	if home < 0 {
		home = DrawWeighted(weights, draw())
	}
	if home < 0 {
		return nil
	}
	others := slices.Clone(weights)
	others[home] = 0
	other := DrawWeighted(others, draw())
	if other < 0 {
		return []PartitionQuery{{Partition: home}}
	}
	return []PartitionQuery{{Partition: home, Spill: true}, {Partition: other}, {Partition: home}}
}

// DrawWeighted chooses a part with a chance that grows with its weight; draw is in [0, 1). It returns -1 where all weights
// are 0.
func DrawWeighted(weights []int, draw float64) int {
	total := 0
	for _, w := range weights {
		total += w
	}
	mark := draw * float64(total)
	last := -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if mark -= float64(w); mark < 0 {
			return i
		}
	}
	return last
}

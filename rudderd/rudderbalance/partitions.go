package rudderbalance

import "slices"

// domainsPerPartition is the number of fabric domains whose groups belong to one ledger. Each request costs
// the ledger's owner a call, so that the ledger of one model must not grow with the fleet; with fewer groups
// the choice gets worse.
const domainsPerPartition = 5

// PartitionDomains divides the fabric domains of a service into partitions, one for each ledger. It returns
// the partition of each domain, counted from 0, and the number of partitions. Entry hosts that see the same
// domains compute the same partitions. Domains with neighbouring names share a partition, because most of
// them lie in one data centre.
func PartitionDomains(domains []string) (partition map[string]int, count int) {
	sorted := slices.Sorted(slices.Values(domains))
	count = max(1, (len(sorted)+domainsPerPartition-1)/domainsPerPartition)
	partition = make(map[string]int, len(sorted))
	for i, d := range sorted {
		partition[d] = i * count / len(sorted)
	}
	return partition, count
}

// PartitionQuery is one query to the owner of a partition. With Spill, the request is passed on to another
// partition if this one has little room.
type PartitionQuery struct {
	Partition int
	Spill     bool
}

// PartitionCounts holds numbers of groups by partition: all groups, those nearby, and those whose targets do not limit
// the rate of requests.
type PartitionCounts struct {
	All, Near, Unlimited []int
}

// PartitionQueries returns the partitions to query for one request, in order: one that has groups nearby,
// another one, and the first again. Groups nearby save connections, and traffic between data centres. The other one has
// groups without a limit, if there are any, because the first one may have no room on account of its limits. draw returns
// random numbers in [0, 1).
func PartitionQueries(counts PartitionCounts, draw func() float64) []PartitionQuery {
	home := DrawWeighted(counts.Near, draw())
	if home < 0 {
		home = DrawWeighted(counts.All, draw())
	}
	if home < 0 {
		return nil
	}
	other := drawOther(counts.Unlimited, home, draw())
	if other < 0 {
		other = drawOther(counts.All, home, draw())
	}
	if other < 0 {
		return []PartitionQuery{{Partition: home}}
	}
	return []PartitionQuery{{Partition: home, Spill: true}, {Partition: other}, {Partition: home}}
}

// DrawWeighted chooses a partition with a probability proportional to its weight; draw is in [0, 1). It
// returns -1 if all weights are 0.
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

// drawOther is DrawWeighted without the partition home.
func drawOther(weights []int, home int, draw float64) int {
	others := slices.Clone(weights)
	others[home] = 0
	return DrawWeighted(others, draw)
}

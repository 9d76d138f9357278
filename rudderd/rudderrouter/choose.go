package rudderrouter

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinitySlack is how far the load of a shard may be above the mean of all shards, in used slots per
	// slot, for the shard still to be chosen for its cached prefix.
	affinitySlack = 0.3
	// affinityLimit is the load above which prefix affinity is ignored: a full shard would queue the request
	// while others may have room.
	affinityLimit = 0.9
)

// Candidate is a shard that serves the request, with its load.
type Candidate struct {
	Shard Shard
	// Load is the number of used slots and queued requests divided by the number of slots, as in the owner's
	// last digest.
	Load float64
	// SameRegion says that the shard lies in the caller's region.
	SameRegion bool
}

// Chooser chooses shards. It is not safe for concurrent use.
type Chooser struct {
	// Rand is the source of the random choices.
	Rand *rand.Rand
	// Hints about cached prompt prefixes; nil for none.
	Hints *Hints
}

// Choose returns the index of the shard for a request with these prefix blocks, or -1 if there is no
// candidate. Shards of the caller's region are preferred until all of them are full.
func (c *Chooser) Choose(candidates []Candidate, blocks []uint32) int {
	eligible := eligibleShards(candidates)
	if len(eligible) == 0 {
		return -1
	}
	mean := 0.0
	for _, i := range eligible {
		mean += candidates[i].Load / float64(len(eligible))
	}
	bound := min(mean+affinitySlack, affinityLimit)
	if i := c.byPrefix(candidates, eligible, blocks); i >= 0 && candidates[i].Load <= bound {
		return i
	}
	first, second := c.draw(candidates, eligible), c.draw(candidates, eligible)
	if candidates[second].Load < candidates[first].Load {
		return second
	}
	return first
}

// eligibleShards returns the shards of the caller's region if one of them has room, and all shards otherwise.
func eligibleShards(candidates []Candidate) []int {
	var near, room, all []int
	for i, candidate := range candidates {
		all = append(all, i)
		if candidate.SameRegion {
			near = append(near, i)
		}
		if candidate.SameRegion && candidate.Load < 1 {
			room = append(room, i)
		}
	}
	switch {
	case len(room) > 0:
		return near
	default:
		return all
	}
}

// byPrefix returns the shard that holds the longest known prefix. For an unknown prefix it returns the shard
// with the highest rendezvous hash for the first block. All entry hosts compute the same one, so that a new
// prefix is computed in one place without messages between them.
func (c *Chooser) byPrefix(candidates []Candidate, eligible []int, blocks []uint32) int {
	if len(blocks) == 0 {
		return -1
	}
	best, bestShare := -1, 0.0
	if c.Hints != nil {
		shares := c.Hints.Match(blocks)
		for _, i := range eligible {
			for _, g := range candidates[i].Shard.groups {
				if share := shares[g.ID]; share > bestShare {
					best, bestShare = i, share
				}
			}
		}
	}
	if best >= 0 {
		return best
	}
	var highest uint64
	for _, i := range eligible {
		score := xxhash.Sum64String(candidates[i].Shard.id) ^ uint64(blocks[0])
		score = mixBits(score)
		if best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// mixBits is the finalizer of splitmix64.
func mixBits(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

// draw picks a random shard, weighted by its free slots. The weight has a lower bound, so that a shard whose
// digest is late is not left out.
func (c *Chooser) draw(candidates []Candidate, eligible []int) int {
	weight := func(i int) float64 {
		return float64(max(1, candidates[i].Shard.Slots())) * max(0.1, 1-candidates[i].Load)
	}
	total := 0.0
	for _, i := range eligible {
		total += weight(i)
	}
	at := c.Rand.Float64() * total
	for _, i := range eligible {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return eligible[len(eligible)-1]
}

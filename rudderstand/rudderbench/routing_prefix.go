package rudderbench

import (
	"container/list"
	"math"
	"time"
)

// blocksPerDocument is the length of a shared prompt prefix in sampled blocks.
const blocksPerDocument = 16

// documentBlocks returns the blocks of a prompt: those of a document drawn by Zipf's law with exponent 1, and
// two that no other prompt has.
func (m *model) documentBlocks() []uint64 {
	document := uint64(math.Pow(float64(m.load.documents), m.rng.Float64()))
	blocks := make([]uint64, 0, blocksPerDocument+2)
	for i := range uint64(blocksPerDocument) {
		blocks = append(blocks, (document*1000+i+1)*0x9e3779b97f4a7c15)
	}
	return append(blocks, m.rng.Uint64(), m.rng.Uint64())
}

type cacheChange struct {
	block  uint64
	stored bool
}

// prefixCache is a least-recently-used cache of prefix blocks.
type prefixCache struct {
	size   int
	blocks map[uint64]*list.Element
	used   *list.List
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, blocks: map[uint64]*list.Element{}, used: list.New()}
}

// use returns how many leading blocks were cached, stores all blocks and returns the changes of the cache.
func (c *prefixCache) use(blocks []uint64) (int, []cacheChange) {
	hit := 0
	for hit < len(blocks) && c.blocks[blocks[hit]] != nil {
		hit++
	}
	var changes []cacheChange
	for i := len(blocks) - 1; i >= 0; i-- { // in reverse, so that the first block ends up most recently used
		if e := c.blocks[blocks[i]]; e != nil {
			c.used.MoveToFront(e)
			continue
		}
		c.blocks[blocks[i]] = c.used.PushFront(blocks[i])
		changes = append(changes, cacheChange{blocks[i], true})
		if c.used.Len() > c.size {
			old := c.used.Remove(c.used.Back()).(uint64)
			delete(c.blocks, old)
			changes = append(changes, cacheChange{old, false})
		}
	}
	return hit, changes
}

// PrefixResults measures the share of prefix blocks found in the cache at 60% load, with 24 groups of 16
// slots, 18 entry hosts, 600 documents and room for 60 documents in the cache of each group.
func PrefixResults(seed uint64) []RoutingResult {
	load := workload{shortTokens: 80, documents: 600}
	rate := 0.6 * capacity(24*16, load)
	load.rate, load.peakRate = func(time.Duration) float64 { return rate }, rate
	run := func(use func(*model), cacheSize int, groups int) (float64, *model) {
		m := newModel(seed, 18, groups, 24*16/groups, load)
		for _, g := range m.groups {
			g.cache = newPrefixCache(cacheSize)
		}
		use(m)
		m.generate()
		m.runUntil(5 * time.Minute)
		hit, all := 0, 0
		for _, g := range m.groups {
			hit, all = hit+g.hit, all+g.all
		}
		return float64(hit) / float64(all), m
	}
	const size = 60 * blocksPerDocument
	value, m := run(func(m *model) { m.useOwners(false) }, size, 24)
	random, _ := run(func(m *model) { m.useBaseline("random") }, size, 24)
	best, _ := run(func(m *model) { m.useBaseline("random") }, 24*size, 1)
	results := []RoutingResult{
		{Measure: "prefix-cache hit share", Baseline: "random", Value: value, Ratio: value / random, Bound: best, Met: value >= best},
		{Measure: "prefix-cache hit share", Baseline: "one cache of the same total size", Value: value, Ratio: value / best, Bound: best, Met: value >= best},
	}
	waits := m.waitingTimes(time.Minute, 5*time.Minute, "short")
	return append(results, RoutingResult{
		Measure: "waiting p99 of short work with prefix affinity (s)", Baseline: "none",
		Value: quantile(waits, 0.99), Ratio: math.NaN(), Bound: firstTokenBound, Met: quantile(waits, 0.99) <= firstTokenBound,
	})
}

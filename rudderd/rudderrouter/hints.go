package rudderrouter

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// groupsPerBlock bounds the number of groups stored for one prefix block.
	groupsPerBlock = 4
	// hintTTL is how long a hint is valid after its last use or confirmation.
	hintTTL = 10 * time.Minute
	// uncertainTTL applies to hints from before a gap in the group's cache events, because an eviction may
	// have been missed.
	uncertainTTL = time.Minute
	// maxEventDelay is how late cache events may be: an eviction does not cancel a placement that is more
	// recent than this.
	maxEventDelay = 2 * time.Second
	// defaultMaxBlocks bounds the memory of hints; a block takes about 200 bytes.
	defaultMaxBlocks = 32768
	// maxSampledBlocks bounds the number of blocks by which one prompt is represented.
	maxSampledBlocks = 24
)

// PrefixBlocks returns the hashes of the prompt's prefixes that end at block boundaries, shortest first. It
// includes every block up to the eighth, then four for each doubling of the length, so that a prompt of any
// length has few hashes and a shared prefix is matched to within a fifth of its length.
func PrefixBlocks(prompt string) []uint32 {
	var blocks []uint32
	digest := xxhash.New()
	step, next := 1, 1
	for n := 1; n*ruddertarget.PrefixBlockBytes <= len(prompt); n++ {
		_, _ = digest.WriteString(prompt[(n-1)*ruddertarget.PrefixBlockBytes : n*ruddertarget.PrefixBlockBytes])
		if n < next {
			continue
		}
		blocks = append(blocks, BlockKey(digest.Sum64()))
		if len(blocks) == maxSampledBlocks {
			break
		}
		if n >= 8*step {
			step *= 2
		}
		next = n + step
	}
	return blocks
}

// BlockKey shortens the hash of a prefix block to 32 bits, because the blocks are the largest part of a
// grant. At the default size of the hints, two blocks collide once in 130,000; a wrong hint costs one
// prefill.
func BlockKey(hash uint64) uint32 { return uint32(hash) }

type hint struct {
	group string
	at    time.Time
}

type hintBlock struct {
	block uint32
	hints []hint
}

type eventState struct {
	seq int64
	gap time.Time
}

// Hints stores which groups hold which prefix blocks, learned from this entry host's placements and from
// cache events. It evicts the least recently used block first. It is not safe for concurrent use.
type Hints struct {
	maxBlocks int
	blocks    map[uint32]*list.Element
	lru       *list.List // of *hintBlock, most recently used first
	events    map[string]*eventState
	now       time.Time
}

// NewHints returns empty hints, bounded to a number of blocks; 0 takes the default.
func NewHints(maxBlocks int) *Hints {
	if maxBlocks <= 0 {
		maxBlocks = defaultMaxBlocks
	}
	return &Hints{
		maxBlocks: maxBlocks, blocks: map[uint32]*list.Element{}, lru: list.New(),
		events: map[string]*eventState{},
	}
}

// SetTime sets the current time, by which the age of hints is computed.
func (h *Hints) SetTime(now time.Time) { h.now = now }

// Match returns for each group the share of the blocks that it is expected to hold.
func (h *Hints) Match(blocks []uint32) map[string]float64 {
	shares := map[string]float64{}
	for i, block := range blocks {
		element := h.blocks[block]
		if element == nil {
			continue
		}
		for _, known := range element.Value.(*hintBlock).hints {
			if h.valid(known) {
				shares[known.group] = float64(i+1) / float64(len(blocks))
			}
		}
	}
	return shares
}

func (h *Hints) valid(known hint) bool {
	ttl := hintTTL
	if state := h.events[known.group]; state != nil && known.at.Before(state.gap) {
		ttl = uncertainTTL
	}
	return h.now.Sub(known.at) <= ttl
}

// RecordPlacement records that a prompt with these blocks was sent to a group.
func (h *Hints) RecordPlacement(group string, blocks []uint32) {
	for _, block := range blocks {
		h.store(group, block, h.now)
	}
}

func (h *Hints) store(group string, block uint32, at time.Time) {
	element := h.blocks[block]
	if element == nil {
		element = h.lru.PushFront(&hintBlock{block: block})
		h.blocks[block] = element
		if h.lru.Len() > h.maxBlocks {
			oldest := h.lru.Remove(h.lru.Back()).(*hintBlock)
			delete(h.blocks, oldest.block)
		}
	}
	h.lru.MoveToFront(element)
	known := element.Value.(*hintBlock)
	oldest := 0
	for i := range known.hints {
		if known.hints[i].group == group {
			known.hints[i].at = at
			return
		}
		if known.hints[i].at.Before(known.hints[oldest].at) {
			oldest = i
		}
	}
	if len(known.hints) < groupsPerBlock {
		known.hints = append(known.hints, hint{group, at})
		return
	}
	known.hints[oldest] = hint{group, at}
}

// ApplyCacheEvents applies cache events of a group in order. Events that were already applied are ignored. A
// gap in the sequence makes the group's older hints uncertain.
func (h *Hints) ApplyCacheEvents(group string, events []ruddertarget.CacheEvent) {
	state := h.events[group]
	if state == nil {
		state = &eventState{}
		h.events[group] = state
	}
	for _, event := range events {
		if event.Seq <= state.seq {
			continue
		}
		if state.seq > 0 && event.Seq != state.seq+1 {
			state.gap = h.now
		}
		state.seq = event.Seq
		if event.Stored {
			h.store(group, BlockKey(event.Block), h.now)
			continue
		}
		h.evicted(group, BlockKey(event.Block))
	}
}

func (h *Hints) evicted(group string, block uint32) {
	element := h.blocks[block]
	if element == nil {
		return
	}
	known := element.Value.(*hintBlock)
	for i, old := range known.hints {
		if old.group == group && h.now.Sub(old.at) > maxEventDelay {
			known.hints = append(known.hints[:i], known.hints[i+1:]...)
			break
		}
	}
	if len(known.hints) == 0 {
		h.lru.Remove(element)
		delete(h.blocks, block)
	}
}

// PruneGroups drops the event state of groups for which keep returns false.
func (h *Hints) PruneGroups(keep func(group string) bool) {
	for group := range h.events {
		if !keep(group) {
			delete(h.events, group)
		}
	}
}

// Len returns the number of stored blocks.
func (h *Hints) Len() int { return h.lru.Len() }

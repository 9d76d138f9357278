package rudderengine

import (
	"container/list"
	"time"

	"comfreyrudder.example/shared/ruddertarget"
)

// maxEvents bounds the cache events that a host keeps for eventsAfter.
const maxEvents = 4096

// prefixCache is an LRU cache of prompt-prefix blocks. It is not safe for concurrent use.
type prefixCache struct {
	capacity int
	lag      time.Duration
	gapEvery int64

	order  *list.List // of uint64, most recently used first
	blocks map[uint64]*list.Element
	seq    int64
	events []timedEvent
}

type timedEvent struct {
	at    time.Time
	event ruddertarget.CacheEvent
}

func newPrefixCache(capacity int, lag time.Duration, gapEvery int64) *prefixCache {
	return &prefixCache{
		capacity: capacity, lag: lag, gapEvery: gapEvery,
		order: list.New(), blocks: map[uint64]*list.Element{},
	}
}

// use stores the blocks of a prompt and returns how many of its leading blocks were cached already.
func (c *prefixCache) use(blocks []uint64, now time.Time) (hits int) {
	leading := true
	for _, block := range blocks {
		element, found := c.blocks[block]
		leading = leading && found
		if leading {
			hits++
		}
		if found {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.report(block, true, now)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		block, _ := c.order.Remove(oldest).(uint64)
		delete(c.blocks, block)
		c.report(block, false, now)
	}
	return hits
}

// report adds an event, except for each gapEvery-th one, which is lost and leaves a gap in the numbers.
func (c *prefixCache) report(block uint64, stored bool, now time.Time) {
	c.seq++
	if c.gapEvery > 0 && c.seq%c.gapEvery == 0 {
		return
	}
	event := ruddertarget.CacheEvent{Seq: c.seq, Block: block, Stored: stored}
	c.events = append(c.events, timedEvent{at: now, event: event})
	if extra := len(c.events) - maxEvents; extra > 0 {
		c.events = append([]timedEvent(nil), c.events[extra:]...)
	}
}

// eventsAfter returns the events with a higher number that are at least lag old.
func (c *prefixCache) eventsAfter(after int64, now time.Time) []ruddertarget.CacheEvent {
	events := []ruddertarget.CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq > after && !e.at.Add(c.lag).After(now) {
			events = append(events, e.event)
		}
	}
	return events
}

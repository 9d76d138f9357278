package ruddercoordinator

import "sync"

// callSlots is a semaphore that limits concurrent calls to targets. The zero value is ready to use.
type callSlots struct {
	once  sync.Once
	slots chan struct{}
}

func (c *callSlots) channel() chan struct{} {
	c.once.Do(func() { c.slots = make(chan struct{}, maxCalls) })
	return c.slots
}

// acquire blocks until a slot is free.
func (c *callSlots) acquire() { c.channel() <- struct{}{} }

// release frees a slot.
func (c *callSlots) release() { <-c.channel() }

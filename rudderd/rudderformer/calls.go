package rudderformer

import "sync"

// callSlots bounds the calls to targets that run at once. The zero value is ready for use.
type callSlots struct {
	once  sync.Once
	slots chan struct{}
}

func (c *callSlots) channel() chan struct{} {
	c.once.Do(func() { c.slots = make(chan struct{}, mostCalls) })
	return c.slots
}

// acquire waits for a slot.
func (c *callSlots) acquire() { c.channel() <- struct{}{} }

// release frees a slot.
func (c *callSlots) release() { <-c.channel() }

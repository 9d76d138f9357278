package rudderpeer

import (
	"sync"
	"time"
)

// nonceCache stores used nonces in two generations, so that expiry needs no scan. Each nonce is kept for at least one
// period and at most two.
type nonceCache struct {
	mu                sync.Mutex
	current, previous map[string]struct{}
	since             time.Time // start of the current generation
}

// use records a nonce. It returns ErrReplay if the nonce was already used, or ErrNonceCacheFull.
func (c *nonceCache) use(nonce string, now time.Time, period time.Duration, limit int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch age := now.Sub(c.since); {
	case c.current == nil || age >= 2*period:
		c.current, c.previous, c.since = map[string]struct{}{}, nil, now
	case age >= period:
		c.current, c.previous, c.since = map[string]struct{}{}, c.current, now
	}
	if _, used := c.current[nonce]; used {
		return ErrReplay
	}
	if _, used := c.previous[nonce]; used {
		return ErrReplay
	}
	if len(c.current)+len(c.previous) >= limit {
		return ErrNonceCacheFull
	}
	c.current[nonce] = struct{}{}
	return nil
}

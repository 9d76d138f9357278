package rudderapp

import (
	"context"
	"sync"
	"time"
)

const (
	// cacheInterval between two reads of a group's cache events. The events are late anyway, and the
	// owner knows its own placements at once.
	cacheInterval = 2 * time.Second
	cacheTimeout  = time.Second
)

// followCaches reads the cache events of the groups in owned shards, for the hints of which group holds
// which prompt prefix.
func (a *App) followCaches(ctx context.Context) error {
	seen := make(map[string]int64)
	return a.every(ctx, cacheInterval, func(ctx context.Context) { seen = a.readCaches(ctx, seen) })
}

// readCaches reads the events after those that were seen, and returns the numbers of the newest ones.
func (a *App) readCaches(ctx context.Context, seen map[string]int64) map[string]int64 {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	var mu sync.Mutex
	newest := make(map[string]int64)
	var waiting sync.WaitGroup
	for group, leader := range a.owner.OwnedLeaders() {
		after := seen[group]
		waiting.Go(func() {
			events, err := a.control.CacheEvents(ctx, leader, after)
			if err == nil && len(events) > 0 {
				a.owner.ObserveCache(group, events)
				after = events[len(events)-1].Seq
			}
			mu.Lock()
			defer mu.Unlock()
			newest[group] = after
		})
	}
	waiting.Wait()
	return newest
}

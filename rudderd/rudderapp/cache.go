package rudderapp

import (
	"context"
	"sync"
	"time"
)

const (
	// cacheInterval is the time between two reads of a group's cache events. A short one has little use: the
	// events arrive late anyway, and the owner knows its own placements at once.
	cacheInterval = 2 * time.Second
	cacheTimeout  = time.Second
)

// pollCaches reads the cache events of the groups in owned shards. They serve as hints on which group holds
// which prompt prefix in its cache.
func (a *App) pollCaches(ctx context.Context) error {
	seen := make(map[string]int64)
	return a.every(ctx, cacheInterval, func(ctx context.Context) { seen = a.readCaches(ctx, seen) })
}

// readCaches reads the events after the sequence numbers in seen, by group, and returns the sequence numbers of
// the newest ones.
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

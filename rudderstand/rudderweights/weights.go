// Package rudderweights simulates the platform's weight store, whose bandwidth all fetchers share.
package rudderweights

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// parts is the number of pieces of a fetch. Fetchers take turns piece by piece, so that each gets an equal
// share of the bandwidth.
const parts = 20

// Store is the weight store. Set the exported fields before the first fetch.
type Store struct {
	// Clock times the transfers; nil means the real clock.
	Clock clockwork.Clock
	// BytesPerSecond is the bandwidth of all fetchers together; 0 means no limit.
	BytesPerSecond int64
	// Sizes are the sizes in bytes by "model@version"; other weights have DefaultBytes.
	Sizes        map[string]int64
	DefaultBytes int64

	mu      sync.Mutex
	next    time.Time // when the reserved transfers end
	fetched int64
}

// Fetch transfers weights to one host and reports progress from 0 to 1. It returns the context's error if that
// ends first.
func (s *Store) Fetch(ctx context.Context, name string, progress func(fraction float64)) error {
	size, known := s.Sizes[name]
	if !known {
		size = s.DefaultBytes
	}
	piece := size / parts
	for i := range int64(parts) {
		if i == parts-1 {
			piece = size - piece*(parts-1)
		}
		if err := s.transfer(ctx, piece); err != nil {
			return err
		}
		progress(float64(i+1) / parts)
	}
	return nil
}

// FetchedBytes returns the total bytes of all transfers so far.
func (s *Store) FetchedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetched
}

func (s *Store) transfer(ctx context.Context, bytes int64) error {
	wait, clock := s.reserve(bytes)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// reserve allots the next free span of the bandwidth to a transfer and returns the time until its end.
func (s *Store) reserve(bytes int64) (time.Duration, clockwork.Clock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	s.fetched += bytes
	if s.BytesPerSecond <= 0 {
		return 0, s.Clock
	}
	now := s.Clock.Now()
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(time.Duration(float64(bytes) / float64(s.BytesPerSecond) * float64(time.Second)))
	return s.next.Sub(now), s.Clock
}

package rudderclaim

import (
	"sync"
	"time"
)

// SuspicionTimeout is how long a collector that did not answer is skipped. Otherwise each claim of its shards
// would wait for it until it leaves the member list.
const SuspicionTimeout = 3 * time.Second

// Suspects tracks collectors that did not answer recently. The zero value is ready to use.
type Suspects struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add marks a collector as suspected, after it did not answer.
func (s *Suspects) Add(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[name] = now.Add(SuspicionTimeout)
}

// Remove clears the suspicion of a collector, after it answered.
func (s *Suspects) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, name)
}

// Has reports whether a collector is suspected. After SuspicionTimeout it returns false to one caller, which
// probes the collector, and renews the suspicion for all others.
func (s *Suspects) Has(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[name]
	if !ok {
		return false
	}
	if now.Before(until) {
		return true
	}
	s.until[name] = now.Add(SuspicionTimeout)
	return false
}

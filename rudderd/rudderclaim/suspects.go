package rudderclaim

import (
	"sync"
	"time"
)

// SuspectFor is how long a collector that did not answer is asked last. Until the member list drops it,
// each claim of its shards would otherwise wait for it.
const SuspectFor = 3 * time.Second

// Suspects remembers collectors that did not answer lately. The zero value is ready to use.
type Suspects struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add notes that a collector did not answer.
func (s *Suspects) Add(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[name] = now.Add(SuspectFor)
}

// Remove notes that a collector answered.
func (s *Suspects) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, name)
}

// Has tells whether a collector is suspected. When the time is over, the next caller alone asks it
// again: the suspicion is renewed for the others.
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
	s.until[name] = now.Add(SuspectFor)
	return false
}

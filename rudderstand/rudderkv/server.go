// Package rudderkv simulates the platform's key-value service: single-key compare-and-swap, leases and
// watches, with rate limits, call counts and fault injection.
package rudderkv

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"comfreyrudder.example/shared/rudderstore"
)

// DefaultHistory is the number of past events that are kept for watches if Server.History is 0.
const DefaultHistory = 4096

// Server is the key-value service. Set the exported fields before the first call.
type Server struct {
	// Clock times the leases and the rate limits; nil means the real clock.
	Clock clockwork.Clock
	// ReadsPerSecond and WritesPerSecond limit calls, with bursts of one second; 0 means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// History is the number of past events that are kept for watches; 0 means DefaultHistory.
	History int

	once  sync.Once
	mu    sync.Mutex
	state state
	// restored counts the restores.
	restored int64
	change   chan struct{} // closed and replaced at every change
	faults   faults
	counts   Counts
	reads    *rate.Limiter
	writes   *rate.Limiter
}

// state is the part of the service that a snapshot copies.
type state struct {
	revision  int64
	entries   map[string]rudderstore.Entry
	leases    map[int64]lease
	nextLease int64
	events    []rudderstore.Event
	compacted int64 // highest revision that is no longer in events
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Snapshot is a copy of the service's whole state.
type Snapshot struct{ state state }

// Revision is the store revision of the snapshot.
func (s Snapshot) Revision() int64 { return s.state.revision }

func (s state) clone() state {
	s.entries = maps.Clone(s.entries)
	s.leases = maps.Clone(s.leases)
	s.events = slices.Clone(s.events)
	return s
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.Clock == nil {
			s.Clock = clockwork.NewRealClock()
		}
		if s.History == 0 {
			s.History = DefaultHistory
		}
		s.state.entries = map[string]rudderstore.Entry{}
		s.state.leases = map[int64]lease{}
		s.change = make(chan struct{})
		s.faults.blocked = map[string]bool{}
		s.faults.dropPrefixes = map[string]bool{}
		s.counts = newCounts()
		s.reads = limiter(s.ReadsPerSecond)
		s.writes = limiter(s.WritesPerSecond)
	})
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Snapshot copies the current state.
func (s *Server) Snapshot() Snapshot {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{state: s.state.clone()}
}

// Restore replaces the state by an older one, as when the platform is restored from a backup. The store
// revision goes back as well.
func (s *Server) Restore(snapshot Snapshot) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = snapshot.state.clone()
	s.restored++
	s.wake()
}

// restores returns how often the service has been restored.
func (s *Server) restores() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restored
}

// wake wakes all waiting watches. It needs the mutex.
func (s *Server) wake() {
	close(s.change)
	s.change = make(chan struct{})
}

// record appends an event, drops those beyond History and wakes the watches. It needs the mutex.
func (s *Server) record(event rudderstore.Event) {
	s.state.events = append(s.state.events, event)
	if extra := len(s.state.events) - s.History; extra > 0 {
		s.state.compacted = s.state.events[extra-1].Revision
		s.state.events = slices.Delete(s.state.events, 0, extra)
	}
	s.wake()
}

// expire ends the leases that have expired and returns when the next one will, or the zero time. It needs
// the mutex.
func (s *Server) expire() time.Time {
	now := s.Clock.Now()
	var next time.Time
	for _, id := range slices.Sorted(maps.Keys(s.state.leases)) {
		l := s.state.leases[id]
		if !l.end.After(now) {
			s.endLease(id)
			continue
		}
		if next.IsZero() || l.end.Before(next) {
			next = l.end
		}
	}
	return next
}

func (s *Server) endLease(id int64) {
	delete(s.state.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.state.entries)) {
		if s.state.entries[key].Lease == id {
			s.remove(key)
		}
	}
}

func (s *Server) remove(key string) {
	s.state.revision++
	delete(s.state.entries, key)
	entry := rudderstore.Entry{Key: key, Revision: s.state.revision}
	s.record(rudderstore.Event{Entry: entry, Deleted: true})
}

func (s *Server) get(key string) (rudderstore.Entry, error) {
	entry, found := s.state.entries[key]
	if !found {
		return rudderstore.Entry{}, rudderstore.ErrNotFound
	}
	return entry, nil
}

func (s *Server) list(prefix string) []rudderstore.Entry {
	var entries []rudderstore.Entry
	for key, entry := range s.state.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

func (s *Server) put(request rudderstore.PutRequest) error {
	if len(request.Value) > rudderstore.MaxValueBytes {
		return rudderstore.ErrTooLarge
	}
	if request.Expected != rudderstore.AnyRevision &&
		s.state.entries[request.Key].Revision != request.Expected {
		return rudderstore.ErrConflict
	}
	if _, found := s.state.leases[request.Lease]; request.Lease != 0 && !found {
		return rudderstore.ErrNotFound
	}
	s.state.revision++
	entry := rudderstore.Entry{
		Key: request.Key, Value: slices.Clone(request.Value), Revision: s.state.revision, Lease: request.Lease,
	}
	s.state.entries[request.Key] = entry
	s.record(rudderstore.Event{Entry: entry})
	return nil
}

func (s *Server) delete(key string, expected int64) error {
	entry, found := s.state.entries[key]
	if !found {
		return rudderstore.ErrNotFound
	}
	if expected != rudderstore.AnyRevision && entry.Revision != expected {
		return rudderstore.ErrConflict
	}
	s.remove(key)
	return nil
}

func (s *Server) grant(ttl time.Duration) int64 {
	s.state.nextLease++
	s.state.leases[s.state.nextLease] = lease{ttl: ttl, end: s.Clock.Now().Add(ttl)}
	return s.state.nextLease
}

func (s *Server) keepAlive(id int64) error {
	l, found := s.state.leases[id]
	if !found {
		return rudderstore.ErrNotFound
	}
	l.end = s.Clock.Now().Add(l.ttl)
	s.state.leases[id] = l
	return nil
}

func (s *Server) revoke(id int64) error {
	if _, found := s.state.leases[id]; !found {
		return rudderstore.ErrNotFound
	}
	s.endLease(id)
	return nil
}

// eventsAfter returns the events under the prefixes after a revision. It returns ErrCompacted if the revision
// is older than the history or newer than the store, as it is after a Restore.
func (s *Server) eventsAfter(prefixes []string, after int64) ([]rudderstore.Event, error) {
	if after < s.state.compacted || after > s.state.revision {
		return nil, rudderstore.ErrCompacted
	}
	var events []rudderstore.Event
	first := sort.Search(len(s.state.events), func(i int) bool { return s.state.events[i].Revision > after })
	for _, event := range s.state.events[first:] {
		matches := func(prefix string) bool { return strings.HasPrefix(event.Key, prefix) }
		if slices.ContainsFunc(prefixes, matches) {
			events = append(events, event)
		}
	}
	return events, nil
}

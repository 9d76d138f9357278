package rudderapp

import (
	"slices"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderpoison"
)

// suspects makes the tracker of poison requests safe for concurrent use, and records which requests of this entry
// host run on which group.
type suspects struct {
	mu       sync.Mutex
	revision int64 // counts the reports in the order in which they arrive
	tracker  *rudderpoison.Tracker
	parts    *rudderpoison.PartTracker
	running  map[string][]rudderpoison.Fingerprint // by group
}

func (s *suspects) record(now time.Time, deaths ...rudderpoison.Death) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Record(now, deaths...)
}

func (s *suspects) poisoned(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Verdict(rudderpoison.Fingerprint(fingerprint)) == rudderpoison.Poison
}

func (s *suspects) recordCrash(now time.Time, c rudderpoison.Crash) []rudderpoison.Block {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.parts.Record(now, s.revision, c)
	return s.parts.Evaluate(now)
}

// blocked returns the block of a part, or nil. When a trial is due and mayTry allows it, the request passes.
func (s *suspects) blocked(now time.Time, parts []rudderpoison.Part, mayTry func(rudderpoison.Part) bool) *rudderpoison.Block {
	s.mu.Lock()
	defer s.mu.Unlock()
	block, _ := s.parts.Blocked(now, parts)
	if block == nil || now.Before(block.NextTrial) || !mayTry(block.Part) {
		return block
	}
	s.revision++
	s.parts.ApplyBlock(now, block.Part, block.Shared, block.Trials+1, s.revision)
	return nil
}

// forgive ends the suspicion of a request.
func (s *suspects) forgive(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Forgive(rudderpoison.Fingerprint(fingerprint))
}

// survived records that an answer has begun, and returns the parts that were suspected.
func (s *suspects) survived(now time.Time, parts []rudderpoison.Part) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	charged, _ := s.parts.Survived(now, parts)
	names := make([]string, len(charged))
	for i, p := range charged {
		names[i] = string(p)
	}
	return names
}

// applySound applies another entry host's report that answers begin on parts.
func (s *suspects) applySound(parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, p := range parts {
		s.parts.ApplySound(rudderpoison.Part(p), s.revision)
	}
}

func (s *suspects) started(group string, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = make(map[string][]rudderpoison.Fingerprint)
	}
	s.running[group] = append(s.running[group], rudderpoison.Fingerprint(fingerprint))
}

func (s *suspects) ended(group string, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.running[group]
	if i := slices.Index(list, rudderpoison.Fingerprint(fingerprint)); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(s.running, group)
		return
	}
	s.running[group] = list
}

// avoid returns, for a suspected request, the fabric domains in which a group died lately while it ran the request, and the
// groups that run another suspected request.
func (s *suspects) avoid(now time.Time, fingerprint uint64) (domains, groups []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := rudderpoison.Fingerprint(fingerprint)
	if s.tracker.Verdict(f) == rudderpoison.Clear {
		return nil, nil
	}
	for group, running := range s.running {
		if !s.tracker.CanColocate(f, running) {
			groups = append(groups, group)
		}
	}
	return s.tracker.AvoidedDomains(now, f), groups
}

// suspectGroups lists the groups to which a suspected request must not be sent. They include all groups of the fabric
// domains with a recent death, because a second death in the same domain would be taken for the loss of the domain and would
// not count.
func (a *App) suspectGroups(fingerprint uint64) []string {
	domains, groups := a.suspects.avoid(a.Clock.Now(), fingerprint)
	for _, domain := range domains {
		plan, _ := a.fleet.Plan(domain)
		for _, g := range plan.Groups {
			groups = append(groups, g.ID)
		}
	}
	return groups
}

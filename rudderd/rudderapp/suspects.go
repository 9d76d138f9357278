package rudderapp

import (
	"slices"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderpoison"
)

// suspects guards the tracker of poison requests, which is not safe for concurrent use, and knows which
// requests of this entry host run on which group.
type suspects struct {
	mu      sync.Mutex
	tracker *rudderpoison.Tracker
	running map[string][]rudderpoison.Fingerprint // by group
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

// avoid returns, for a suspected request, the fabric domains in which a group died running it, and the
// groups that run another suspected one.
func (s *suspects) avoid(fingerprint uint64) (domains, groups []string) {
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
	return s.tracker.FailedDomains(f), groups
}

// suspectGroups lists the groups that a suspected request must keep away from: a second death in the
// same fabric domain would look like the loss of the domain and never count.
func (a *App) suspectGroups(fingerprint uint64) []string {
	domains, groups := a.suspects.avoid(fingerprint)
	for _, domain := range domains {
		plan, _ := a.fleet.Plan(domain)
		for _, g := range plan.Groups {
			groups = append(groups, g.ID)
		}
	}
	return groups
}

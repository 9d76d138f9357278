package rudderedge

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// slowTTL is how long a report that a group is slow holds without a probe.
	slowTTL = 500 * time.Millisecond
	// slowCheckInterval is the time between two probes of the slow groups of which no report arrives.
	slowCheckInterval = 500 * time.Millisecond
	// maxSlowChecks bounds the groups that are probed in one interval. Of a partition whose groups are all slow only one is probed,
	// because none of them is better than the others.
	maxSlowChecks = 8
)

// slowGroups holds the groups that entry hosts have reported as slow to the owner of their model. New requests avoid them, so
// that nobody would notice when they recover: they are probed.
type slowGroups struct {
	mu     sync.Mutex
	groups map[string]*slowGroup // by ID
}

type slowGroup struct {
	key        ledgerKey
	reportedAt time.Time
	member     string // a member that was slow when it was probed last
}

// note records the groups of a partition that an entry host has reported as slow, and returns those that did not count as slow
// before.
func (s *slowGroups) note(key ledgerKey, groups []string) (added []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups == nil {
		s.groups = map[string]*slowGroup{}
	}
	for _, id := range groups {
		if s.groups[id] == nil {
			s.groups[id] = &slowGroup{key: key}
			added = append(added, id)
		}
		s.groups[id].reportedAt = time.Now()
	}
	return added
}

func (s *slowGroups) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[id] != nil
}

// due returns some groups without a recent report, and the number of slow groups of each partition.
func (s *slowGroups) due() (due map[string]slowGroup, slow map[ledgerKey]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due, slow = map[string]slowGroup{}, map[ledgerKey]int{}
	for id, g := range s.groups {
		slow[g.key]++
		if len(due) < maxSlowChecks && time.Since(g.reportedAt) > slowTTL {
			due[id] = *g
		}
	}
	return due, slow
}

// checked records the result of a probe: the member that is slow, or "" if none is. It reports whether the group has recovered.
func (s *slowGroups) checked(id, member string) (recovered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[id]; g != nil && member != "" {
		g.member = member
	} else if g != nil && time.Since(g.reportedAt) > slowTTL {
		delete(s.groups, id)
		return true
	}
	return false
}

// noteSlow records the groups of a partition that an entry host has reported as slow.
func (b *balance) noteSlow(key ledgerKey, groups []string) {
	if len(groups) == 0 {
		return
	}
	known := groupsOf(b.edge.view.Snapshot(), key)
	var owned []string // the others belong to other partitions
	for _, g := range known {
		if slices.Contains(groups, g.ID) {
			owned = append(owned, g.ID)
		}
	}
	if added := b.slow.note(key, owned); len(added) > 0 {
		b.edge.count("balance.slow_groups")
		b.edge.Logger.Info().Str("model", key.model).Int("part", key.partition).Strs("groups", added).Msg("groups are slow")
	}
}

// recheckSlow probes the groups that were reported as slow, until the context is cancelled.
func (b *balance) recheckSlow(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, slowCheckInterval)
		snapshot := b.edge.view.Snapshot()
		due, slow := b.slow.due()
		checked := map[ledgerKey]int{}
		var checks sync.WaitGroup
		for id, x := range due {
			list := groupsOf(snapshot, x.key)
			i := slices.IndexFunc(list, func(g *rudderview.Group) bool { return g.ID == id })
			if i < 0 {
				_ = b.slow.checked(id, "") // it has ended
				continue
			}
			if checked[x.key]++; slow[x.key] >= len(list) && checked[x.key] > 1 {
				continue
			}
			checks.Go(func() {
				if b.slow.checked(id, b.slowMember(ctx, list[i], x.member)) {
					b.edge.Logger.Info().Str("model", x.key.model).Str("group", id).Msg("group is no longer slow")
				}
			})
		}
		checks.Wait()
	}
	return nil
}

// slowMember returns a slow member of a group, or "". The member that was slow before is probed first, so that one probe is enough
// while it still is.
func (b *balance) slowMember(ctx context.Context, g *rudderview.Group, first string) string {
	members := make([]*rudderview.Target, 0, len(g.Members))
	for _, t := range g.Members {
		if t.Name == first {
			members = append([]*rudderview.Target{t}, members...)
		} else {
			members = append(members, t)
		}
	}
	for _, t := range members {
		report, alive := b.edge.forwarder.ProbeTarget(ctx, t, nil)
		if alive && report.Slow() {
			return t.Name
		}
	}
	return ""
}

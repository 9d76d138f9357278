package rudderadmission

import (
	"time"

	"comfreyrudder.example/rudderd/rudderlimit"
)

// refreshLimits updates which groups take no further request now. Queued work is served in the order of its priority, so
// that no permits are reserved for the urgent one.
func (s *Shard) refreshLimits(now time.Time) {
	if s.Limits == nil {
		return
	}
	for _, g := range s.groups {
		g.limited = s.Limits.Wait(rudderlimit.Process{Target: g.Leader}, 0, s.Uptime(now)) > 0
	}
}

// takePermit takes a permit for a request that is sent to a group.
func (s *Shard) takePermit(now time.Time, g *groupState) {
	if s.Limits == nil {
		return
	}
	s.Limits.Take(rudderlimit.Process{Target: g.Leader})
	s.refreshLimits(now)
}

// limitedRate returns the requests per second that the groups for some work take, or 0 if one of them has no limit.
func (s *Shard) limitedRate(work Work) float64 {
	sum := 0.0
	for _, g := range s.groups {
		if s.Limits == nil || g.Draining || work.avoids(g.ID) {
			continue
		}
		rate, limited := s.Limits.Rate(rudderlimit.Process{Target: g.Leader})
		if !limited {
			return 0
		}
		sum += rate
	}
	return sum
}

package rudderlimit

import (
	"slices"
	"strings"
)

// Usage counts what this entry host has sent to a target while the target named a limit.
type Usage struct {
	Process Process
	// Rate is the limit in requests per second, for all entry hosts together.
	Rate float64
	// First counts first sends of requests, Repeated their later sends, and Probes the requests for a report.
	First, Repeated, Probes int
}

// CountSend counts a request that is sent to a target.
func (t *Table) CountSend(p Process, repeated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(p)
	switch {
	case s == nil || !s.limited:
	case repeated:
		s.usage.Repeated++
	default:
		s.usage.First++
	}
}

// CountProbe counts a request for a report that is sent to a target. It needs no permit, but uses up one.
func (t *Table) CountProbe(p Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.find(p); s != nil && s.limited {
		s.usage.Probes++
		s.unreported++
	}
}

// TakeUsage returns and resets the counts of all targets to which anything was sent, by name.
func (t *Table) TakeUsage() []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Usage
	for name, s := range t.targets {
		if s.usage == (Usage{}) {
			continue
		}
		u := s.usage
		u.Process, u.Rate, s.usage = Process{name, s.born}, s.rate, Usage{}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b Usage) int { return strings.Compare(a.Process.Target, b.Process.Target) })
	return list
}

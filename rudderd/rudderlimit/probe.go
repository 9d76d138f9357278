package rudderlimit

import "time"

// probeShare is the part of a limit that requests for reports may use.
const probeShare = 0.25

// TakeProbe takes a request for a report from the share of the limit for them. It is asked by the one entry host that sends
// them for all, and reports whether one was left or the process names no limit.
func (t *Table) TakeProbe(p Process, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(p)
	if s == nil || !s.limited { // reports do not count against the limit of a cold process
		return true
	}
	if !s.probes.started {
		s.probes = bucket{tokens: 1, at: now, started: true}
	}
	s.probes.fill(probeShare*effective(s.rate), 1, now)
	if s.probes.tokens < 1 {
		return false
	}
	s.probes.tokens--
	return true
}

// ChargeProbes deducts further requests for reports that were sent with the one that TakeProbe has permitted.
func (t *Table) ChargeProbes(p Process, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.find(p); s != nil {
		s.probes.tokens -= float64(n)
	}
}

package rudderlimit

import "time"

// reportDelay is subtracted from the time of each observation of another entry host, as the longest time for which it can
// have been on its way. Without it an observation that is passed back and forth would appear ever newer.
const reportDelay = 60 * time.Millisecond

// Report is what one entry host tells another one of a target's limit.
type Report struct {
	Process Process
	// Limited is false if the limit has ended. Rate is the limit in requests per second.
	Limited bool
	Rate    float64
	// Age is the time since the observation.
	Age time.Duration
	// Spent is the number of requests that the sender of the report has sent without a permit and not reported yet.
	Spent int
}

// Reports returns what is known of processes, and takes the requests that have not been reported.
func (t *Table) Reports(processes []Process, now time.Duration) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.targets) == 0 {
		return nil
	}
	var list []Report
	for _, p := range processes {
		if s := t.find(p); s != nil {
			list = append(list, Report{Process: p, Limited: s.limited, Rate: s.rate, Age: now - s.knownAt, Spent: s.unreported})
			s.unreported = 0
		}
	}
	return list
}

// Known returns what is known of processes. The requests that have not been reported are left for the entry host that grants the
// permits.
func (t *Table) Known(processes []Process, now time.Duration) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for _, p := range processes {
		if s := t.find(p); s != nil {
			list = append(list, Report{Process: p, Limited: s.limited, Rate: s.rate, Age: now - s.knownAt})
		}
	}
	return list
}

// Return takes back the unreported requests of reports that did not arrive.
func (t *Table) Return(list []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		if s := t.find(r.Process); s != nil {
			s.unreported += r.Spent
		}
	}
}

// Merge applies the reports of another entry host and returns those that have changed what is known here.
func (t *Table) Merge(list []Report, now time.Duration) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Report
	for _, r := range list {
		if !(r.Rate >= 0) {
			continue
		}
		at := now - max(r.Age, 0) - reportDelay
		s := t.find(r.Process)
		if s == nil {
			if !r.Limited || now-at > retention {
				continue
			}
			if s = t.enter(r.Process, at); s == nil {
				continue
			}
			s.knownAt = at - 1 // older than the report
		}
		s.unreported += max(r.Spent, 0)
		if at <= s.knownAt {
			continue
		}
		if r.Limited != s.limited || r.Limited && r.Rate != s.rate {
			changed = append(changed, r)
		}
		s.limited, s.rate, s.knownAt = r.Limited, r.Rate, at
		if r.Limited {
			s.namedAt = max(s.namedAt, at)
		}
	}
	return changed
}

// Missing returns what is known of processes and is not in the reports of another entry host.
func (t *Table) Missing(processes []Process, has []Report, now time.Duration) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.targets) == 0 {
		return nil
	}
	known := make(map[Process]Report, len(has))
	for _, r := range has {
		known[r.Process] = r
	}
	var list []Report
	for _, p := range processes {
		s := t.find(p)
		if s == nil {
			continue
		}
		old, had := known[p]
		if had && old.Limited == s.limited && old.Rate == s.rate || !had && !s.limited {
			continue
		}
		list = append(list, Report{Process: p, Limited: s.limited, Rate: s.rate, Age: now - s.knownAt})
	}
	return list
}

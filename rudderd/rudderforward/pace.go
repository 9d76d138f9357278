package rudderforward

import (
	"context"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// slowPaceFactor is the least time between the events of a group, as a multiple of that at a full batch, from which on the
	// group is probed. The time between two such probes doubles from paceCheckInterval on while they do not find it slow.
	slowPaceFactor       = 2.5
	paceCheckInterval    = 2 * time.Second
	maxPaceCheckInterval = 16 * time.Second
	// paceGaps is the number of recent times between events that are kept of a group, and minPaceGaps the number below which its
	// pace counts as unknown.
	paceGaps    = 6
	minPaceGaps = 4
	// paceTTL is how long after its last event the pace of a group is used.
	paceTTL = time.Second
	// slowReportTTL is how long a group counts as slow after the model's owner has said so, and slowFoundTTL after a probe. The owner
	// keeps it in mind until probes show that it has recovered.
	slowReportTTL = time.Second
	slowFoundTTL  = 500 * time.Millisecond
)

// pace holds the recent times between the events of the streams of one group.
type pace struct {
	gaps    [paceGaps]time.Duration
	known   int
	next    int
	lastGap time.Duration // uptime of the end of the last one
	// checkAfter is the uptime from which on the group may be probed because of its pace.
	checkAfter    time.Duration
	checkInterval time.Duration
}

func (p *pace) observe(gap, now time.Duration) {
	if now-p.lastGap > paceTTL+gap {
		p.known, p.next = 0, 0
	}
	p.gaps[p.next] = gap
	p.next = (p.next + 1) % paceGaps
	p.known = min(p.known+1, paceGaps)
	p.lastGap = now
}

// current returns a lower quartile, because a prompt that is read delays single events; 0 if the pace is not known.
func (p *pace) current(now time.Duration) time.Duration {
	if p.known < minPaceGaps || now-p.lastGap > paceTTL {
		return 0
	}
	gaps := p.gaps
	known := gaps[:p.known]
	slices.Sort(known)
	return known[len(known)/4]
}

// least returns the shortest of the times; 0 if the pace is not known.
func (p *pace) least(now time.Duration) time.Duration {
	if p.current(now) == 0 {
		return 0
	}
	return slices.Min(p.gaps[:p.known])
}

// observeGap records the time between two events of one stream of a leader's group.
func (l *loads) observeGap(leader string, gap, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(leader, now).pace.observe(gap, now)
}

// pace returns the time between the events of a leader's group; 0 if it is not known.
func (l *loads) pace(leader string, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.leaders[leader]; x != nil {
		return x.pace.current(now)
	}
	return 0
}

// reportedSlow makes a leader's group count as slow until an uptime.
func (l *loads) reportedSlow(leader string, until, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.slowUntil = max(x.slowUntil, until)
}

// foundSlow makes a leader's group count as slow until an uptime, for other entry hosts too.
func (l *loads) foundSlow(leader string, until, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.slowFound, x.pace.checkInterval = max(x.slowFound, until), 0
}

func (l *loads) isFoundSlow(leader string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.leaders[leader]
	return x != nil && x.slowFound > now
}

func (l *loads) isReportedSlow(leader string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.leaders[leader]
	return x != nil && x.slowUntil > now
}

// fullBatchPace returns the time between the events of a group at a full batch; 0 if it is not known.
func (f *Forwarder) fullBatchPace(service, modelName string) time.Duration {
	table := f.View.Snapshot().Table
	if table == nil || modelName == "" {
		return 0
	}
	s := table.Service(service)
	if s == nil || s.Engine == nil || s.Engine.TokensPerEvent <= 0 {
		return 0
	}
	model, known := s.Engine.Model(modelName)
	if !known {
		return 0
	}
	return s.Engine.AnswerTime(model, s.Engine.TokensPerEvent)
}

// isSlow reports whether a group is slow, as a probe or the model's owner has found.
func (f *Forwarder) isSlow(g *rudderview.Group, now time.Duration) bool {
	return f.loads.isFoundSlow(g.Leader.Name, now) || f.loads.isReportedSlow(g.Leader.Name, now)
}

// checkPace probes the group of a stream if its events take so long that it may be slow. Only reports tell that it is: prompts
// that are read between the events delay them too.
func (f *Forwarder) checkPace(g *rudderview.Group) {
	now := f.Uptime()
	full := f.fullBatchPace(g.Service, g.Model)
	if full <= 0 || !f.loads.mayBeSlow(g.Leader.Name, scaled(full, slowPaceFactor), now) {
		return
	}
	if f.probes.takeSpare(now, len(f.View.Snapshot().EntryHosts)) {
		go f.probePace(g)
	}
}

// probePace has the planner probe a group that sends events. The result tells nothing about a silence that begins later, so that it
// is not kept as that of probeGroup.
func (f *Forwarder) probePace(g *rudderview.Group) {
	found, _ := f.ExamineGroup(context.Background(), g, 0)
	now := f.Uptime()
	if len(found.Slow) > 0 {
		f.loads.foundSlow(g.Leader.Name, now+slowFoundTTL, now)
	}
	f.Logger.Info().Str("group", g.ID).Int("members", len(g.Members)).Strs("slow", found.Slow).Dur("pace_ms", f.loads.pace(g.Leader.Name, now)).
		Msg("probed group whose events take long")
}

// mayBeSlow reports whether a leader's group should be probed because the time between its events has reached a limit.
func (l *loads) mayBeSlow(leader string, limit, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.leaders[leader]
	if x == nil || x.pace.checkAfter > now || x.pace.least(now) < limit {
		return false
	}
	x.pace.checkInterval = min(max(2*x.pace.checkInterval, paceCheckInterval), maxPaceCheckInterval)
	x.pace.checkAfter = now + x.pace.checkInterval
	return true
}

// recordSlow records which groups the model's owner has named as slow.
func (f *Forwarder) recordSlow(groups []*rudderview.Group, slow []string) {
	if len(slow) == 0 {
		return
	}
	now := f.Uptime()
	for _, g := range groups {
		if slices.Contains(slow, g.ID) {
			f.loads.reportedSlow(g.Leader.Name, now+slowReportTTL, now)
		}
	}
}

package rudderforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// firstProbeTimeout and secondProbeTimeout bound the two tries of a probe. An answer takes one round
	// trip; the second try opens a new connection, because a pooled one may be dead without this host
	// knowing.
	firstProbeTimeout  = 100 * time.Millisecond
	secondProbeTimeout = 150 * time.Millisecond
	// maxDelayedProbes bounds the attempts that are repeated because this process was delayed in them.
	maxDelayedProbes = 2
	// verdictTTL is how long the result of a group's probe is reused, so that many silent streams of one
	// group share a probe.
	verdictTTL = 400 * time.Millisecond
	// silentBackoff is how long new requests avoid the leader of a group with a silent member, unless the group sends something
	// before. It lasts until the next probe has ended.
	silentBackoff = time.Second
	// brokenBackoff is how long new requests avoid the leader of a broken group, until the view shows the
	// group as ended, or the group sends something.
	brokenBackoff = 8 * time.Second
)

// probes caches probe results by group and limits the rate of probes.
type probes struct {
	mu       sync.Mutex
	groups   map[string]*groupProbe
	tokens   float64       // probes that this entry host may start now
	filledAt time.Duration // uptime at which tokens were last added
}

const (
	// fleetProbeRate is the number of group probes per second that all entry hosts may start together. In an
	// overload every stream of every group is silent for a while, and one finding of the planner serves all.
	fleetProbeRate = 40
	// minProbeRate is the lowest rate of one entry host, in probes per second, and probeBurst the number of
	// probes that it may save up.
	minProbeRate = 0.5
	probeBurst   = 4
)

// fill adds the tokens for the time since the last call. The caller holds the lock.
func (p *probes) fill(now time.Duration, entries int) {
	if p.filledAt == 0 {
		p.tokens = probeBurst
	}
	rate := max(minProbeRate, fleetProbeRate/float64(max(entries, 1)))
	p.tokens = min(probeBurst, p.tokens+rate*(now-p.filledAt).Seconds())
	p.filledAt = now
}

// takeToken takes one probe from this entry host's share of the fleet's rate. The caller holds the lock.
func (p *probes) takeToken(now time.Duration, entries int) bool {
	p.fill(now, entries)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// takeSpare is takeToken for probes that have to leave tokens for those of silent groups.
func (p *probes) takeSpare(now time.Duration, entries int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill(now, entries)
	return p.tokens > probeBurst/2 && p.takeToken(now, entries)
}

// GroupFinding names the members of a group that do not respond, the dead ones and the others, which may recover, and those that
// are slow.
type GroupFinding struct {
	Dead, Silent, Slow []string
}

// groupHealth is what a probe tells about a group.
type groupHealth int

const (
	groupAlive groupHealth = iota // or not known
	// groupSilent means that a member does not respond.
	groupSilent
	// groupBroken means that a member is dead. The planner may still hear from it before it ends the group.
	groupBroken
)

type groupProbe struct {
	done    chan struct{}
	endedAt time.Duration
	health  groupHealth
}

// valid reports whether a probe is running or its result still holds.
func (p *groupProbe) valid(now time.Duration) bool {
	return p.endedAt == 0 || now-p.endedAt < verdictTTL
}

// ProbeTarget requests the state of a target, in up to two attempts. alive is false if it answered neither of them, or if
// another incarnation or another target answers at its address. failed is called if the first attempt fails; optional. Of a target
// without a record, t has the last membership that is known.
func (f *Forwarder) ProbeTarget(ctx context.Context, t *rudderview.Target, failed func()) (report ruddertarget.GroupReport, alive bool) {
	delays := 0
	for i, timeout := range []time.Duration{firstProbeTimeout, secondProbeTimeout} {
		report, late, err := f.requestReport(ctx, t, timeout, i > 0)
		for ; late && delays < maxDelayedProbes; delays++ {
			f.Metrics.Count("targets.delayed_probes")
			report, late, err = f.requestReport(ctx, t, timeout, i > 0)
		}
		if err == nil && f.mayBeCopy(t, report) {
			report = f.confirmReport(ctx, t)
		}
		if err == nil {
			return report, report.Born == 0 || t.Born == 0 || report.Born == t.Born
		}
		if ctx.Err() != nil {
			return ruddertarget.GroupReport{}, true // cancelled, so nothing is known
		}
		if i == 0 && failed != nil {
			failed()
		}
	}
	return ruddertarget.GroupReport{}, false
}

// mayBeCopy reports whether a report has to be confirmed: it contradicts what is known of the target, and may be a copy of an answer
// from before its group formed, or of that to an order. Of a target with a record, the membership is not read from reports.
func (f *Forwarder) mayBeCopy(t *rudderview.Target, r ruddertarget.GroupReport) bool {
	return r.Kept && (r.Born == 0 && t.Born != 0 || r.Membership != t.Membership && f.View.Snapshot().Targets[t.Name] == nil)
}

// confirmReport requests the state of a target on a new connection. If that fails, all that is known is that the target has answered.
func (f *Forwarder) confirmReport(ctx context.Context, t *rudderview.Target) ruddertarget.GroupReport {
	f.Metrics.Count("targets.reports_confirmed")
	f.Limits.ChargeProbes(processOf(t), 1)
	report, _, err := f.requestReport(ctx, t, secondProbeTimeout, true)
	if err != nil {
		return ruddertarget.GroupReport{Membership: t.Membership, Orders: 1, Born: t.Born}
	}
	return report
}

// requestReport requests the state of a target once, anew on a new connection. late is set if that failed and this process was
// delayed, so that an answer may have arrived in time.
func (f *Forwarder) requestReport(ctx context.Context, t *rudderview.Target, timeout time.Duration, anew bool) (report ruddertarget.GroupReport, late bool, err error) {
	f.Metrics.Count("targets.probes")
	f.Limits.CountProbe(processOf(t))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, begin := f.Report, f.Uptime()
	if anew && f.ReportAnew != nil {
		request = f.ReportAnew
	}
	report, err = request(ctx, t.Address)
	return report, err != nil && f.Uptime()-begin > timeout+maxTimerDelay, err
}

func (f *Forwarder) unresponsive(ctx context.Context, t *rudderview.Target) bool {
	_, alive := f.Verdict(ctx, t)
	return !alive
}

// probeGroup probes the members of a group that has been silent for some time, 0 if that is not known. If the planner could not
// be reached, the other entry hosts are notified which members are dead.
func (f *Forwarder) probeGroup(ctx context.Context, g *rudderview.Group, silence time.Duration) groupHealth {
	f.probes.mu.Lock()
	if f.probes.groups == nil {
		f.probes.groups = map[string]*groupProbe{}
	}
	p := f.probes.groups[g.ID]
	if p != nil && p.valid(f.Uptime()) {
		f.probes.mu.Unlock()
		select {
		case <-p.done:
			return p.health
		case <-ctx.Done():
			return groupAlive
		}
	}
	if !f.probes.takeToken(f.Uptime(), len(f.View.Snapshot().EntryHosts)) {
		f.probes.mu.Unlock()
		f.Metrics.Count("groups.probe_budget_spent")
		return groupAlive
	}
	p = &groupProbe{done: make(chan struct{})}
	f.probes.groups[g.ID] = p
	f.probes.mu.Unlock()

	begin := f.Uptime()
	found, byPlanner := f.ExamineGroup(ctx, g, silence)
	if !byPlanner && ctx.Err() == nil {
		if silence > 0 {
			silence += f.Uptime() - begin
		}
		found.Dead, found.Slow = f.probeMembers(g, silence)
	}
	health := found.health()
	if len(found.Slow) > 0 {
		f.loads.foundSlow(g.Leader.Name, f.Uptime()+slowFoundTTL, f.Uptime())
	}
	f.probes.mu.Lock()
	p.health, p.endedAt = health, max(f.Uptime(), 1)
	f.probes.mu.Unlock()
	close(p.done)
	f.Logger.Info().Str("group", g.ID).Int("members", len(g.Members)).Strs("dead", found.Dead).Strs("silent", found.Silent).Strs("slow", found.Slow).Dur("silence_ms", silence).
		Bool("by_planner", byPlanner).Msg("probed unresponsive group")
	switch health {
	case groupBroken:
		f.loads.silent(g.Leader.Name, f.Uptime()+brokenBackoff, f.Uptime())
	case groupSilent:
		f.loads.foundSilent(g.Leader.Name, f.Uptime()+silentBackoff, f.Uptime())
	case groupAlive:
	}
	if !byPlanner {
		for _, t := range g.Members {
			if slices.Contains(found.Dead, t.Name) {
				go f.Suspect(t, "silent stream of group "+g.ID)
			}
		}
	}
	return health
}

func (g GroupFinding) health() groupHealth {
	switch {
	case len(g.Dead) > 0:
		return groupBroken
	case len(g.Silent) > 0:
		return groupSilent
	}
	return groupAlive
}

// probeMembers probes all members of a group that has been silent for some time and returns the names of the dead and slow ones. Of a
// longer silence of the group, only the time up to the first probe counts as that of each member: it may wait for another one.
func (f *Forwarder) probeMembers(g *rudderview.Group, silence time.Duration) (dead, slow []string) {
	silence = min(silence, eventSilence)
	type result struct{ alive, slow bool }
	results := make([]result, len(g.Members))
	var waiting sync.WaitGroup
	for i, t := range g.Members {
		waiting.Go(func() {
			report, alive := f.Confirm(context.Background(), t, silence)
			results[i] = result{alive, alive && report.Slow()}
		})
	}
	waiting.Wait()
	for i, t := range g.Members {
		if !results[i].alive {
			dead = append(dead, t.Name)
		}
		if results[i].slow {
			slow = append(slow, t.Name)
		}
	}
	return dead, slow
}

// prune drops old probe results.
func (p *probes) prune(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, g := range p.groups {
		if g.endedAt > 0 && now-g.endedAt > time.Minute {
			delete(p.groups, id)
		}
	}
}

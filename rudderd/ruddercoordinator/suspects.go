package ruddercoordinator

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderverdict"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// Examine probes targets that another entry host suspects and returns the dead ones and the others that do not answer.
// incarnations holds the incarnation of each target by name, and silence is the time since all of them were last seen alive, 0
// if that is not known. Calls for the same target share one probe. ok is false on an entry host that does not hold the
// planner's lease.
func (p *Planner) Examine(ctx context.Context, incarnations map[string]int64, silence time.Duration) (dead, silent []string, ok bool) {
	if !p.planning.Load() {
		return nil, nil, false
	}
	aliveAt := time.Duration(0)
	if silence > 0 {
		aliveAt = p.Uptime() - silence
	}
	snapshot := p.View.Snapshot()
	type pendingProbe struct {
		name string
		done <-chan struct{}
	}
	var waiting []pendingProbe
	p.mu.Lock()
	for name, born := range incarnations {
		if t := snapshot.Incarnation(name, born); t != nil {
			done := p.examineTarget(t)
			if v := p.results[name]; aliveAt > v.aliveAt {
				v.aliveAt = aliveAt
				p.wakeAfterSilence(v)
			}
			waiting = append(waiting, pendingProbe{name, done})
		}
	}
	p.mu.Unlock()
	for _, probe := range waiting {
		select {
		case <-probe.done:
		case <-ctx.Done():
			return nil, nil, false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, probe := range waiting {
		v := p.results[probe.name]
		switch {
		case v == nil || v.born != incarnations[probe.name]:
		case v.dead:
			dead = append(dead, probe.name)
		case v.silent && (!v.skipped || p.Uptime()-v.triedAt <= silentTTL):
			silent = append(silent, probe.name)
		}
	}
	return dead, silent, true
}

// Slow returns those of some targets that were slow by their last answer to a probe.
func (p *Planner) Slow(incarnations map[string]int64) (slow []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, born := range incarnations {
		if v := p.results[name]; v != nil && v.born == born && v.slow {
			slow = append(slow, name)
		}
	}
	return slow
}

// examineTarget starts a probe unless the last result is recent, or shows a silent target that is probed soon because it may be
// dead then. The caller holds the lock.
func (p *Planner) examineTarget(t *rudderview.Target) <-chan struct{} {
	if v := p.results[t.Name]; v != nil && v.born == t.Born && v.silent && !v.dead {
		if left := ruddertarget.MinSilence + decidingDelay - v.silence(p.Uptime()); left > 0 && left < examineInterval {
			return v.done
		}
	}
	return p.startProbe(t, examineInterval)
}

// probeSuspects probes the targets that entry hosts suspect before the planner acts on the suspicion: otherwise
// an entry host that is cut off could take whole domains out of service. Dead targets with a record are probed again,
// because they may come back.
func (p *Planner) probeSuspects(snapshot *rudderview.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probeReported(snapshot)
	p.probeUnregistered(snapshot)
	for name, v := range p.results {
		t := snapshot.Known(name)
		switch {
		case t == nil:
			delete(p.results, name)
		case v.dead && !v.lost:
			if v.confirmsIn(p.Uptime()) <= 0 {
				p.startProbe(t, 0)
			}
		case v.dead && snapshot.Targets[name] == nil: // no plan needs it
		case v.dead:
			p.startProbe(t, recheckInterval)
		case v.silent && v.skipped:
			p.startProbe(t, examineInterval)
		case v.silent && v.probeIn(p.Uptime()) <= 0:
			p.startProbe(t, 0)
		}
	}
}

// probeReported probes the targets that other entry hosts have reported. A report says nothing about a target that has answered
// since. The caller holds the lock.
func (p *Planner) probeReported(snapshot *rudderview.Snapshot) {
	for _, x := range snapshot.Suspicions {
		t := snapshot.Targets[x.Target]
		if t == nil || t.Born != x.Born {
			continue
		}
		p.startProbe(t, recheckInterval)
		if v := p.results[x.Target]; x.Confirmed && !v.confirmed && x.By != v.outlived {
			if !v.dead {
				p.startProbe(t, 0)
			}
			v = p.results[x.Target]
			v.confirmed, v.reporter = true, x.By
		}
	}
}

// probeUnregistered probes the members of planned groups that have no record. The caller holds the lock.
func (p *Planner) probeUnregistered(snapshot *rudderview.Snapshot) {
	if len(snapshot.Removed) == 0 {
		return
	}
	for _, record := range snapshot.Plans {
		for _, g := range record.Plan.Groups {
			for _, m := range g.Members {
				t := snapshot.Removed[m.Target]
				if t == nil || t.Born != m.Born {
					continue
				}
				interval := unregisteredInterval
				if leader := snapshot.Targets[g.Members[0].Target]; leader != nil && leader.Membership.Phase != ruddertarget.GroupOpen {
					interval = joiningInterval
				}
				p.startProbe(t, interval)
			}
		}
	}
}

// startProbe starts a probe unless one is running or the last one is more recent than interval. It returns a
// channel that is closed when the result is known. The caller holds the lock.
func (p *Planner) startProbe(t *rudderview.Target, interval time.Duration) <-chan struct{} {
	v := p.results[t.Name]
	now := p.Uptime()
	if v != nil && v.born == t.Born && (v.running || now-v.checked < interval) {
		return v.done
	}
	next := &probeResult{born: t.Born, checked: now, running: true, done: make(chan struct{})}
	if v != nil && v.born == t.Born {
		next.dead, next.report, next.known, next.answeredAt, next.slow = v.dead, v.report, v.known, v.answeredAt, v.slow
		next.lost, next.outlived = v.lost, v.outlived
		if v.silent {
			next.silent, next.failedAt, next.triedAt, next.aliveAt, next.confirmed = true, v.failedAt, v.triedAt, v.aliveAt, v.confirmed
			next.reporter = v.reporter
		}
	}
	p.results[t.Name] = next
	go p.runProbe(t, next)
	return next.done
}

// runProbe probes one target. It keeps the reported membership only if the target has no record: a target that
// was probed before it joined a group would otherwise seem to have left the group later.
func (p *Planner) runProbe(t *rudderview.Target, v *probeResult) {
	recorded := p.View.Snapshot().Targets[t.Name] != nil
	p.calls.acquire()
	p.mu.Lock()
	begin, suspected := p.Uptime(), v.silent || v.dead
	if v.known { // a report is compared with the last one
		answered := *t
		answered.Membership = v.report.Membership
		t = &answered
	}
	p.mu.Unlock()
	found := p.Probe(context.Background(), t, suspected)
	p.calls.release()
	p.mu.Lock()
	defer p.mu.Unlock()
	before := *v
	v.record(found, begin)
	if !v.skipped && (v.dead || v.silent || before.dead || before.silent) {
		p.Logger.Info().Str("target", t.Name).Int64("born", t.Born).Str("finding", found.String()).Dur("silence_ms", v.silence(p.Uptime())).
			Bool("dead", v.dead).Bool("lost", v.lost).Bool("before", before.dead).Msg("suspected target probed")
	}
	v.running, v.checked = false, p.Uptime()
	if !found.Skipped {
		v.slow = found.Alive && found.Report.Slow()
	}
	if found.Alive && !found.Skipped && !recorded {
		v.report, v.known = found.Report, true
	}
	close(v.done)
	p.wakeUp()
	p.wakeAfterSilence(v)
}

// wakeAfterSilence makes the planner take a step when a silent target may be dead, or a dead one lost. The caller holds the lock.
func (p *Planner) wakeAfterSilence(v *probeResult) {
	switch {
	case v.dead && !v.lost:
		time.AfterFunc(v.confirmsIn(p.Uptime()), p.wakeUp)
	case v.silent && !v.dead:
		wait := v.probeIn(p.Uptime())
		if v.skipped {
			wait = max(wait, examineInterval)
		}
		time.AfterFunc(wait, p.wakeUp)
	}
}

// record updates the result with the finding of a probe that started at an uptime. A target that does not answer is dead if it
// had been silent for long enough at the start of the probe.
func (v *probeResult) record(found rudderverdict.Finding, begin time.Duration) {
	v.skipped = found.Skipped
	switch {
	case found.Skipped:
		if v.aliveAt > v.triedAt && !v.dead {
			v.silent, v.failedAt, v.confirmed = false, 0, false
		}
		return
	case found.Alive:
		if v.confirmed {
			v.outlived = v.reporter
		}
		v.lost = false
		v.dead, v.silent, v.failedAt, v.aliveAt, v.confirmed, v.answeredAt = false, false, 0, 0, false, begin
		return
	case found.Ended():
		v.dead, v.lost = true, true
	case v.dead:
		v.lost = v.lost || v.confirmsIn(begin) <= 0
	case v.confirmed:
		v.dead = true
	}
	if !v.silent {
		v.silent, v.failedAt = true, begin
	}
	v.triedAt = begin
	v.dead = v.dead || v.silence(begin) >= ruddertarget.MinSilence
}

// probeIn returns the time until a silent target is probed again.
func (v *probeResult) probeIn(now time.Duration) time.Duration {
	decides := now + ruddertarget.MinSilence + decidingDelay - v.silence(now)
	if v.triedAt < decides-betweenInterval {
		return decides - betweenInterval - now
	}
	return decides - now
}

// confirmsIn returns the time until a probe may confirm that a dead target is lost. The target may have fallen silent right before
// the first failed probe: a stream whose last event was earlier may have waited for another member. An entry host that reports a
// dead target has counted its silence itself.
func (v *probeResult) confirmsIn(now time.Duration) time.Duration {
	switch {
	case v.skipped:
		return v.checked + examineInterval - now
	case v.confirmed:
		return 0
	}
	return v.failedAt + ruddertarget.MinSilence + wakingTime - now
}

// silence returns for how long a silent target has not responded at an uptime.
func (v *probeResult) silence(now time.Duration) time.Duration {
	switch {
	case !v.silent:
		return 0
	case v.aliveAt > 0:
		return now - max(v.aliveAt, v.answeredAt)
	}
	return now - v.failedAt
}

// wakeUp makes the planner take the next step now.
func (p *Planner) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

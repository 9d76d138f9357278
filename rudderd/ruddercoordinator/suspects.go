package ruddercoordinator

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// ConfirmDead probes targets that another entry host suspects and returns the dead ones. incarnations holds the
// incarnation of each target by name. Calls for the same target share one probe. ok is false on an entry host
// that does not hold the planner's lease.
func (p *Planner) ConfirmDead(ctx context.Context, incarnations map[string]int64) (dead []string, ok bool) {
	if !p.planning.Load() {
		return nil, false
	}
	snapshot := p.View.Snapshot()
	type pendingProbe struct {
		name string
		done <-chan struct{}
	}
	var waiting []pendingProbe
	p.mu.Lock()
	for name, born := range incarnations {
		t := snapshot.Targets[name]
		if t == nil {
			t = snapshot.Removed[name]
		}
		if t != nil && t.Born == born {
			waiting = append(waiting, pendingProbe{name, p.startProbe(t, confirmDeadInterval)})
		}
	}
	p.mu.Unlock()
	for _, probe := range waiting {
		select {
		case <-probe.done:
		case <-ctx.Done():
			return nil, false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, probe := range waiting {
		if v := p.results[probe.name]; v != nil && v.dead && v.born == incarnations[probe.name] {
			dead = append(dead, probe.name)
		}
	}
	return dead, true
}

// probeSuspects probes the targets that entry hosts suspect before the planner acts on the suspicion: otherwise
// an entry host that is cut off could take whole domains out of service. Dead targets are probed again,
// because they may come back.
func (p *Planner) probeSuspects(snapshot *rudderview.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range snapshot.Suspicions {
		if t := snapshot.Targets[x.Target]; t != nil && t.Born == x.Born {
			p.startProbe(t, recheckInterval)
		}
	}
	p.probeUnregistered(snapshot)
	for name, v := range p.results {
		t := snapshot.Targets[name]
		if t == nil {
			t = snapshot.Removed[name]
		}
		switch {
		case t == nil:
			delete(p.results, name)
		case v.dead:
			p.startProbe(t, recheckInterval)
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
		next.dead, next.report, next.known = v.dead, v.report, v.known
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
	report, alive := p.Probe(context.Background(), t)
	p.calls.release()
	dead := !alive
	p.mu.Lock()
	defer p.mu.Unlock()
	if dead || v.dead {
		p.Logger.Info().Str("target", t.Name).Int64("born", t.Born).Bool("dead", dead).Bool("before", v.dead).Msg("suspected target probed")
	}
	v.dead, v.running, v.checked = dead, false, p.Uptime()
	if alive && !recorded {
		v.report, v.known = report, true
	}
	close(v.done)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

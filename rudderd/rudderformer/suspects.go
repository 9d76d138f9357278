package rudderformer

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// ConfirmDead probes the targets that another entry host finds silent and returns the dead ones. Entry hosts
// that ask about the same target share one probe. ok is false on an entry host that does not plan.
func (f *Planner) ConfirmDead(ctx context.Context, lives map[string]int64) (dead []string, ok bool) {
	if !f.planning.Load() {
		return nil, false
	}
	snapshot := f.View.Snapshot()
	type pending struct {
		name string
		done <-chan struct{}
	}
	var waiting []pending
	f.mu.Lock()
	for name, born := range lives {
		t := snapshot.Targets[name]
		if t == nil {
			t = snapshot.Removed[name]
		}
		if t != nil && t.Born == born {
			waiting = append(waiting, pending{name, f.check(t, examineInterval)})
		}
	}
	f.mu.Unlock()
	for _, p := range waiting {
		select {
		case <-p.done:
		case <-ctx.Done():
			return nil, false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range waiting {
		if v := f.dead[p.name]; v != nil && v.dead && v.born == lives[p.name] {
			dead = append(dead, p.name)
		}
	}
	return dead, true
}

// checkSuspects probes the targets that entry hosts suspect, before anything is done about them: an entry
// host that is cut off would otherwise take whole domains out of service. Dead targets are probed again,
// because they may come back.
func (f *Planner) checkSuspects(snapshot *rudderview.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range snapshot.Suspicions {
		if t := snapshot.Targets[x.Target]; t != nil && t.Born == x.Born {
			f.check(t, recheckInterval)
		}
	}
	f.checkGone(snapshot)
	for name, v := range f.dead {
		t := snapshot.Targets[name]
		if t == nil {
			t = snapshot.Removed[name]
		}
		switch {
		case t == nil:
			delete(f.dead, name)
		case v.dead:
			f.check(t, recheckInterval)
		}
	}
}

// checkGone probes the members of planned groups whose record is gone. The caller holds the lock.
func (f *Planner) checkGone(snapshot *rudderview.Snapshot) {
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
				interval := goneInterval
				if leader := snapshot.Targets[g.Members[0].Target]; leader != nil && leader.Membership.Phase != ruddertarget.GroupOpen {
					interval = joiningInterval
				}
				f.check(t, interval)
			}
		}
	}
}

// check starts a probe unless one is under way or the last one is young enough, and returns a channel that
// is closed when the verdict stands. The caller holds the lock.
func (f *Planner) check(t *rudderview.Target, interval time.Duration) <-chan struct{} {
	v := f.dead[t.Name]
	now := f.Uptime()
	if v != nil && v.born == t.Born && (v.running || now-v.checked < interval) {
		return v.done
	}
	next := &verdict{born: t.Born, checked: now, running: true, done: make(chan struct{})}
	if v != nil && v.born == t.Born {
		next.dead, next.report, next.known = v.dead, v.report, v.known
	}
	f.dead[t.Name] = next
	go f.verify(t, next)
	return next.done
}

// verify probes one target. Its answer tells which group it is in only if it has no record: a target that is
// probed before it joins a group would seem to have left it later.
func (f *Planner) verify(t *rudderview.Target, v *verdict) {
	recorded := f.View.Snapshot().Targets[t.Name] != nil
	f.calls.acquire()
	report, alive := f.Probe(context.Background(), t)
	f.calls.release()
	dead := !alive
	f.mu.Lock()
	defer f.mu.Unlock()
	if dead || v.dead {
		f.Logger.Info().Str("target", t.Name).Int64("born", t.Born).Bool("dead", dead).Bool("before", v.dead).Msg("suspected target probed")
	}
	v.dead, v.running, v.checked = dead, false, f.Uptime()
	if alive && !recorded {
		v.report, v.known = report, true
	}
	close(v.done)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

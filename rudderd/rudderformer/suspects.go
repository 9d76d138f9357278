package rudderformer

import (
	"context"

	"comfreyrudder.example/rudderd/rudderview"
)

// checkSuspects probes the targets that entry hosts suspect, before anything is done about them: an entry
// host that is cut off would otherwise take whole domains out of service.
func (f *Former) checkSuspects(ctx context.Context, snapshot *rudderview.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Uptime()
	check := func(t *rudderview.Target) {
		v := f.dead[t.Name]
		if v.running || v.born == t.Born && v.checked > 0 && now-v.checked < recheckInterval {
			return
		}
		if v.born != t.Born {
			v = verdict{born: t.Born}
		}
		v.running, v.checked = true, now
		f.dead[t.Name] = v
		go f.verify(ctx, t)
	}
	for _, x := range snapshot.Suspicions {
		if t := snapshot.Targets[x.Target]; t != nil && t.Born == x.Born {
			check(t)
		}
	}
	for name, v := range f.dead {
		t := snapshot.Targets[name]
		if t == nil {
			delete(f.dead, name)
		} else if v.dead {
			check(t)
		}
	}
}

// verify probes one target.
func (f *Former) verify(ctx context.Context, t *rudderview.Target) {
	dead := f.Dead(ctx, t)
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.dead[t.Name]
	f.dead[t.Name] = verdict{born: t.Born, dead: dead, checked: f.Uptime()}
	if dead != old.dead || !dead {
		f.Logger.Info().Str("target", t.Name).Int64("born", t.Born).Bool("dead", dead).Msg("suspected target probed")
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

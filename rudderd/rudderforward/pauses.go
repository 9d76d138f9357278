package rudderforward

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// maxPauses bounds the number of targets whose pauses are stored; a large fleet stays below it.
	maxPauses = 4096
	// retrySpread is the share of a pause over which the retries of refused callers are spread after its end;
	// minRetrySpread is the shortest such time. Callers that all return at once would fill a target that has
	// just become available.
	retrySpread    = 0.2
	minRetrySpread = 200 * time.Millisecond
)

// pauses holds for each target the time until which it has requested that this entry host send nothing.
type pauses struct {
	mu      sync.Mutex
	targets map[string]pause
}

// pause applies to one incarnation of a target, identified by born.
type pause struct {
	born  int64
	until time.Duration // uptime
}

// set records that a target takes no requests until an uptime. A shorter pause does not replace a longer one.
func (p *pauses) set(t *rudderview.Target, until, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targets == nil {
		p.targets = map[string]pause{}
	}
	old, known := p.targets[t.Name]
	if known && old.born == t.Born && old.until >= until {
		return
	}
	if !known && len(p.targets) >= maxPauses {
		p.drop(now)
	}
	p.targets[t.Name] = pause{born: t.Born, until: until}
}

// left returns the remaining pause of a target, or 0 if it takes requests.
func (p *pauses) left(t *rudderview.Target, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, known := p.targets[t.Name]
	if !known || x.born != t.Born {
		return 0
	}
	return max(x.until-now, 0)
}

// prune drops pauses that have ended.
func (p *pauses) prune(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(now)
}

func (p *pauses) drop(now time.Duration) {
	for name, x := range p.targets {
		if x.until <= now {
			delete(p.targets, name)
		}
	}
}

// observeHeaders applies the state that a target reports in the response headers: that it leaves, or that it
// takes no requests for a time.
func (f *Forwarder) observeHeaders(j *job, g *rudderview.Group, answer *reply) {
	t := g.Leader
	if answer.Leaving && f.View.MarkLeaving(rudderview.Announcement{Target: t.Name, Born: t.Born}) {
		f.Metrics.Count("targets.announced_leave")
		f.Logger.Info().Str("request_id", j.request.ID).Str("target", t.Name).Int64("born", t.Born).Str("group", g.ID).
			Int("status", answer.response.StatusCode).Msg("target announced that it is leaving; sending it no new requests")
	}
	if answer.InvalidPause != "" {
		f.Metrics.Count("targets.bad_pauses")
		f.Logger.Warn().Str("request_id", j.request.ID).Str("target", t.Name).Str("value", answer.InvalidPause).
			Msg("target asked for an invalid pause; ignored")
	}
	if answer.Pause <= 0 || answer.response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	now := f.Uptime()
	f.pauses.set(t, now+answer.Pause, now)
	f.Metrics.Count("targets.pauses")
	f.Logger.Info().Str("request_id", j.request.ID).Str("target", t.Name).Int64("born", t.Born).Str("group", g.ID).
		Dur("pause_ms", answer.Pause).Msg("target asked for a pause; sending it no requests until the pause ends")
}

// accepts reports whether a group's leader has neither requested a pause nor announced that it leaves, and its data centre
// is not evacuated. It is checked again after the choice, because the request may have waited for an owner's answer since the groups
// were listed.
func (f *Forwarder) accepts(g *rudderview.Group) bool {
	if f.pauses.left(g.Leader, f.Uptime()) > 0 {
		return false
	}
	snapshot := f.View.Snapshot()
	if snapshot.Evacuated(g.Leader.DataCentre) {
		return false
	}
	t := snapshot.Targets[g.Leader.Name]
	return t == nil || t.Born != g.Leader.Born || !t.Leaving()
}

// accepting returns the groups whose leaders have no pause. wait is the shortest remaining pause of the
// others; 0 if there is none.
func (f *Forwarder) accepting(groups []*rudderview.Group) (accepting []*rudderview.Group, wait time.Duration) {
	now := f.Uptime()
	paused := 0
	for _, g := range groups {
		left := f.pauses.left(g.Leader, now)
		if left == 0 {
			continue
		}
		paused++
		if wait == 0 || left < wait {
			wait = left
		}
	}
	if paused == 0 {
		return groups, 0
	}
	accepting = make([]*rudderview.Group, 0, len(groups)-paused)
	for _, g := range groups {
		if f.pauses.left(g.Leader, now) == 0 {
			accepting = append(accepting, g)
		}
	}
	return accepting, wait
}

// pausedRefusal tells the caller to retry after the pause. The time is spread at random, so that callers do
// not all return at once.
func pausedRefusal(wait time.Duration) *refusal {
	spread := max(time.Duration(retrySpread*float64(wait)), minRetrySpread)
	return &refusal{
		status: http.StatusServiceUnavailable, code: "targets_pause", message: "all targets of this request want no requests now",
		retryAfter: wait + rand.N(spread), pausedFor: wait,
	}
}

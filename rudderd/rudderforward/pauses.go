package rudderforward

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// maxPauses bounds the targets whose pauses are kept, by the size of a large fleet.
	maxPauses = 4096
	// pauseSpread is the part of a pause over which refused callers are spread after its end, and leastSpread the time
	// over which they are spread at least: callers that return together fill a target that has just found room.
	pauseSpread = 0.2
	leastSpread = 200 * time.Millisecond
)

// pauses holds until when targets want nothing from this entry host, by their own answers.
type pauses struct {
	mu      sync.Mutex
	targets map[string]pause
}

// pause of one life of a target.
type pause struct {
	born  int64
	until time.Duration // uptime
}

// set notes that a target wants nothing until an uptime.
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

// left is how much longer a target wants nothing; 0 where it takes requests.
func (p *pauses) left(t *rudderview.Target, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, known := p.targets[t.Name]
	if !known || x.born != t.Born {
		return 0
	}
	return max(x.until-now, 0)
}

// forget drops pauses that have ended.
func (p *pauses) forget(now time.Duration) {
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

// observeHead takes what a target says of itself in the head of an answer to a request of this entry host.
func (f *Forwarder) observeHead(j *job, g *rudderview.Group, answer *reply) {
	t := g.Leader
	if answer.Leaving && f.View.MarkLeaving(rudderview.Announcement{Target: t.Name, Born: t.Born}) {
		f.Metrics.Count("targets.announced_leave")
		f.Logger.Info().Str("request_id", j.request.ID).Str("target", t.Name).Int64("born", t.Born).Str("group", g.ID).
			Int("status", answer.response.StatusCode).Msg("target announces that it leaves; no new requests")
	}
	if answer.BadPause != "" {
		f.Metrics.Count("targets.bad_pauses")
		f.Logger.Warn().Str("request_id", j.request.ID).Str("target", t.Name).Str("value", answer.BadPause).
			Msg("target asks for a pause that cannot be read; ignored")
	}
	if answer.Pause <= 0 || answer.response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	now := f.Uptime()
	f.pauses.set(t, now+answer.Pause, now)
	f.Metrics.Count("targets.pauses")
	f.Logger.Info().Str("request_id", j.request.ID).Str("target", t.Name).Int64("born", t.Born).Str("group", g.ID).
		Dur("pause_ms", answer.Pause).Msg("target asks for a pause; no requests until it ends")
}

// accepts reports whether a group's leader takes requests of this entry host as far as its answers say. A request may have
// waited for an owner since the group was listed.
func (f *Forwarder) accepts(g *rudderview.Group) bool {
	if f.pauses.left(g.Leader, f.Uptime()) > 0 {
		return false
	}
	t := f.View.Snapshot().Targets[g.Leader.Name]
	return t == nil || t.Born != g.Leader.Born || !t.Leaving()
}

// accepting returns the groups whose leaders have not asked for a pause. wait is the time until the first of the others takes
// requests again; 0 where none has asked.
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

// pausedRefusal tells a caller to come back after a pause, spread over some time after its end.
func pausedRefusal(wait time.Duration) *refusal {
	spread := max(time.Duration(pauseSpread*float64(wait)), leastSpread)
	return &refusal{
		status: http.StatusServiceUnavailable, code: "targets_pause", message: "all targets of this request want no requests now",
		retryAfter: wait + rand.N(spread), known: wait,
	}
}

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
	// verdictTTL is how long the result of a group's probe is reused, so that many silent streams of one
	// group share a probe.
	verdictTTL = 400 * time.Millisecond
	// brokenBackoff is how long new requests avoid the leader of a broken group, until the view shows the
	// group as ended.
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

// takeToken takes one probe from this entry host's share of the fleet's rate. The caller holds the lock.
func (p *probes) takeToken(now time.Duration, entries int) bool {
	if p.filledAt == 0 {
		p.tokens = probeBurst
	}
	rate := max(minProbeRate, fleetProbeRate/float64(max(entries, 1)))
	p.tokens = min(probeBurst, p.tokens+rate*(now-p.filledAt).Seconds())
	p.filledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

type groupProbe struct {
	done    chan struct{}
	endedAt time.Duration
	broken  bool
}

// ProbeTarget requests the state of a target, in up to two attempts. alive is false if it answered neither of them, or if
// another incarnation or another target answers at its address. failed is called if the first attempt fails; optional.
func (f *Forwarder) ProbeTarget(ctx context.Context, t *rudderview.Target, failed func()) (report ruddertarget.GroupReport, alive bool) {
	for i, timeout := range []time.Duration{firstProbeTimeout, secondProbeTimeout} {
		f.Metrics.Count("targets.probes")
		f.Limits.CountProbe(processOf(t))
		tryContext, cancel := context.WithTimeout(ctx, timeout)
		report, err := f.Report(tryContext, t.Address)
		cancel()
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

func (f *Forwarder) unresponsive(ctx context.Context, t *rudderview.Target) bool {
	_, alive := f.Verdict(ctx, t)
	return !alive
}

// probeGroup probes the members of a group and reports whether one is dead. If the planner could not be
// reached, the other entry hosts are notified which members are dead.
func (f *Forwarder) probeGroup(ctx context.Context, g *rudderview.Group) bool {
	f.probes.mu.Lock()
	if f.probes.groups == nil {
		f.probes.groups = map[string]*groupProbe{}
	}
	p := f.probes.groups[g.ID]
	if p != nil && (p.endedAt == 0 || f.Uptime()-p.endedAt < verdictTTL || p.broken) {
		f.probes.mu.Unlock()
		select {
		case <-p.done:
			return p.broken
		case <-ctx.Done():
			return false
		}
	}
	if !f.probes.takeToken(f.Uptime(), len(f.View.Snapshot().EntryHosts)) {
		f.probes.mu.Unlock()
		f.Metrics.Count("groups.probe_budget_spent")
		return false
	}
	p = &groupProbe{done: make(chan struct{})}
	f.probes.groups[g.ID] = p
	f.probes.mu.Unlock()

	dead, byPlanner := f.FindDeadMembers(ctx, g)
	if !byPlanner && ctx.Err() == nil {
		dead = f.deadMembers(g)
	}
	f.probes.mu.Lock()
	p.broken, p.endedAt = len(dead) > 0, max(f.Uptime(), 1)
	f.probes.mu.Unlock()
	close(p.done)
	f.Logger.Info().Str("group", g.ID).Int("members", len(g.Members)).Strs("dead", dead).Bool("by_planner", byPlanner).Msg("probed unresponsive group")
	if p.broken {
		f.loads.avoid(g.Leader.Name, f.Uptime()+brokenBackoff, f.Uptime())
	}
	if p.broken && !byPlanner {
		for _, t := range g.Members {
			if slices.Contains(dead, t.Name) {
				go f.Suspect(t, "silent stream of group "+g.ID)
			}
		}
	}
	return p.broken
}

// deadMembers probes all members of a group and returns the names of those that do not answer.
func (f *Forwarder) deadMembers(g *rudderview.Group) []string {
	results := make([]bool, len(g.Members))
	var waiting sync.WaitGroup
	for i, t := range g.Members {
		waiting.Go(func() { results[i] = f.unresponsive(context.Background(), t) })
	}
	waiting.Wait()
	var dead []string
	for i, t := range g.Members {
		if results[i] {
			dead = append(dead, t.Name)
		}
	}
	return dead
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

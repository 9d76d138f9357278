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
	// firstProbeTimeout and secondProbeTimeout bound the two tries of a probe. An answer takes a round
	// trip; the second try is on a new connection, because a kept one may have gone silent.
	firstProbeTimeout  = 100 * time.Millisecond
	secondProbeTimeout = 150 * time.Millisecond
	// verdictFresh is how long the verdict on a group counts, so that many silent streams of one group
	// share a probe.
	verdictFresh = 400 * time.Millisecond
	// brokenAvoid keeps new requests away from the leader of a broken group, until the view shows it.
	brokenAvoid = 8 * time.Second
)

// probes shares the verdicts on groups between requests.
type probes struct {
	mu     sync.Mutex
	groups map[string]*groupProbe
	tokens float64 // examinations that this entry host may ask for now
	filled time.Duration
}

const (
	// fleetProbes is how many examinations all entry hosts together ask for in a second. In an overload every stream
	// of every group is silent for a while, and one finding of the planner serves all.
	fleetProbes = 40
	// leastProbes is the part of one entry host at least, in a second, and probeBurst what it may save up.
	leastProbes = 0.5
	probeBurst  = 4
)

// take takes an examination out of this entry host's part. The caller holds the lock.
func (p *probes) take(now time.Duration, entries int) bool {
	if p.filled == 0 {
		p.tokens = probeBurst
	}
	rate := max(leastProbes, fleetProbes/float64(max(entries, 1)))
	p.tokens = min(probeBurst, p.tokens+rate*(now-p.filled).Seconds())
	p.filled = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

type groupProbe struct {
	done   chan struct{}
	ended  time.Duration
	broken bool
}

// ProbeTarget probes a target with two tries. alive is false when it answered neither of them.
func (f *Forwarder) ProbeTarget(ctx context.Context, t *rudderview.Target) (report ruddertarget.GroupReport, alive bool) {
	for _, timeout := range []time.Duration{firstProbeTimeout, secondProbeTimeout} {
		f.Metrics.Count("targets.probes")
		tryContext, cancel := context.WithTimeout(ctx, timeout)
		report, err := f.Report(tryContext, t.Address)
		cancel()
		if err == nil {
			return report, true
		}
		if ctx.Err() != nil {
			return ruddertarget.GroupReport{}, true // nothing is known
		}
	}
	return ruddertarget.GroupReport{}, false
}

func (f *Forwarder) dead(ctx context.Context, t *rudderview.Target) bool {
	_, alive := f.ProbeTarget(ctx, t)
	return !alive
}

// groupBroken probes the members of a group and reports whether one is dead. A dead member is told to the
// other entry hosts.
func (f *Forwarder) groupBroken(ctx context.Context, g *rudderview.Group) bool {
	f.probes.mu.Lock()
	if f.probes.groups == nil {
		f.probes.groups = map[string]*groupProbe{}
	}
	p := f.probes.groups[g.ID]
	if p != nil && (p.ended == 0 || f.Uptime()-p.ended < verdictFresh || p.broken) {
		f.probes.mu.Unlock()
		select {
		case <-p.done:
			return p.broken
		case <-ctx.Done():
			return false
		}
	}
	if !f.probes.take(f.Uptime(), len(f.View.Snapshot().EntryHosts)) {
		f.probes.mu.Unlock()
		f.Metrics.Count("groups.probe_budget_spent")
		return false
	}
	p = &groupProbe{done: make(chan struct{})}
	f.probes.groups[g.ID] = p
	f.probes.mu.Unlock()

	dead, asked := f.Examine(ctx, g)
	if !asked && ctx.Err() == nil {
		dead = f.deadMembers(g)
	}
	f.probes.mu.Lock()
	p.broken, p.ended = len(dead) > 0, max(f.Uptime(), 1)
	f.probes.mu.Unlock()
	close(p.done)
	f.Logger.Info().Str("group", g.ID).Int("members", len(g.Members)).Strs("dead", dead).Bool("by_planner", asked).Msg("silent group probed")
	if p.broken {
		f.loads.avoid(g.Leader.Name, f.Uptime()+brokenAvoid, f.Uptime())
	}
	if p.broken && !asked {
		for _, t := range g.Members {
			if slices.Contains(dead, t.Name) {
				go f.Suspect(t, "silent stream of group "+g.ID)
			}
		}
	}
	return p.broken
}

// deadMembers probes all members and names those that do not answer.
func (f *Forwarder) deadMembers(g *rudderview.Group) []string {
	results := make([]bool, len(g.Members))
	var waiting sync.WaitGroup
	for i, t := range g.Members {
		waiting.Go(func() { results[i] = f.dead(context.Background(), t) })
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

// forget drops old verdicts.
func (p *probes) forget(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, g := range p.groups {
		if g.ended > 0 && now-g.ended > time.Minute {
			delete(p.groups, id)
		}
	}
}

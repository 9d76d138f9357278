package ruddercoordinator

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"comfreyrudder.example/rudderd/rudderplacement"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// input collects the state of a service for the next step.
func (p *Planner) input(snapshot *rudderview.Snapshot, service *rudderroute.Service) rudderplacement.Input {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.states[service.Name] == nil {
		p.states[service.Name] = rudderplacement.NewState()
	}
	plans := map[string]rudderplacement.StoredPlan{}
	for key, record := range snapshot.Plans {
		if own, known := p.plans[key]; known && own.Revision >= record.Revision {
			continue
		}
		retiring := map[string]time.Duration{}
		for id, since := range record.RetiringSince {
			retiring[id] = p.View.Uptime() - since
		}
		p.plans[key] = rudderplacement.StoredPlan{Plan: record.Plan, Revision: record.Revision, RetiringFor: retiring}
	}
	for _, stored := range p.plans {
		if stored.Plan.Service == service.Name {
			plans[stored.Plan.Domain] = stored
		}
	}
	removed, reports := maps.Clone(snapshot.Removed), map[string]ruddertarget.GroupReport{}
	for name, v := range p.results {
		if snapshot.Targets[name] != nil {
			v.known = false // the record is newer than the answer to a probe
		}
		if t := removed[name]; t != nil && v.known && v.born == t.Born {
			// Without a record only the answer to a probe shows which group the target is in.
			answered := *t
			answered.Membership = v.report.Membership
			removed[name] = &answered
			reports[name] = v.report
		}
	}
	in := rudderplacement.Input{
		Now: p.Uptime(), EraStart: rudderstore.EraStart(snapshot.Revision), Service: service, Targets: snapshot.Targets, Removed: removed, Reports: reports, Plans: plans, StallTimeout: p.StallTimeout,
		Traffic: p.Traffic(), Settled: p.Traffic() || p.Uptime()-p.leaseSince > settleTime, State: p.states[service.Name],
		WithinStartupGrace: p.View.WithinStartupGrace(), Evacuated: snapshot.Evacuated,
		Dead:   p.probed(func(v *probeResult) bool { return v.dead }),
		Lost:   p.probed(func(v *probeResult) bool { return v.dead && v.lost }),
		Silent: p.probed(func(v *probeResult) bool { return v.silent }),
	}
	if p.Demand != nil {
		in.Demand = p.Demand(service.Name)
	}
	if p.Refused != nil {
		in.Refused = p.Refused(service.Name)
	}
	return in
}

// probed returns a function that reports whether the last probe of a target has a result. Its caller holds the lock.
func (p *Planner) probed(result func(v *probeResult) bool) func(t *rudderview.Target) bool {
	return func(t *rudderview.Target) bool {
		v := p.results[t.Name]
		return v != nil && v.born == t.Born && result(v)
	}
}

// membersAlive probes the members of the new groups in a change and reports whether all of them answer. A
// planner that has just taken over does not know which targets its predecessor found dead, and a record
// outlives its target by seconds.
func (p *Planner) membersAlive(ctx context.Context, in rudderplacement.Input, c rudderplacement.PlanChange) bool {
	old := map[string]bool{}
	for _, g := range in.Plans[c.Plan.Domain].Plan.Groups {
		old[rudderview.GroupID(g.Name, g.Epoch)] = true
	}
	var probes []<-chan struct{}
	p.mu.Lock()
	for _, g := range c.Plan.Groups {
		if old[rudderview.GroupID(g.Name, g.Epoch)] {
			continue
		}
		for _, m := range g.Members {
			if t := in.Targets[m.Target]; t != nil {
				probes = append(probes, p.startProbe(t, confirmInterval))
			}
		}
	}
	p.mu.Unlock()
	for _, done := range probes {
		select {
		case <-done:
		case <-ctx.Done():
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range c.Plan.Groups {
		for _, m := range g.Members {
			if v := p.results[m.Target]; !old[rudderview.GroupID(g.Name, g.Epoch)] && v != nil && (v.dead || v.silent) && v.born == m.Born {
				p.Logger.Info().Str("target", m.Target).Str("group", g.Name).Int64("epoch", g.Epoch).Msg("plan not written: a planned member does not answer")
				return false
			}
		}
	}
	return true
}

// replacesSilent reports whether the leaders that a change replaces because of their silence still do not answer.
func (p *Planner) replacesSilent(c rudderplacement.PlanChange) bool {
	for _, m := range c.Replaced {
		if p.answers(m) {
			p.Logger.Info().Str("target", m.Target).Msg("plan not written: a leader that it replaces answers again")
			return false
		}
	}
	return true
}

// stored returns the plan that this planner last stored under the key of a change.
func (p *Planner) stored(c rudderplacement.PlanChange) rudderplacement.StoredPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plans[planKey(c)]
}

func planKey(c rudderplacement.PlanChange) string { return rudderview.PlanPrefix + c.Plan.Key() }

// failedWrite counts the consecutive failed writes of a plan.
type failedWrite struct {
	failures int
	until    time.Duration // uptime before which the plan is not written again
}

// mayStore reports whether the backoff after failed writes of a plan is over. A planner steps ten times a
// second, and a key-value service that refuses calls answers at once.
func (p *Planner) mayStore(c rudderplacement.PlanChange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Uptime() >= p.failedWrites[planKey(c)].until
}

// store writes a changed plan if the stored revision is still the expected one.
func (p *Planner) store(ctx context.Context, c rudderplacement.PlanChange) bool {
	value, err := c.Plan.Encode()
	if err != nil {
		p.Logger.Error().Err(err).Str("domain", c.Plan.Domain).Msg("cannot encode plan")
		return false
	}
	key := planKey(c)
	p.mu.Lock()
	timeout := max(firstStoreTimeout, answerMargin*time.Duration(p.answered.Load()))
	timeout = min(timeout<<min(p.failedWrites[key].failures, 8), storeTimeout)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	revision, err := p.Store.Put(ctx, rudderstore.PutRequest{Key: key, Value: value, Expected: c.Revision})
	p.Logger.Info().Err(err).Str("domain", c.Plan.Domain).Int64("expected", c.Revision).Int64("revision", revision).
		Str("changes", strings.Join(c.Notes, "; ")).Msg("plan written")
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		failures := p.failedWrites[key].failures + 1
		p.failedWrites[key] = failedWrite{failures: failures, until: p.Uptime() + rudderview.RetryAfter(failures, rand.Float64())}
		return false
	}
	delete(p.failedWrites, key)
	for _, kind := range c.Donated {
		if p.OnRetire != nil {
			p.OnRetire(kind)
		}
	}
	p.plans[key] = rudderplacement.StoredPlan{Plan: c.Plan, Revision: revision}
	return true
}

// saveLost writes the plans again that a restore of the key-value service has lost, or a malformed record has replaced.
func (p *Planner) saveLost(ctx context.Context, snapshot *rudderview.Snapshot) {
	for key, record := range snapshot.Plans {
		if !record.Unsaved {
			continue
		}
		p.mu.Lock()
		own, known := p.plans[key]
		p.mu.Unlock()
		if known && own.Revision > record.Revision {
			continue // written already; the view does not show it yet
		}
		c := rudderplacement.PlanChange{
			StoredPlan: rudderplacement.StoredPlan{Plan: record.Plan, Revision: record.Revision}, Notes: []string{"written again after its record was lost"},
		}
		if p.mayStore(c) {
			p.store(ctx, c)
		}
	}
}

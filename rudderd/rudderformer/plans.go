package rudderformer

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"comfreyrudder.example/rudderd/rudderform"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
)

func (f *Planner) input(snapshot *rudderview.Snapshot, service *rudderroute.Service) rudderform.Input {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.memory[service.Name] == nil {
		f.memory[service.Name] = rudderform.NewState()
	}
	plans := map[string]rudderform.StoredPlan{}
	for key, record := range snapshot.Plans {
		if own, known := f.plans[key]; known && own.Revision >= record.Revision {
			continue
		}
		retiring := map[string]time.Duration{}
		for id, since := range record.RetiringSince {
			retiring[id] = f.View.Uptime() - since
		}
		f.plans[key] = rudderform.StoredPlan{Plan: record.Plan, Revision: record.Revision, RetiringFor: retiring}
	}
	for _, stored := range f.plans {
		if stored.Plan.Service == service.Name {
			plans[stored.Plan.Domain] = stored
		}
	}
	dead := map[string]int64{}
	gone := maps.Clone(snapshot.Removed)
	for name, v := range f.dead {
		if v.dead {
			dead[name] = v.born
		}
		if snapshot.Targets[name] != nil {
			v.known = false // the record tells more than an older answer
		}
		if t := gone[name]; t != nil && v.known && v.born == t.Born {
			// Its record is gone, so only its own answer tells which group it is in.
			answered := *t
			answered.Membership = v.report.Membership
			gone[name] = &answered
		}
	}
	in := rudderform.Input{
		Now: f.Uptime(), Service: service, Targets: snapshot.Targets, Gone: gone, Plans: plans, Stall: f.Stall,
		Traffic: f.Traffic(), Settled: f.Traffic() || f.Uptime()-f.begin > settleTime, State: f.memory[service.Name],
		Young: f.View.WithinStartupGrace(),
		Dead:  func(t *rudderview.Target) bool { born, known := dead[t.Name]; return known && born == t.Born },
	}
	in.Resumable = snapshot.Table.Resumable(service.Name)
	if f.Demand != nil {
		in.Demand = f.Demand(service.Name)
	}
	return in
}

// confirmed probes the members of the groups that a change forms. A planner that has just taken over does not
// know which targets its predecessor found dead, and a record outlives its target by seconds.
func (f *Planner) confirmed(ctx context.Context, in rudderform.Input, c rudderform.PlanChange) bool {
	old := map[string]bool{}
	for _, g := range in.Plans[c.Plan.Domain].Plan.Groups {
		old[rudderview.GroupID(g.Name, g.Epoch)] = true
	}
	var probes []<-chan struct{}
	f.mu.Lock()
	for _, g := range c.Plan.Groups {
		if old[rudderview.GroupID(g.Name, g.Epoch)] {
			continue
		}
		for _, m := range g.Members {
			if t := in.Targets[m.Target]; t != nil {
				probes = append(probes, f.check(t, confirmInterval))
			}
		}
	}
	f.mu.Unlock()
	for _, done := range probes {
		select {
		case <-done:
		case <-ctx.Done():
			return false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range c.Plan.Groups {
		for _, m := range g.Members {
			if v := f.dead[m.Target]; !old[rudderview.GroupID(g.Name, g.Epoch)] && v != nil && v.dead && v.born == m.Born {
				f.Logger.Info().Str("target", m.Target).Str("group", g.Name).Int64("epoch", g.Epoch).Msg("plan not written: a planned member does not answer")
				return false
			}
		}
	}
	return true
}

// stored returns what this planner stored last for the plan of a change.
func (f *Planner) stored(c rudderform.PlanChange) rudderform.StoredPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plans[planKey(c)]
}

func planKey(c rudderform.PlanChange) string { return rudderview.PlanPrefix + c.Plan.Key() }

// unstored is a plan whose last writes failed.
type unstored struct {
	failures int
	until    time.Duration // uptime before which it is not written again
}

// mayStore reports whether the last failed write of a plan is long enough ago. A planner steps ten times a second,
// and a service that refuses calls answers at once.
func (f *Planner) mayStore(c rudderform.PlanChange) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Uptime() >= f.unstored[planKey(c)].until
}

// store writes a changed plan if nobody else changed it.
func (f *Planner) store(ctx context.Context, c rudderform.PlanChange) bool {
	value, err := c.Plan.Encode()
	if err != nil {
		f.Logger.Error().Err(err).Str("domain", c.Plan.Domain).Msg("plan cannot be encoded")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := planKey(c)
	revision, err := f.Store.Put(ctx, rudderstore.PutRequest{Key: key, Value: value, Expected: c.Revision})
	f.Logger.Info().Err(err).Str("domain", c.Plan.Domain).Int64("expected", c.Revision).Int64("revision", revision).
		Str("changes", strings.Join(c.Notes, "; ")).Msg("plan written")
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		failures := f.unstored[key].failures + 1
		f.unstored[key] = unstored{failures: failures, until: f.Uptime() + rudderview.RetryAfter(failures, rand.Float64())}
		return false
	}
	delete(f.unstored, key)
	f.plans[key] = rudderform.StoredPlan{Plan: c.Plan, Revision: revision}
	return true
}

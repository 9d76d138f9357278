package rudderedge

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
)

// limitedSendsInterval is the time between two log lines with the sends to targets that name a limit.
const limitedSendsInterval = 4 * time.Second

// logLimitedSends periodically logs what this entry host has sent to each target that names a limit, until the context is
// cancelled. The sum over all entry hosts is what the target has received.
func (e *Edge) logLimitedSends(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, limitedSendsInterval)
		for _, u := range e.limits.TakeUsage() {
			e.Logger.Info().Str("target", u.Process.Target).Int64("born", u.Process.Born).Float64("requests_per_second", u.Rate).
				Int("first_sends", u.First).Int("repeated_sends", u.Repeated).Int("probes", u.Probes).Msg("sends to a target with a limit")
		}
	}
	return nil
}

// processesOf returns the targets that take the requests of a partition of a ledger, or nil while no limits are known.
func (e *Edge) processesOf(s *rudderview.Snapshot, key ledgerKey) []rudderlimit.Process {
	if e.limits.Empty() {
		return nil
	}
	var list []rudderlimit.Process
	for _, g := range groupsOf(s, key) {
		list = append(list, processOf(g))
	}
	return list
}

func processOf(g *rudderview.Group) rudderlimit.Process {
	return rudderlimit.Process{Target: g.Leader.Name, Born: g.Leader.Born}
}

// mergeLimits applies the limits that another entry host knows.
func (e *Edge) mergeLimits(from string, list []rudderlimit.Report) {
	for _, r := range e.limits.Merge(list, e.uptime()) {
		e.Logger.Info().Str("target", r.Process.Target).Int64("born", r.Process.Born).Bool("limited", r.Limited).Float64("requests_per_second", r.Rate).
			Dur("age_ms", r.Age).Str("by", from).Msg("target changed its limit of requests, as reported by another entry host")
	}
}

// missingLimits returns the limits of the targets of a partition that another entry host does not know.
func (e *Edge) missingLimits(key ledgerKey, known []rudderlimit.Report) []*rudderpeer.TargetLimit {
	return rudderlimit.Encode(e.limits.Missing(e.processesOf(e.view.Snapshot(), key), known, e.uptime()))
}

package rudderforward

import (
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderview"
)

func processOf(t *rudderview.Target) rudderlimit.Process {
	return rudderlimit.Process{Target: t.Name, Born: t.Born}
}

// observeLimit records the request rate that a target names in the response headers, or that it names none. A malformed
// limit is ignored: it neither replaces nor ends the one that is known.
func (f *Forwarder) observeLimit(j *job, g *rudderview.Group, answer *reply, sentAt time.Duration) {
	t, now := g.Leader, f.Uptime()
	change, rate := rudderlimit.Unchanged, 0.0
	switch {
	case answer.InvalidLimit != "":
		f.Metrics.Count("targets.bad_limits")
		f.Logger.Warn().Str("request_id", j.request.ID).Str("target", t.Name).Str("value", answer.InvalidLimit).
			Msg("target named an invalid limit of requests; ignored")
		return
	case answer.RequestLimit != nil:
		rate = *answer.RequestLimit
		change = f.Limits.Name(processOf(t), rate, now)
	case answer.RequestID == j.request.ID:
		change = f.Limits.NameNone(processOf(t), sentAt, now)
	}
	if change == rudderlimit.Unchanged {
		return
	}
	f.Metrics.Count("targets.limits." + change.String())
	f.Logger.Info().Str("request_id", j.request.ID).Str("target", t.Name).Int64("born", t.Born).Str("group", g.ID).
		Str("change", change.String()).Float64("requests_per_second", rate).Msg("target changed its limit of requests")
}

// observeCold records that a target says in a response that it is cold.
func (f *Forwarder) observeCold(j *job, g *rudderview.Group, answer *reply) {
	if answer.Cold <= 0 {
		return
	}
	service := f.View.Snapshot().Table.Service(g.Service)
	if service == nil || service.ColdRate <= 0 {
		return
	}
	now := f.Uptime()
	if f.Limits.SetCold(processOf(g.Leader), service.ColdRate, now+answer.Cold, now) == rudderlimit.Began {
		f.Metrics.Count("targets.cold")
		f.Logger.Info().Str("request_id", j.request.ID).Str("target", g.Leader.Name).Dur("cold_ms", answer.Cold).Msg("target says that it is cold")
	}
}

// permitTime is how long after the question to the owner a request may be sent. A process that was suspended meanwhile would
// send it in a time for which the owner has permitted others.
const permitTime = 250 * time.Millisecond

// limited reports whether the target of one of the groups names a limit.
func (f *Forwarder) limited(groups []*rudderview.Group) bool {
	return slices.ContainsFunc(groups, func(g *rudderview.Group) bool { return f.Limits.Limited(processOf(g.Leader)) })
}

// permitExpired reports whether a permit for a target with a limit is too old to be used.
func (f *Forwarder) permitExpired(c choice) bool {
	return c.permittedAt > 0 && f.Uptime()-c.permittedAt > permitTime && f.Limits.Limited(processOf(c.group.Leader))
}

// withShare returns the groups whose targets take a request of this entry host without a permit of the owner.
func (f *Forwarder) withShare(groups []*rudderview.Group) []*rudderview.Group {
	if !f.limited(groups) {
		return groups
	}
	now := f.Uptime()
	var list []*rudderview.Group
	for _, g := range groups {
		if f.Limits.HasShare(processOf(g.Leader), now) {
			list = append(list, g)
		}
	}
	return list
}

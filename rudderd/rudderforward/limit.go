package rudderforward

import (
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

package rudderowner

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderpeer"
)

// uptime converts a time to the clock of the limits.
func (o *Owner) uptime(at time.Time) time.Duration { return at.Sub(o.epoch) }

// processesOf returns the leaders of a shard. A leader's address stands for its process: a new process at the address names
// its own limit, or none, in its first response.
func processesOf(s rudderrouter.Shard) []rudderlimit.Process {
	var list []rudderlimit.Process
	for _, g := range s.Groups() {
		list = append(list, rudderlimit.Process{Target: g.Leader})
	}
	return list
}

// ObserveLimit records the limit of requests that a leader has named in a response, or that it has named none. values are
// those of ruddertarget.HeaderRequestLimit, and sentAt is the time of the request. A change is reported to the owner of the
// leader's shard.
func (o *Owner) ObserveLimit(leader string, values []string, sentAt time.Time) {
	o.init()
	now := o.Clock.Now()
	rate, bad := rudderlimit.Parse(values)
	process, change := rudderlimit.Process{Target: leader}, rudderlimit.Unchanged
	switch {
	case bad != "":
		o.Logger.Warn().Str("target", leader).Str("value", bad).Msg("target named an invalid limit of requests; ignored")
		return
	case rate != nil:
		change = o.limits.Name(process, *rate, o.uptime(now))
	default:
		change = o.limits.NameNone(process, o.uptime(sentAt), o.uptime(now))
	}
	if change == rudderlimit.Unchanged {
		return
	}
	line := o.Logger.Info().Str("target", leader).Str("change", change.String())
	if rate != nil {
		line = line.Float64("requests_per_second", *rate)
	}
	line.Msg("target changed its limit of requests")
	o.reportLimit(process, now)
}

// reportLimit reports a changed limit to the owner of the leader's shard, in the background. If the report is lost, the
// next Grant call has it.
func (o *Owner) reportLimit(process rudderlimit.Process, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.view.shards {
		owners := o.view.owners[s.ID()]
		for _, g := range s.Groups() {
			if g.Leader != process.Target || len(owners) == 0 || owners[0].Name == o.Self.Name {
				continue
			}
			admission := o.admissionClient(owners[0])
			reports := rudderlimit.Encode(o.limits.Reports([]rudderlimit.Process{process}, o.uptime(now)))
			o.background(func(ctx context.Context) error {
				_, err := admission.Release(ctx, &rudderpeer.ReleaseRequest{Shard: s.ID(), Limits: reports})
				return err
			})
			return
		}
	}
}

// mergeLimits applies the limits that another entry host knows.
func (o *Owner) mergeLimits(list []rudderlimit.Report, now time.Time) {
	for _, r := range o.limits.Merge(list, o.uptime(now)) {
		o.Logger.Info().Str("target", r.Process.Target).Bool("limited", r.Limited).Float64("requests_per_second", r.Rate).Dur("age_ms", r.Age).
			Msg("target changed its limit of requests, as reported by another entry host")
	}
}

// limitReports returns what the owner of a shard must know of the limits of its leaders.
func (o *Owner) limitReports(shard string, now time.Time) []rudderlimit.Report {
	if o.limits.Empty() {
		return nil
	}
	o.mu.Lock()
	processes := processesOf(o.view.byID[shard])
	o.mu.Unlock()
	return o.limits.Reports(processes, o.uptime(now))
}

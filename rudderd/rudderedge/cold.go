package rudderedge

import (
	"context"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderview"
)

// limitCold keeps the limits of cold targets up to date with the view, until the context ends.
func (e *Edge) limitCold(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := e.view.Changed()
		e.applyCold(e.view.Snapshot())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// maxLoggedTargets bounds the names in one log line. A whole data centre may become cold at once.
const maxLoggedTargets = 8

// applyCold limits the targets that are cold as of a snapshot.
func (e *Edge) applyCold(s *rudderview.Snapshot) {
	if s.Table == nil {
		return
	}
	for _, service := range s.Table.Services() {
		if service.ColdRate <= 0 {
			continue
		}
		changes := map[rudderlimit.Change][]string{}
		now := e.uptime()
		for _, t := range s.Targets {
			if t.Service != service.Name {
				continue
			}
			process := rudderlimit.Process{Target: t.Name, Born: t.Born}
			change := e.limits.SetCold(process, service.ColdRate, s.ColdUntil(t, service.ColdStart), now)
			changes[change] = append(changes[change], t.Name)
		}
		for _, change := range []rudderlimit.Change{rudderlimit.Began, rudderlimit.Ended} {
			names := changes[change]
			if len(names) == 0 {
				continue
			}
			e.countN("targets.cold."+change.String(), len(names))
			e.Logger.Info().Str("service", service.Name).Str("change", change.String()).Int("targets", len(names)).
				Strs("names", names[:min(len(names), maxLoggedTargets)]).Float64("requests_per_second", service.ColdRate).Msg("limits of cold targets changed")
		}
	}
}

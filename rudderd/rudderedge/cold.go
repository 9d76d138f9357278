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

// applyCold limits the targets that are cold as of a snapshot.
func (e *Edge) applyCold(s *rudderview.Snapshot) {
	if s.Table == nil {
		return
	}
	now := e.uptime()
	for _, service := range s.Table.Services() {
		if service.ColdRate <= 0 {
			continue
		}
		for _, t := range s.Targets {
			if t.Service != service.Name {
				continue
			}
			until := s.ColdUntil(t, service.ColdStart)
			if change := e.limits.SetCold(rudderlimit.Process{Target: t.Name, Born: t.Born}, service.ColdRate, until, now); change != rudderlimit.Unchanged {
				e.count("targets.cold." + change.String())
				e.Logger.Info().Str("target", t.Name).Int64("born", t.Born).Str("change", change.String()).Float64("requests_per_second", service.ColdRate).
					Dur("left_ms", until-now).Msg("limit of a cold target changed")
			}
		}
	}
}

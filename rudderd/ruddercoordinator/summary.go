package ruddercoordinator

import (
	"reflect"
	"time"

	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderplacement"
)

// summaryInterval is the shortest time between two log lines with the state of a service's groups.
const summaryInterval = 5 * time.Second

// loggedSummary is the state of a service's groups, and the last one that was logged.
type loggedSummary struct {
	now, logged rudderplacement.Summary
	at          time.Duration // uptime of the last log line
}

// summarize records the state of a service's groups, and logs it when it has changed.
func (p *Planner) summarize(in rudderplacement.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.summaries[in.Service.Name]
	s.now = rudderplacement.Summarize(in)
	if now := p.Uptime(); !reflect.DeepEqual(s.now, s.logged) && (!known || now-s.at >= summaryInterval) {
		s.logged, s.at = s.now, now
		groups, refused := zerolog.Dict(), zerolog.Dict()
		for _, m := range in.Service.Engine.Models {
			groups, refused = groups.Int(m.Name, s.now.Groups[m.Name]), refused.Float64(m.Name, in.Refused[m.Name])
		}
		p.Logger.Info().Str("service", in.Service.Name).Dict("groups", groups).Int("idle_targets", s.now.Idle).Int("moving_domains", s.now.Moving).
			Dict("refused_share", refused).Msg("groups by model")
	}
	p.summaries[in.Service.Name] = s
}

// Summaries returns the state of the groups by service, or nil while this entry host does not plan.
func (p *Planner) Summaries() map[string]rudderplacement.Summary {
	if !p.Planning() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := map[string]rudderplacement.Summary{}
	for service, s := range p.summaries {
		list[service] = s.now
	}
	return list
}

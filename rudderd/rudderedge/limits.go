package rudderedge

import (
	"context"
	"time"
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

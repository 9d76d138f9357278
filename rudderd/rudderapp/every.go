package rudderapp

import (
	"context"
	"time"
)

// every calls a function at an interval until the context is cancelled.
func (a *App) every(ctx context.Context, interval time.Duration, call func(ctx context.Context)) error {
	ticker := a.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			call(ctx)
		}
	}
}

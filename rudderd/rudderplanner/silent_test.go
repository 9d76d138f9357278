package rudderplanner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against a group that is dropped because an engine was silent for a second or so, with polls in quick succession, or because the
// planner itself was delayed, and against an engine that is found dead late.
func TestSilentEngineKeepsItsGroup(t *testing.T) {
	const lost = time.Hour
	for _, test := range []struct {
		name                             string
		interval, silence, delayed, upTo time.Duration // delayed: of the first poll
	}{
		{"a second", time.Second, 1200 * time.Millisecond, 0, 0},
		{"a second, short interval", 200 * time.Millisecond, 1200 * time.Millisecond, 0, 0},
		{"a second, half the interval", 500 * time.Millisecond, 1400 * time.Millisecond, 0, 0},
		{"planner delayed before", time.Second, 4200 * time.Millisecond, 2 * time.Second, 0},
		{"lost, planner delayed before", time.Second, lost, 2 * time.Second, 5 * time.Second},
		{"lost", time.Second, lost, 0, 3 * time.Second},
		{"lost, short interval", 200 * time.Millisecond, lost, 0, 1600 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(4, true)
			w.configure(rudderconfig.Selector{Name: "a", Firm: "umuvumu", Model: "m", GroupSize: 2})
			a := w.planner("a")
			w.ticks(5, a)
			a.p.Times.PollInterval, a.p.Times.PollTimeout = test.interval, test.interval*7/10
			plan := storedPlan(t, a)
			require.NotEmpty(t, plan.Groups)
			member, begin, found := plan.Groups[0].Members[0], w.clock.Now(), time.Duration(0)
			status := a.p.Control.Status
			a.p.Control.Status = func(ctx context.Context, address string) (ruddertarget.Status, error) {
				if address != member.Address || w.clock.Now().Sub(begin) >= test.silence {
					return status(ctx, address)
				}
				delayed := test.delayed
				test.delayed = 0
				w.clock.Advance(a.p.Times.PollTimeout + delayed)
				if w.clock.Now().Sub(begin) >= test.silence {
					return status(ctx, address)
				}
				return ruddertarget.Status{}, ruddertarget.ErrUnreachable
			}
			for next := begin; next.Sub(begin) < 6*time.Second; next = next.Add(test.interval) {
				w.clock.Advance(max(0, next.Sub(w.clock.Now())))
				a.tick(context.Background())
				dead := rudderallocator.Observation{Missed: a.observations[member.Host].missed}.Dead(a.p.Timing)
				if found == 0 && (dead || storedPlan(t, a).Groups[0].ID != plan.Groups[0].ID) {
					found = w.clock.Now().Sub(begin)
				}
			}
			if test.upTo == 0 {
				require.Zero(t, found)
				return
			}
			require.Positive(t, found)
			require.LessOrEqual(t, found, test.upTo)
		})
	}
}

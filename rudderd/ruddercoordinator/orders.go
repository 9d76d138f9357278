package ruddercoordinator

import (
	"context"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderplacement"
	"comfreyrudder.example/shared/ruddertarget"
)

// send sends one order and records the outcome.
func (p *Planner) send(ctx context.Context, state *rudderplacement.State, o rudderplacement.Order) {
	p.calls.acquire()
	defer p.calls.release()
	if ctx.Err() != nil {
		return // the lease was lost while the order waited
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	begin := p.Uptime()
	err := p.Control.Send(ctx, o.Target, o.Address, o.Order)
	outcome := orderOutcome(err)
	if outcome == "not_listening" && p.HasPath != nil && !p.HasPath(ctx) {
		outcome = "unreachable" // the connection was refused on the way
	}
	p.Logger.Info().Err(err).Str("target", o.Target).Str("order", string(o.Order.Kind)).Str("group", o.Order.Group).
		Int64("epoch", o.Order.Epoch).Str("model", o.Order.Model).Str("reason", o.Reason).Str("outcome", outcome).
		Dur("took_ms", p.Uptime()-begin).Msg("order sent")
	if p.OnOrder != nil {
		p.OnOrder(string(o.Order.Kind), outcome)
	}
	p.mu.Lock()
	switch outcome {
	case "taken":
		state.MarkAccepted(o)
	case "refused", "stale", "other_target", "not_listening":
		state.MarkInapplicable(o)
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// orderOutcome names the outcome of an order for logs and metrics.
func orderOutcome(err error) string {
	for _, known := range []struct {
		err  error
		name string
	}{
		{ruddertarget.ErrRefused, "refused"},
		{ruddertarget.ErrStaleFencing, "stale"},
		{ruddertarget.ErrOtherTarget, "other_target"},
		{ruddertarget.ErrNotListening, "not_listening"},
		{ruddertarget.ErrUnreachable, "unreachable"},
	} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	if err != nil {
		return "unanswered"
	}
	return "taken"
}

package rudderformer

import (
	"context"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderform"
	"comfreyrudder.example/shared/ruddertarget"
)

// send sends one order and notes what its answer says.
func (f *Planner) send(ctx context.Context, memory *rudderform.State, o rudderform.Order) {
	f.calls.acquire()
	defer f.calls.release()
	if ctx.Err() != nil {
		return // the lease was lost while the order waited
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	begin := f.Uptime()
	err := f.Control.Send(ctx, o.Target, o.Address, o.Order)
	outcome := orderOutcome(err)
	f.Logger.Info().Err(err).Str("target", o.Target).Str("order", string(o.Order.Kind)).Str("group", o.Order.Group).
		Int64("epoch", o.Order.Epoch).Str("model", o.Order.Model).Str("reason", o.Reason).Str("outcome", outcome).
		Dur("took_ms", f.Uptime()-begin).Msg("order sent")
	if f.OnOrder != nil {
		f.OnOrder(string(o.Order.Kind), outcome)
	}
	f.mu.Lock()
	switch outcome {
	case "taken":
		memory.MarkAccepted(o)
	case "refused", "stale", "other_target", "not_listening":
		memory.MarkInapplicable(o)
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

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

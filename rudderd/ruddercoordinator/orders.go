package ruddercoordinator

import (
	"context"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderplacement"
	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/shared/ruddertarget"
)

// send sends one order and records the outcome.
func (p *Planner) send(ctx context.Context, state *rudderplacement.State, o rudderplacement.Order) {
	p.calls.acquire()
	if ctx.Err() != nil {
		p.calls.release()
		return // the lease was lost while the order waited
	}
	if p.answers(o.Silent) {
		p.calls.release()
		p.Logger.Info().Str("target", o.Target).Str("order", string(o.Order.Kind)).Str("group", o.Order.Group).Int64("epoch", o.Order.Epoch).
			Str("reason", o.Reason).Str("member", o.Silent.Target).Msg("order not sent: the silent member answers again")
		p.mu.Lock()
		state.MarkDropped(o)
		p.mu.Unlock()
		p.wakeUp()
		return
	}
	begin := p.Uptime()
	err := p.call(ctx, o)
	p.calls.release()
	outcome := orderOutcome(err)
	if outcome == "not_listening" && !p.confirmEnded(ctx, o) {
		outcome = "unreachable" // the connection may have been refused on the way
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
	p.wakeUp()
}

// answers reports whether a member that was found dead has answered since.
func (p *Planner) answers(m rudderroster.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.results[m.Target]
	return v != nil && v.born == m.Born && !v.dead
}

// call sends one order and waits for the answer.
func (p *Planner) call(ctx context.Context, o rudderplacement.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return p.Control.Send(ctx, o.Target, o.Address, o.Order)
}

// confirmEnded reports whether a target that refused the connection for an order to leave has ended. Other orders take
// no effect on the state of the plan when they fail.
func (p *Planner) confirmEnded(ctx context.Context, o rudderplacement.Order) bool {
	if o.Order.Kind != ruddertarget.OrderLeave || p.Ended == nil {
		return false
	}
	snapshot := p.View.Snapshot()
	t := snapshot.Targets[o.Target]
	if t == nil {
		t = snapshot.Removed[o.Target]
	}
	return t != nil && t.Address == o.Address && p.Ended(ctx, t)
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

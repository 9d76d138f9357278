package ruddercoordinator

import (
	"context"

	"comfreyrudder.example/rudderd/rudderplacement"
	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderview"
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
	outcome, relay := ruddertarget.OrderOutcome(err), ""
	if outcome == ruddertarget.OutcomeNotListening && !p.confirmEnded(ctx, o) {
		outcome = ruddertarget.OutcomeUnreachable // the connection may have been refused on the way
	}
	if outcome == ruddertarget.OutcomeUnreachable {
		outcome, relay = p.relay(ctx, o)
	}
	p.Logger.Info().Err(err).Str("target", o.Target).Str("order", string(o.Order.Kind)).Str("group", o.Order.Group).
		Int64("epoch", o.Order.Epoch).Str("model", o.Order.Model).Str("reason", o.Reason).Str("outcome", outcome).Str("relay", relay).
		Dur("took_ms", p.Uptime()-begin).Msg("order sent")
	if p.OnOrder != nil {
		p.OnOrder(string(o.Order.Kind), outcome)
	}
	p.mu.Lock()
	switch outcome {
	case ruddertarget.OutcomeTaken:
		state.MarkAccepted(o)
	case ruddertarget.OutcomeRefused, ruddertarget.OutcomeStale, ruddertarget.OutcomeOtherTarget, ruddertarget.OutcomeNotListening:
		state.MarkInapplicable(o)
	}
	p.mu.Unlock()
	p.wakeUp()
}

// relay sends an order through another entry host, because this one does not reach the target. It returns the outcome and the name of
// the other entry host, "" if none reaches the target.
func (p *Planner) relay(ctx context.Context, o rudderplacement.Order) (outcome, host string) {
	t := p.target(o)
	if p.Relay == nil || t == nil || o.Order.Kind == ruddertarget.OrderStage || !p.mayReach(t) {
		return ruddertarget.OutcomeUnreachable, ""
	}
	unchanged := func() bool { return ctx.Err() == nil && !p.answers(o.Silent) }
	host, err := p.Relay(ctx, t, o.Order, unchanged)
	outcome = ruddertarget.OrderOutcome(err)
	if outcome == ruddertarget.OutcomeNotListening {
		outcome = ruddertarget.OutcomeUnreachable // found by one entry host
	}
	if host == "" {
		p.mu.Lock()
		p.unreached[t.Name] = p.Uptime()
		p.mu.Unlock()
	}
	return outcome, host
}

// mayReach reports whether another entry host may reach a target that does not accept the connections of this one: not if the last
// probe has failed, which the others have confirmed, or if none of them has reached it lately.
func (p *Planner) mayReach(t *rudderview.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, failed := p.unreached[t.Name]
	if v := p.results[t.Name]; v != nil && v.born == t.Born {
		if v.dead || v.silent {
			return false
		}
		failed = failed && v.answeredAt <= at
	}
	return !failed || p.Uptime()-at >= recheckInterval
}

// target returns the target that an order is for, or nil if its address belongs to another one by now.
func (p *Planner) target(o rudderplacement.Order) *rudderview.Target {
	if t := p.View.Snapshot().Known(o.Target); t != nil && t.Address == o.Address {
		return t
	}
	return nil
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
	t := p.target(o)
	return t != nil && p.Ended(ctx, t)
}

package rudderedge

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// relayedOrderPath is the path of the call with which a planner sends an order through another entry host.
	relayedOrderPath = "/relayed-order"
	// relayedOrderTimeout bounds the call, and orderTimeout the order within.
	relayedOrderTimeout = 800 * time.Millisecond
	orderTimeout        = 500 * time.Millisecond
)

// relayedOrder is an order for one incarnation of a target.
type relayedOrder struct {
	Target  string   `json:"target"`
	Born    int64    `json:"born"`
	Kind    string   `json:"kind"`
	Group   string   `json:"group,omitempty"`
	Epoch   int64    `json:"epoch,omitempty"`
	Model   string   `json:"model,omitempty"`
	Members []string `json:"members,omitempty"`
}

// relayedOutcome is the outcome of an order as in ruddertarget.OrderOutcome.
type relayedOutcome struct {
	Outcome string `json:"outcome"`
}

// relayOrder implements ruddercoordinator.Planner.Relay.
func (e *Edge) relayOrder(ctx context.Context, t *rudderview.Target, o ruddertarget.GroupOrder, maySend func() bool) (host string, err error) {
	x, found := e.detector.Reaching(ctx, t)
	if !found || !maySend() {
		return "", ruddertarget.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, relayedOrderTimeout)
	defer cancel()
	call := relayedOrder{Target: t.Name, Born: t.Born, Kind: string(o.Kind), Group: o.Group, Epoch: o.Epoch, Model: o.Model, Members: o.Members}
	var answer relayedOutcome
	switch err := e.callPeer(ctx, x, relayedOrderPath, call, &answer); {
	case errors.Is(err, errNotServed):
		return "", errors.Mark(err, ruddertarget.ErrUnreachable)
	case err != nil:
		return x.Name, errors.Mark(err, ruddertarget.ErrUnknownOutcome)
	}
	return x.Name, ruddertarget.OrderError(answer.Outcome)
}

// serveRelayedOrder sends an order to a target for a planner that does not reach it.
func (e *Edge) serveRelayedOrder(w http.ResponseWriter, r *http.Request) {
	var call relayedOrder
	if !readCall(w, r, &call) {
		return
	}
	err := ruddertarget.ErrUnreachable
	if t := e.view.Snapshot().Incarnation(call.Target, call.Born); t != nil {
		ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
		defer cancel()
		err = e.Ports.Control.Send(ctx, t.Name, t.Address, ruddertarget.GroupOrder{
			Kind: ruddertarget.GroupOrderKind(call.Kind), Group: call.Group, Epoch: call.Epoch, Model: call.Model, Members: call.Members,
		})
	}
	outcome := ruddertarget.OrderOutcome(err)
	e.Logger.Info().Err(err).Str("target", call.Target).Str("order", call.Kind).Str("group", call.Group).Int64("epoch", call.Epoch).
		Str("outcome", outcome).Msg("order of the planner relayed")
	writeAnswer(w, relayedOutcome{Outcome: outcome})
}

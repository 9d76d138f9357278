package ruddertarget

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of GroupControl in addition to those of Control. Callers test them with errors.Is.
var (
	// ErrUnknownOutcome reports an order that was sent but got no response: it may have taken effect or may still
	// take effect later.
	ErrUnknownOutcome = errors.New("target: order outcome unknown")
	// ErrOtherTarget reports that another target responded at the address. It did not accept the order.
	ErrOtherTarget = errors.New("target: address belongs to another target")
	// ErrNotListening reports that no process listens at the address. The order was not delivered.
	ErrNotListening = errors.New("target: nothing listens at the address")
)

// GroupPhase is the phase of a group as reported by one of its members.
type GroupPhase string

// Group phases.
const (
	GroupJoining GroupPhase = "joining" // loading weights
	GroupReady   GroupPhase = "ready"   // weights loaded; the leader can be opened
	GroupOpen    GroupPhase = "open"    // leader that accepts requests
	GroupClosing GroupPhase = "closing" // leader that finishes requests in flight
	GroupBroken  GroupPhase = "broken"  // leader that lost a member
)

// Membership is a target's place in a group as reported by the target. The zero value means "no group".
type Membership struct {
	Group string
	// Epoch increases each time the target receives a new member list.
	Epoch int64
	Rank  int
	Phase GroupPhase
}

// GroupReport is the state that a target reports.
type GroupReport struct {
	Membership Membership
	// Orders counts the orders that the target has started to execute since its process started.
	Orders           int64
	Running, Waiting int
	// TimeFactor compares the target's execution times with those of its kind; a value above 1 means slower. 0 if it is not known.
	TimeFactor float64
	// Born is the incarnation of the target that answered; 0 if it does not report it.
	Born int64
	// Kept is set if the report arrived on a connection that has carried other calls, so that it may be a copy of an earlier answer.
	Kept bool
}

// GroupOrderKind is the operation that a group order requests.
type GroupOrderKind string

// Kinds of group orders.
const (
	// OrderJoin makes the target a member of a group and loads the weights that it needs.
	OrderJoin GroupOrderKind = "join"
	// OrderOpen makes a ready leader accept requests.
	OrderOpen GroupOrderKind = "open"
	// OrderClose makes a leader finish its requests in flight and accept no new ones.
	OrderClose GroupOrderKind = "close"
	// OrderLeave ends a membership immediately.
	OrderLeave GroupOrderKind = "leave"
	// OrderStage fetches weights to the host without creating a membership.
	OrderStage GroupOrderKind = "stage"
)

// GroupOrder is an order that a planner sends to a target.
type GroupOrder struct {
	Kind  GroupOrderKind
	Group string
	Epoch int64
	Model string
	// Members lists the names of the group's targets in rank order; set only for OrderJoin.
	Members []string
}

// Outcomes of group orders, for logs, metrics and other entry hosts.
const (
	OutcomeTaken        = "taken"
	OutcomeRefused      = "refused"
	OutcomeStale        = "stale"
	OutcomeOtherTarget  = "other_target"
	OutcomeNotListening = "not_listening"
	OutcomeUnreachable  = "unreachable"
	// OutcomeUnanswered is that of an order which may have taken effect.
	OutcomeUnanswered = "unanswered"
)

var orderErrors = []struct {
	err     error
	outcome string
}{
	{ErrRefused, OutcomeRefused},
	{ErrStaleFencing, OutcomeStale},
	{ErrOtherTarget, OutcomeOtherTarget},
	{ErrNotListening, OutcomeNotListening},
	{ErrUnreachable, OutcomeUnreachable},
}

// OrderOutcome returns the outcome of an order that was sent with an error of GroupControl.Send.
func OrderOutcome(err error) string {
	if err == nil {
		return OutcomeTaken
	}
	for _, known := range orderErrors {
		if errors.Is(err, known.err) {
			return known.outcome
		}
	}
	return OutcomeUnanswered
}

// OrderError returns the error of GroupControl.Send for an outcome. An unknown one is ErrUnknownOutcome.
func OrderError(outcome string) error {
	if outcome == OutcomeTaken {
		return nil
	}
	for _, known := range orderErrors {
		if known.outcome == outcome {
			return known.err
		}
	}
	return ErrUnknownOutcome
}

// GroupControl controls targets that form groups in two steps, join and open. Targets reject orders with an old
// epoch, so a delayed order has no effect and orders need no expiry time.
type GroupControl struct {
	// Report returns ErrUnreachable if the target does not respond.
	Report func(ctx context.Context, address string) (GroupReport, error)
	// ReportAnew is Report on a new connection; nil if Report always opens one.
	ReportAnew func(ctx context.Context, address string) (GroupReport, error)
	// Send returns nil if the target accepted the order or is already in the requested state. Otherwise it
	// returns ErrRefused if the order does not fit the target's state, ErrStaleFencing if the order's epoch is too
	// low, ErrOtherTarget, ErrUnreachable if the order cannot have been delivered, or ErrUnknownOutcome.
	Send func(ctx context.Context, name, address string, order GroupOrder) error
}

// slowTimeFactor is the time factor from which on a target counts as slow.
const slowTimeFactor = 2

// Slow reports whether the target is much slower than others of its kind.
func (r GroupReport) Slow() bool { return r.TimeFactor >= slowTimeFactor }

package ruddertarget

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of a group order, beside those of the control port.
var (
	// ErrUnknownOutcome reports an order that was sent and got no answer: it may have been taken, or may be
	// carried out later.
	ErrUnknownOutcome = errors.New("target: order unanswered")
	// ErrOtherTarget reports that another target answers at the address. It took nothing.
	ErrOtherTarget = errors.New("target: address belongs to another target")
	// ErrNotListening reports that no process listens at the address. It took nothing.
	ErrNotListening = errors.New("target: nothing listens at the address")
)

// GroupPhase is a member's own word on its group.
type GroupPhase string

// Phases of a member.
const (
	GroupJoining GroupPhase = "joining" // loading weights
	GroupReady   GroupPhase = "ready"   // loaded; a leader may be opened
	GroupOpen    GroupPhase = "open"    // leader that takes requests
	GroupClosing GroupPhase = "closing" // leader that finishes its requests
	GroupBroken  GroupPhase = "broken"  // leader that lost a member
)

// Membership is a target's place in a group, by its own word. The zero value means "no group".
type Membership struct {
	Group string
	// Epoch rises with each new list of members of a target.
	Epoch int64
	Rank  int
	Phase GroupPhase
}

// GroupReport is a target's answer to the question for its state.
type GroupReport struct {
	Membership Membership
	// Orders is the number of orders that the target has begun since its start.
	Orders           int64
	Running, Waiting int
	// TimeFactor is above 1 on a target that is slower than its kind.
	TimeFactor float64
}

// GroupOrderKind says what a group order asks for.
type GroupOrderKind string

// Kinds of group orders.
const (
	// OrderJoin makes the target a member and loads what it needs.
	OrderJoin GroupOrderKind = "join"
	// OrderOpen makes a ready leader take requests.
	OrderOpen GroupOrderKind = "open"
	// OrderClose makes a leader finish its requests and take no more.
	OrderClose GroupOrderKind = "close"
	// OrderLeave ends a membership at once.
	OrderLeave GroupOrderKind = "leave"
	// OrderStage fetches weights onto the host without a membership.
	OrderStage GroupOrderKind = "stage"
)

// GroupOrder is one order of a planner to a target.
type GroupOrder struct {
	Kind  GroupOrderKind
	Group string
	Epoch int64
	Model string
	// Members are names of targets in rank order; set for OrderJoin.
	Members []string
}

// GroupControl is the port to targets that form groups in two steps, join and open. Epochs keep late
// orders from having an effect, so that no order needs an end time.
type GroupControl struct {
	// Report returns ErrUnreachable when the target does not answer.
	Report func(ctx context.Context, address string) (GroupReport, error)
	// Send returns nil when the order was taken or its state already holds, ErrRefused when it does not
	// fit the target's state, ErrStaleFencing when its epoch is too low, ErrOtherTarget, ErrUnreachable
	// when it cannot have arrived, and ErrUnanswered.
	Send func(ctx context.Context, name, address string, order GroupOrder) error
}

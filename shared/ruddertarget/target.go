// Package ruddertarget defines the interface to targets: model engines and plain services. It contains the wire
// types of the control protocol and the extension fields of work requests.
package ruddertarget

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Control. Callers test them with errors.Is.
var (
	// ErrUnreachable reports that the target did not respond, or not with a valid response.
	ErrUnreachable = errors.New("target: unreachable")
	// ErrRefused reports that the target refused an order and did not change its state.
	ErrRefused = errors.New("target: order refused")
	// ErrStaleFencing reports that the target checks fencing numbers and has seen a higher one than the order's.
	ErrStaleFencing = errors.New("target: stale fencing number")
	// ErrNotFound reports that the target does not know the request.
	ErrNotFound = errors.New("target: request not found")
)

// Phase is a target's progress in taking its role.
type Phase string

// Phases of a target.
const (
	PhaseIdle    Phase = "idle"    // no role
	PhaseLoading Phase = "loading" // fetching or loading weights
	PhaseReady   Phase = "ready"   // member of a group, can serve
)

// Role is a target's place in a group. The zero value means "no role".
type Role struct {
	Group        string   `json:"group"`
	Rank         int      `json:"rank"` // 0 is the leader, which takes requests
	Size         int      `json:"size"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"model_version"`
	Adapters     []string `json:"adapters,omitempty"`
	// Members are the addresses of the group's hosts in rank order.
	Members []string `json:"members,omitempty"`
}

// Load is the load that a target reports. It is out of date by the time it arrives; At is the time at which the
// target sampled it.
type Load struct {
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	Slots        int       `json:"slots"`
	CachedBlocks int       `json:"cached_blocks"`
	At           time.Time `json:"at"`
}

// Status is the response to GET /control/status.
type Status struct {
	Host string `json:"host"`
	// Incarnation changes whenever the process restarts.
	Incarnation string `json:"incarnation"`
	Phase       Phase  `json:"phase"`
	Role        Role   `json:"role"`
	// HighestFencing is the highest fencing number among the orders that the target has accepted.
	HighestFencing int64 `json:"highest_fencing"`
	// Weights lists the models, as "model@version", whose weights are stored on the host.
	Weights []string `json:"weights,omitempty"`
	// LoadFraction is the progress of loading weights, from 0 to 1.
	LoadFraction float64 `json:"load_fraction"`
	Load         Load    `json:"load"`
	Leaving      bool    `json:"leaving,omitempty"`
	// RequestsStarted counts the work requests started since the process started.
	RequestsStarted int64 `json:"runs"`
}

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of orders.
const (
	// OrderAssign gives the target a role and loads the weights that it needs.
	OrderAssign OrderKind = "assign"
	// OrderRelease removes the target's role.
	OrderRelease OrderKind = "release"
	// OrderPreload fetches weights without changing the role.
	OrderPreload OrderKind = "preload"
)

// Order is the body of POST /control/orders. Targets that do not check fencing numbers ignore Fencing,
// ExpectGroup and NotAfter.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Fencing int64     `json:"fencing"`
	PlanSeq int64     `json:"plan_seq"`
	// ExpectGroup is the group that the target must be in for the order to apply ("" for none).
	ExpectGroup string    `json:"expect_group"`
	NotAfter    time.Time `json:"not_after"`
	Role        Role      `json:"role"`
}

// RequestStatus is the response to GET /control/requests/{id} on a group's leader.
type RequestStatus struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	// Generated counts the tokens produced so far, whether or not they were delivered.
	Generated int  `json:"generated"`
	Queued    bool `json:"queued"`
	Done      bool `json:"done"`
}

// CacheEvent reports that a group's leader stored or evicted a prefix-cache block.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  uint64 `json:"block"` // xxhash64 of the prompt up to the block's end
	Stored bool   `json:"stored"`
}

// PrefixBlockBytes is the number of prompt bytes that one prefix-cache block covers.
const PrefixBlockBytes = 64

// Control is the control protocol of targets. Each call names the target by its address.
type Control struct {
	Status        func(ctx context.Context, address string) (Status, error)
	Send          func(ctx context.Context, address string, order Order) (Status, error)
	RequestStatus func(ctx context.Context, address, requestID string) (RequestStatus, error)
	Cancel        func(ctx context.Context, address, requestID string, attempt int) error
	CacheEvents   func(ctx context.Context, address string, after int64) ([]CacheEvent, error)
}

// WorkExtension holds the extension fields that a work request to a model engine has in addition to those of the
// OpenAI API.
type WorkExtension struct {
	RequestID string `json:"rudder_request_id"`
	Attempt   int    `json:"rudder_attempt"`
	// Group lets an engine refuse a request for a group of which it is not a member (HTTP 409, request not run).
	Group string `json:"rudder_group"`
	// ResumeAfter asks the engine to continue a response after this many tokens; ResumeText is the text delivered
	// so far.
	ResumeAfter int    `json:"rudder_resume_after,omitempty"`
	ResumeText  string `json:"rudder_resume_text,omitempty"`
	// Priority orders the engine's queue; requests with a lower number run first.
	Priority int `json:"priority"`
}

// ChunkExtension holds the extension fields of each streamed chunk of a model engine.
type ChunkExtension struct {
	RequestID string `json:"rudder_request_id"`
	Attempt   int    `json:"rudder_attempt"`
	// Seq numbers the tokens of a response from 1; a resumed stream continues the numbering.
	Seq int `json:"rudder_seq"`
}

// HeaderRequestLimit names, in a target's responses, the number of requests per second, a decimal number, that the target
// takes from all entry hosts together. It holds until a response does not have it.
const HeaderRequestLimit = "Rudder-Request-Limit"

// HeaderRequestID and HeaderAttempt name, in a target's response, the request and the attempt that it belongs to. A call to
// a plain service names its request in HeaderRequestID too; it has no attempts.
const (
	HeaderRequestID = "Rudder-Request-Id"
	HeaderAttempt   = "Rudder-Attempt"
)

// HeaderNotRun is set to "true" on an error response if the target did not start the request.
const HeaderNotRun = "Rudder-Not-Run"

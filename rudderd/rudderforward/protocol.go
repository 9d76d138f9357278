// Package rudderforward carries requests to targets and their answers back: routes, keys, attempts,
// resumed streams, outcomes. It decides what may be sent again and what a caller is told.
package rudderforward

import (
	"net/http"
	"time"
)

// Request is a caller's request after decoding.
type Request struct {
	// ID of the caller's attempt.
	ID string
	// Key of the workspace; empty without one.
	Key string
	// CallerTimeout is how long the caller waits; 0 when it does not say.
	CallerTimeout time.Duration
	// Model that the request asks for; empty for none.
	Model string
	// PromptTokens and AnswerTokens are the sizes that the caller tells; 0 when it does not say.
	PromptTokens, AnswerTokens int
	// LastEvent is the last event that the caller has of an earlier stream.
	LastEvent string
	// Header holds the fields that are forwarded.
	Header http.Header
}

// Attempt says what one send to a target carries beside the caller's own fields.
type Attempt struct {
	Target    string
	Remaining time.Duration
	Workspace string
	Urgency   int
	// LastEvent is the event after which a stream goes on; empty to begin at its start.
	LastEvent string
}

// Load is a target's word on its requests.
type Load struct {
	Running, Waiting, Slots int
}

// Reply is what the head of a target's answer says.
type Reply struct {
	// RequestID echoes the ID of the request; empty when the target does not say.
	RequestID string
	// Sealed is set on answers that the target vouches for.
	Sealed bool
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// Load is nil when the target does not say.
	Load *Load
	// FailedMember names the member that the leader blames, or is empty.
	FailedMember string
	// Leaving says that the target takes no new work.
	Leaving bool
	// Pause is how long the target wants nothing from this entry host; 0 for no such wish.
	Pause time.Duration
	// BadPause is the begin of a wish for a pause that cannot be read or followed, or is empty.
	BadPause string
}

// Protocol translates between callers, the forwarder and targets.
type Protocol struct {
	DecodeRequest func(r *http.Request) (Request, error)
	EncodeAttempt func(h http.Header, a Attempt)
	DecodeReply   func(r *http.Response) Reply
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter func(h http.Header, d time.Duration)
}

// Package rudderforward forwards requests to targets and returns their responses. It checks routes and keys,
// retries failed sends, resumes streams and records outcomes: it decides what may be sent again and which
// outcome a caller gets.
package rudderforward

import (
	"net/http"
	"time"
)

// Request is a caller's decoded request.
type Request struct {
	// ID identifies the caller's attempt.
	ID string
	// Key of the workspace; empty if the request has none.
	Key string
	// CallerTimeout is how long the caller waits; 0 if not given.
	CallerTimeout time.Duration
	// Model that the request names; empty for none.
	Model string
	// PromptTokens and AnswerTokens are the sizes given by the caller; 0 if not given.
	PromptTokens, AnswerTokens int
	// ExpectedTokens is the caller's estimate of the answer's length, which is often far off; 0 if not given.
	ExpectedTokens int
	// PromptParts holds the IDs of the parts of the prompt in order. Requests share parts; the last one belongs to
	// the request alone or to its session.
	PromptParts []string
	// LastEvent is the ID of the last event that the caller has received of an earlier stream.
	LastEvent string
	// Header holds the fields that are forwarded.
	Header http.Header
}

// Attempt holds the fields that one send adds to the caller's own header fields.
type Attempt struct {
	Target    string
	Remaining time.Duration
	Workspace string
	Urgency   int
	// LastEvent is the ID of the event after which a stream resumes; empty to start at its beginning.
	LastEvent string
}

// Load is the number of requests that a target reports.
type Load struct {
	Running, Waiting, Slots int
}

// Reply holds the decoded headers of a target's response.
type Reply struct {
	// RequestID echoes the ID of the request; empty if the target does not send it.
	RequestID string
	// Sealed is set if the response has the seal header, by which the target confirms that the response is
	// its own and valid.
	Sealed bool
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// Load is nil if the target does not report it.
	Load *Load
	// FailedMember is the member that the leader holds responsible for a failure, or empty.
	FailedMember string
	// Leaving is set if the target takes no new work.
	Leaving bool
	// Pause is how long the target requests that this entry host send nothing; 0 for no pause.
	Pause time.Duration
	// InvalidPause is the beginning of a pause value that is malformed or out of range, or empty.
	InvalidPause string
	// RequestLimit is the number of requests per second that the target takes from all entry hosts together; nil if it
	// names none, or an invalid one.
	RequestLimit *float64
	// Cold is how long the target stays cold; 0 if it does not say.
	Cold time.Duration
	// InvalidLimit is the beginning of a malformed limit, or empty.
	InvalidLimit string
}

// Protocol translates between HTTP and the types of this package.
type Protocol struct {
	DecodeRequest func(r *http.Request) (Request, error)
	EncodeAttempt func(h http.Header, a Attempt)
	// SetRemaining replaces the time that is left in the header of an attempt.
	SetRemaining func(h http.Header, d time.Duration)
	DecodeReply  func(r *http.Response) Reply
	// SetRetryAfter sets the time after which the caller should retry.
	SetRetryAfter func(h http.Header, d time.Duration)
}

package rudderstream

import (
	"encoding/json"
	"time"

	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/shared/rudderconfig"
)

// Request is one model request as parsed by the caller API.
type Request struct {
	ID        string
	Workspace string
	Firm      string
	Model     string
	// Body is the caller's JSON object, forwarded to the engine.
	Body map[string]json.RawMessage
	// Prompt is the text whose prefixes are cached by engines.
	Prompt       string
	PromptTokens int
	// EstimatedTokens, of the answer, and Class are estimated before the request runs.
	EstimatedTokens int
	// MaxTokens is the greatest number of tokens of the answer.
	MaxTokens   int
	Class       rudderconfig.WorkClass
	Fingerprint uint64
	// Parts are the parts of the prompt that other requests may share.
	Parts   []rudderpoison.Part
	Arrived time.Time
	// Attempt is set by the runner, counted from 1.
	Attempt int
	// Sent is set by the runner once a byte of the request may have reached a target.
	Sent bool
	// Deaths is set by the runner: how many groups have died while they ran the request.
	Deaths int
	// Colocate is set by the runner when the answer would be cut unless it goes on beside other suspected requests.
	Colocate bool
}

// Slot is a permission to run one request on a group.
type Slot struct {
	Group   string
	Domain  string
	Address string // of the group's leader
	// Wait is how long the request waited for the slot.
	Wait time.Duration
	// Release returns the slot and must be called once.
	Release func(Usage)
}

// Usage describes how a slot was used.
type Usage struct {
	Tokens    int
	Duration  time.Duration
	Completed bool
	// Failed means that the request ended early through a fault of the group.
	Failed bool
}

// Timing of a request, for reports.
type Timing struct {
	Wait       time.Duration // waiting for a slot, summed over all attempts
	FirstToken time.Duration // from arrival to the first token; 0 without one
	MeanGap    time.Duration // mean time between tokens; 0 with fewer than two
	MaxGap     time.Duration
	Tokens     int
	Attempts   int
	Group      string // group of the last attempt; empty if none was sent
}

// Refusal is an error with the details that are sent to the caller.
type Refusal struct {
	Code       string
	Message    string
	RetryAfter time.Duration
	// NoGroup means that no group outside the excluded ones serves the request.
	NoGroup bool
}

// Error returns the message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Codes of failures that the runner reports.
const (
	CodeNotReady       = "entry_not_ready"
	CodePoison         = "poison_request"
	CodeNoCapacity     = "no_capacity"
	CodeNoGroup        = "no_group"
	CodeEvacuated      = "evacuated" // all groups that serve the request are in evacuated data centres
	CodeBadRequest     = "invalid_request"
	CodeTargetFailed   = "target_failed"
	CodeAbandoned      = "caller_gone"
	CodeRetryExhausted = "retries_exhausted"
	CodeMemoryFull     = "memory_full"
)

// Priorities of engine requests; a lower number runs first.
const (
	priorityShort = 0
	priorityLong  = 10
)

func priority(q Request) int {
	if q.Class == rudderconfig.ClassLong {
		return priorityLong
	}
	return priorityShort
}

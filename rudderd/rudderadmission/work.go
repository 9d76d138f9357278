package rudderadmission

import (
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// Work describes a request for a slot.
type Work struct {
	RequestID string
	// Holder is the name of the entry host that will hold the slot.
	Holder    string
	Workspace string
	// Weight of the workspace in fair queueing; 0 means 1.
	Weight int
	Preset rudderconfig.Preset
	Class  rudderconfig.WorkClass
	// Tokens is the estimated work, see Estimator.
	Tokens int
	// Priority orders the queue strictly; a lower number runs first.
	Priority int
	// Deadline ends the wait in the queue; zero means the policy's deadline.
	Deadline time.Time
	// Avoid lists the IDs of groups that must not run the work.
	Avoid []string
	// PrefixShares maps the IDs of groups that hold a prefix of the prompt to the share of the prompt they hold.
	PrefixShares map[string]float64
}

func (w Work) weight() int { return max(1, w.Weight) }

func (w Work) cost() int { return max(1, w.Tokens) }

func (w Work) avoids(group string) bool {
	for _, id := range w.Avoid {
		if id == group {
			return true
		}
	}
	return false
}

// Group describes a group of the shard.
type Group struct {
	ID     string
	Leader string
	Slots  int
	// ShortShare overrides Policy.ShortShare unless it is nil.
	ShortShare *float64
	// Draining groups keep their held slots and take no new work.
	Draining bool
}

// DecisionKind is the outcome of a request for a slot.
type DecisionKind int

// Kinds of decisions.
const (
	Queued  DecisionKind = iota // in the queue; a later decision follows
	Granted                     // holds a slot of Decision.Group
	Refused                     // not run; may be retried after RetryAfter
	Expired                     // not run; the deadline passed in the queue
	NoGroup                     // not run; no group serves the work
)

// Decision is the decision on one request. Every kind but Queued is final.
type Decision struct {
	RequestID  string
	Kind       DecisionKind
	Group      string
	Leader     string
	RetryAfter time.Duration
	Reason     string
}

// HeldSlot is a held slot as its holder reports it.
type HeldSlot struct {
	Work  Work
	Group string
	Since time.Time
}

// Outcome describes the run for which a released slot was held.
type Outcome struct {
	// Tokens is the work done, in the unit of Work.Tokens; 0 if unknown.
	Tokens int
	// Failed is set when the duration of the run is no measure of the group's speed.
	Failed bool
}

type slot struct {
	work  Work
	group *groupState
	since time.Time
}

package rudderadmission

import (
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// Work is one request for a slot, as the entry host describes it.
type Work struct {
	RequestID string
	// Holder is the entry host that will hold the slot.
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
	// Deadline ends the wait in the queue; zero takes the policy's.
	Deadline time.Time
	// Avoid names groups that must not run the work.
	Avoid []string
	// Prefer names groups that hold a prefix of the prompt, with the share of the prompt held.
	Prefer map[string]float64
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
	// ShortShare overrides the policy's share; nil takes the policy's.
	ShortShare *float64
	// Draining groups keep their held slots and take no new work.
	Draining bool
}

// Kind says what became of a request.
type Kind int

// Kinds of decisions.
const (
	Queued  Kind = iota // waits; a later decision follows
	Granted             // holds a slot of Decision.Group
	Refused             // not run; try again after RetryAfter
	Expired             // not run; the deadline passed in the queue
	NoGroup             // not run; no group serves the work
)

// Decision is the answer for one request. Every kind but Queued is final.
type Decision struct {
	RequestID  string
	Kind       Kind
	Group      string
	Leader     string
	RetryAfter time.Duration
	Reason     string
}

// Held is a slot as its holder reports it.
type Held struct {
	Work  Work
	Group string
	Since time.Time
}

// Outcome is what a holder reports when it releases a slot.
type Outcome struct {
	// Tokens is the work done, in the unit of Work.Tokens; 0 if unknown.
	Tokens int
	// Failed marks a run whose duration says nothing about the group's speed.
	Failed bool
}

type slot struct {
	work  Work
	group *groupState
	since time.Time
}

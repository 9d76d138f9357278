// Package rudderoracle is a test oracle. It checks the promises of the system against what callers were told,
// what targets ran and what the platform stored, without knowledge of how the system works inside.
package rudderoracle

import (
	"fmt"
	"sync"
	"time"

	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/ruddergroup"
)

// Promise is the name of one of the eight promises.
type Promise string

// The promises, as docs/design.md lists them.
const (
	WholeGroup       Promise = "whole_group"
	SingleMembership Promise = "single_membership"
	OwnAnswer        Promise = "own_answer"
	NotRun           Promise = "not_run"
	AtMostOnce       Promise = "at_most_once"
	Leaving          Promise = "leaving"
	PlannedStop      Promise = "planned_stop"
	Config           Promise = "config"
)

// Promises returns all promises in the order of docs/design.md.
func Promises() []Promise {
	return []Promise{WholeGroup, SingleMembership, OwnAnswer, NotRun, AtMostOnce, Leaving, PlannedStop, Config}
}

// Outcomes of a request as its caller sees them.
const (
	OutcomeComplete   = "complete"
	OutcomeNotRun     = "not_run"
	OutcomeMayHaveRun = "may_have_run"
	// OutcomeUnknown is the outcome of a request whose connection was lost before any outcome arrived.
	OutcomeUnknown = ""
)

// Answer is what a caller saw of one request.
type Answer struct {
	RequestID string
	// Entry is the name of the entry host that served it.
	Entry     string
	Workspace string
	Outcome   string
	SentAt    time.Time
	EndedAt   time.Time
	Status    int
	Code      string

	// Prompt, MaxTokens and Text are set for model requests; Text is the text that arrived.
	Prompt    string
	MaxTokens int
	Text      string

	// Service is set for calls of plain services.
	Service    string
	Key        string // idempotency key, if any
	Idempotent bool   // declared so by the configuration
}

// Stop is a planned stop of a target host or an entry host.
type Stop struct {
	// Host and Address are the name and address of a target, or else Entry is the name of an entry host.
	Host    string
	Address string
	Entry   string
	From    time.Time
	To      time.Time // zero while the stop lasts
}

// ServedVersion is a configuration version for which an entry host held a permit at a time.
type ServedVersion struct {
	Entry   string
	Version int64
	At      time.Time // before the entry host was asked
}

// AcceptedVersion is a version that was reported to an operator as in force.
type AcceptedVersion struct {
	Version int64
	At      time.Time // when the operator was told
}

// Violation is a violation of a promise.
type Violation struct {
	Promise Promise `json:"promise"`
	Detail  string  `json:"detail"`
}

// Evidence is the input of Check.
type Evidence struct {
	Answers  []Answer
	Runs     []rudderengine.Run
	Calls    []rudderbackend.Call
	Plans    []ruddergroup.Plan
	Leaving  []Stop // when a target was told to leave
	Stops    []Stop
	Served   []ServedVersion
	Accepted []AcceptedVersion
}

// LeavingGrace is the "few seconds" after which a leaving target receives no new work.
const LeavingGrace = 5 * time.Second

// Recorder collects evidence. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	evidence Evidence
}

// Answer records what a caller saw.
func (r *Recorder) Answer(a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Answers = append(r.evidence.Answers, a)
}

// Plan records a plan that the platform held.
func (r *Recorder) Plan(p ruddergroup.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Plans = append(r.evidence.Plans, p)
}

// Leaving records that a target was told to leave.
func (r *Recorder) Leaving(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Leaving = append(r.evidence.Leaving, s)
}

// Stop records a planned stop.
func (r *Recorder) Stop(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Stops = append(r.evidence.Stops, s)
}

// Served records a configuration version with which an entry host may serve.
func (r *Recorder) Served(v ServedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Served = append(r.evidence.Served, v)
}

// Accepted records a change that was reported as in force.
func (r *Recorder) Accepted(v AcceptedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Accepted = append(r.evidence.Accepted, v)
}

// Change records the result of an operator's change if the change is in force.
func (r *Recorder) Change(result rudderadmin.ChangeResult, err error) {
	if err == nil && result.State == rudderadmin.StateAccepted {
		r.Accepted(AcceptedVersion{Version: result.Version, At: time.Now()})
	}
}

// Evidence returns what was recorded, together with the ledgers of the targets.
func (r *Recorder) Evidence(runs []rudderengine.Run, calls []rudderbackend.Call) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	evidence := r.evidence
	evidence.Runs, evidence.Calls = runs, calls
	return evidence
}

// Check returns all violations.
func Check(e Evidence) []Violation {
	var found []Violation
	report := func(p Promise, format string, arguments ...any) {
		found = append(found, Violation{Promise: p, Detail: fmt.Sprintf(format, arguments...)})
	}
	checkWholeGroup(e, report)
	checkSingleMembership(e, report)
	checkOwnAnswer(e, report)
	checkNotRun(e, report)
	checkAtMostOnce(e, report)
	checkLeaving(e, report)
	checkPlannedStop(e, report)
	checkConfig(e, report)
	return found
}

// reporter adds a violation.
type reporter func(p Promise, format string, arguments ...any)

package rudderapp

import (
	"net/http"
	"time"

	"comfreyrudder.example/rudderd/rudderburn"
	"comfreyrudder.example/rudderd/rudderentry"
	"comfreyrudder.example/rudderd/rudderhttp"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/shared/rudderconfig"
)

// limitShareHosts is the number of even shares of a workspace's limits that each entry host grants, up to the whole
// limit, because a workspace's callers do not spread evenly over the entry hosts.
const limitShareHosts = 3

const codeOverloaded = "entry_overloaded"

func (a *App) wireCallers() {
	a.callers = &rudderhttp.API{
		Name: a.self.Name, Clock: a.Clock, Logger: a.Logger, Config: a.config.Current,
		MaxBodyBytes: a.Settings.MaxBodyBytes, Bodies: a.memory.Bodies, Responses: a.memory.Responses, LimitShare: a.limitShare, Refuse: a.refuse,
		Estimate: a.history.estimate, Start: a.startChat, Answers: a.answers,
		ReadRemote: a.requests.ReadRemote, Call: a.callService, Entries: a.entries,
		Leaving: a.stopping.begun, Accepting: a.stopping.accepting, Serving: a.stopping.serving, BetterEntry: a.betterEntry,
		OnRefused: func(w rudderconfig.Workspace, r *rudderhttp.Refusal) {
			a.countResult(rudderburn.RequestResult{Firm: w.Firm, Workspace: w.Name, Outcome: string(r.Outcome)})
		},
	}
}

func (a *App) limitShare() float64 {
	live := len(a.node.Live())
	return min(1, limitShareHosts/float64(max(1, live)))
}

// refuse returns the reason why this entry host accepts no new requests now, or nil.
func (a *App) refuse() *rudderhttp.Refusal {
	if !a.stopping.takesNewWork() {
		return a.notReady(rudderstream.CodeNotReady, messageStopping)
	}
	if err := a.config.Permit(a.Clock.Now()); err != nil {
		return a.notReady(rudderstream.CodeNotReady, err.Error())
	}
	if a.callers.InFlight() >= a.Settings.MaxInFlight {
		return a.notReady(codeOverloaded, "this entry host has too many requests in flight")
	}
	return nil
}

// notReady returns a refusal that names a better entry host, so that the caller need not ask for one.
func (a *App) notReady(code, message string) *rudderhttp.Refusal {
	better := a.betterEntry()
	next := "send the request to the address in better_entry, or ask GET /v1/entries at another address"
	if better == "" {
		next = "ask GET /v1/entries at another address and send the request there"
	}
	return &rudderhttp.Refusal{
		Status: http.StatusServiceUnavailable, Code: code, Message: message, NextStep: next,
		Outcome: rudderstream.OutcomeNotRun, RetryAfter: time.Second, BetterEntry: better,
	}
}

func (a *App) entries(key, dataCentre string) ([]rudderhttp.Entry, time.Duration) {
	return a.ranked(key, dataCentre), rudderentry.Lifetime(a.Settings.EntryLifetime, a.entryHosts())
}

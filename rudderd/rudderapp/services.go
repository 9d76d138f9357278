package rudderapp

import (
	"context"
	"net/http"
	"path"

	"comfreyrudder.example/rudderd/rudderburn"
	"comfreyrudder.example/rudderd/rudderclaim"
	"comfreyrudder.example/rudderd/rudderhttp"
	"comfreyrudder.example/rudderd/rudderservice"
	"comfreyrudder.example/rudderd/rudderstream"
)

// wireServices creates the claims on idempotency keys and the dispatcher of plain services.
func (a *App) wireServices() {
	limits := rudderclaim.DefaultLimits()
	limits.Retention = a.Settings.ClaimRetention
	a.claims = &rudderclaim.Claims{
		Store: *a.store, Members: a.node.Live, Self: a.self.Name, HTTPClient: a.peers,
		Clock: a.Clock, Logger: a.Logger, Limits: limits,
	}
	a.services = &rudderservice.Dispatcher{
		AcquireTarget: a.acquireService, IsIdempotent: a.declaredIdempotent,
		Claim: a.claims.Claim, Settle: a.claims.Settle, Release: a.claims.Release,
		CheckPermit: func() error { return a.config.Permit(a.Clock.Now()) },
		Probe:       a.control.Status, TakeRetry: a.owner.TakeRetry, Transport: a.TargetTransport, Dial: a.dialTarget, Wrap: a.throughPath, OnResponse: a.observeResponse, Responses: a.memory.Responses,
		Clock: a.Clock, Logger: a.Logger, Timeout: a.Settings.CallTimeout, MaxBodyBytes: a.Settings.MaxBodyBytes,
	}
}

// declaredIdempotent reports whether the configuration declares a call idempotent.
func (a *App) declaredIdempotent(service, method, callPath string) bool {
	document := a.config.Current()
	if document == nil {
		return false
	}
	declared, _ := document.Service(service)
	for _, rule := range declared.Idempotent {
		if matched, err := path.Match(rule.Path, callPath); rule.Method == method && err == nil && matched {
			return true
		}
	}
	return false
}

// callService executes a call of a plain service for the caller API.
func (a *App) callService(ctx context.Context, call rudderhttp.ServiceCall) rudderhttp.ServiceResponse {
	request := rudderservice.Call{
		RequestID: call.RequestID, Workspace: call.Workspace.Name, Service: call.Service.Name,
		Method: call.Method, Path: call.Path, RawQuery: call.Query, Header: call.Header, Body: call.Body, Memory: call.Memory,
		RequireKey: call.Workspace.RequireIdempotencyKey,
	}
	if refusal := a.refuseCall(&request); refusal != nil {
		a.countResult(rudderburn.RequestResult{Firm: call.Workspace.Firm, Workspace: call.Workspace.Name, Outcome: string(refusal.Outcome)})
		return rudderhttp.ServiceResponse{Outcome: refusal.Outcome, Refusal: refusal}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(a.work, func() { cancel(context.Cause(a.work)) })()
	begin := a.Clock.Now()
	result := a.services.Do(ctx, request)
	if result.Outcome == rudderservice.OutcomeComplete && !result.Replayed {
		a.stopping.observe(a.Clock.Now(), paceOfService(call.Service.Name), a.Clock.Since(begin), 0)
	}
	a.Logger.Info().Str("request_id", call.RequestID).Str("workspace", call.Workspace.Name).
		Str("service", call.Service.Name).Str("method", call.Method).Str("target", result.Target).
		Str("outcome", string(result.Outcome)).Str("code", string(result.Code)).Msg("service call ended")
	a.countResult(rudderburn.RequestResult{
		Firm: call.Workspace.Firm, Workspace: call.Workspace.Name, Outcome: string(result.Outcome),
	})
	answer := rudderhttp.ServiceResponse{
		Outcome: rudderstream.Outcome(result.Outcome), Status: result.Status, Header: result.Header,
		Body: result.Body, Replayed: result.Replayed,
	}
	if result.Outcome != rudderservice.OutcomeComplete {
		answer.Refusal = serviceRefusal(result)
		if result.Code == rudderservice.CodeNoPermit {
			answer.Refusal.BetterEntry = a.betterEntry()
		}
	}
	return answer
}

// nextSteps are the next steps for refusals that would recur if the call were sent again unchanged.
var nextSteps = []struct {
	code rudderservice.Code
	text string
}{
	{rudderservice.CodeBadKey, "correct Idempotency-Key or Idempotency-Key-Time and send the call again"},
	{rudderservice.CodeKeyRequired, "add an Idempotency-Key and send the call again"},
	{rudderservice.CodeKeyConflict, "the call did not run; use a new key for another call"},
	{rudderservice.CodeKeyExpired, "the call did not run now; find out whether it ran when the key was new before using a new key"},
	{rudderservice.CodeBadRequest, "correct the call"},
	{rudderservice.CodeBodyTooLarge, "send a smaller body"},
	{rudderservice.CodeClaimsFull, "the call did not run; use a UUIDv7 key or add Idempotency-Key-Time"},
}

func serviceRefusal(result rudderservice.Result) *rudderhttp.Refusal {
	refusal := &rudderhttp.Refusal{
		Status: result.Status, Code: string(result.Code), Message: result.Reason,
		Outcome: rudderstream.Outcome(result.Outcome), NextStep: "the call did not run; send it again",
	}
	for _, n := range nextSteps {
		if n.code == result.Code {
			refusal.NextStep = n.text
		}
	}
	if result.Outcome == rudderservice.OutcomeMayHaveRun {
		refusal.NextStep = "find out whether the call ran before sending it with a new key"
		refusal.NoRetry = true
	} else if result.Status == http.StatusServiceUnavailable || result.Status == http.StatusTooManyRequests {
		refusal.RetryAfter = probeTimeout
	}
	return refusal
}

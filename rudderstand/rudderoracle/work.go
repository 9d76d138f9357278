package rudderoracle

import (
	"slices"

	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/shared/ruddertarget"
)

// checkWholeGroup reports work that a group ran without one of its members.
func checkWholeGroup(e Evidence, report reporter) {
	for _, r := range e.Runs {
		if r.Ran() && len(r.Members) < r.Size {
			report(WholeGroup, "request %s attempt %d ran on group %s with %d of %d members", r.RequestID, r.Attempt, r.Group, len(r.Members), r.Size)
		}
	}
}

// checkSingleMembership reports a host that is in two groups of a plan, and work of two groups that ran on one
// host at the same time. It does not check that a group stays
// within one fabric domain.
func checkSingleMembership(e Evidence, report reporter) {
	for _, p := range e.Plans {
		groupOf := make(map[string]string)
		for _, g := range p.Groups {
			for _, m := range g.Members {
				if other, taken := groupOf[m.Host]; taken {
					report(SingleMembership, "plan %s/%d: host %s is in groups %s and %s", p.Domain, p.Seq, m.Host, other, g.ID)
				}
				groupOf[m.Host] = g.ID
			}
		}
	}
	runsAt := make(map[string][]rudderengine.Run)
	for _, r := range e.Runs {
		if !r.Ran() || r.End.IsZero() {
			continue
		}
		for _, member := range r.Members {
			for _, other := range runsAt[member] {
				if other.Group != r.Group && r.Start.Before(other.End) && other.Start.Before(r.End) {
					report(SingleMembership, "host %s ran groups %s and %s at the same time", member, other.Group, r.Group)
				}
			}
			runsAt[member] = append(runsAt[member], r)
		}
	}
}

// PromptOf returns the prompt that an engine makes of one user message.
func PromptOf(content string) string {
	return ruddertarget.PromptText([]ruddertarget.Message{{Role: "user", Content: ruddertarget.Content(content)}})
}

// checkOwnAnswer reports complete answers that are not the expected ones.
func checkOwnAnswer(e Evidence, report reporter) {
	for _, a := range e.Answers {
		if a.Outcome != OutcomeComplete {
			continue
		}
		if a.Service != "" {
			if !slices.ContainsFunc(e.Calls, func(c rudderbackend.Call) bool { return belongs(c, a) }) {
				report(OwnAnswer, "call %s is complete, but no service ran it", a.RequestID)
			}
			continue
		}
		if want := rudderengine.ExpectedText(PromptOf(a.Prompt), a.MaxTokens); a.Text != want {
			report(OwnAnswer, "request %s got %d bytes of text, wanted %d, or other text", a.RequestID, len(a.Text), len(want))
		}
	}
}

// belongs reports whether a call that took effect is the caller's: by request ID, or by idempotency key if the
// response was stored by an earlier attempt.
func belongs(c rudderbackend.Call, a Answer) bool {
	return c.RequestID == a.RequestID || a.Key != "" && c.IdempotencyKey == a.Key && c.Service == a.Service
}

// checkNotRun reports work that ran although its caller was told that it did not.
func checkNotRun(e Evidence, report reporter) {
	ran := make(map[string]bool)
	for _, r := range e.Runs {
		if r.Ran() {
			ran[r.RequestID] = true
		}
	}
	for _, c := range e.Calls {
		ran[c.RequestID] = true
	}
	for _, a := range e.Answers {
		if a.Outcome == OutcomeNotRun && ran[a.RequestID] {
			report(NotRun, "request %s was told not_run (%s) and ran", a.RequestID, a.Code)
		}
	}
}

// checkAtMostOnce reports idempotency keys that ran more than once, and requests that did although they are not
// declared idempotent.
func checkAtMostOnce(e Evidence, report reporter) {
	repeatable := make(map[string]bool)
	for _, a := range e.Answers {
		if a.Idempotent {
			repeatable[a.RequestID] = true
		}
	}
	type call struct{ service, key string }
	byKey, byRequest := make(map[call]int), make(map[string]int)
	for _, c := range e.Calls {
		if c.IdempotencyKey != "" {
			byKey[call{c.Service, c.IdempotencyKey}]++
		}
		if !repeatable[c.RequestID] {
			byRequest[c.RequestID]++
		}
	}
	for k, n := range byKey {
		if n > 1 {
			report(AtMostOnce, "key %s of service %s ran %d times", k.key, k.service, n)
		}
	}
	for id, n := range byRequest {
		if n > 1 {
			report(AtMostOnce, "call %s ran %d times", id, n)
		}
	}
}

package rudderoracle

import (
	"slices"
	"time"

	"comfreyrudder.example/rudderstand/rudderengine"
)

// checkLeaving reports work that began on a leaving target after LeavingGrace.
func checkLeaving(e Evidence, report reporter) {
	for _, s := range e.Leaving {
		limit := s.From.Add(LeavingGrace)
		for _, r := range e.Runs {
			during := s.To.IsZero() || r.Start.Before(s.To)
			if r.Ran() && r.Start.After(limit) && during && slices.Contains(r.Members, s.Address) {
				report(Leaving, "request %s began on %s %s after it was told to leave", r.RequestID, s.Host, r.Start.Sub(s.From))
			}
		}
		for _, c := range e.Calls {
			if s.Host != "" && c.Host == s.Host && c.At.After(limit) && (s.To.IsZero() || c.At.Before(s.To)) {
				report(Leaving, "call %s ran on %s %s after it was told to leave", c.RequestID, s.Host, c.At.Sub(s.From))
			}
		}
	}
}

// checkPlannedStop reports requests that a planned stop interrupted. A request that was refused as not run was
// not in flight.
func checkPlannedStop(e Evidence, report reporter) {
	for _, s := range e.Stops {
		if s.Entry != "" {
			checkEntryStop(e, s, report)
			continue
		}
		for _, r := range e.Runs {
			if r.Ran() && slices.Contains(r.Members, s.Address) && interruptedWithin(r, s) {
				report(PlannedStop, "attempt %d of request %s ended as %s during the planned stop of %s", r.Attempt, r.RequestID, r.Outcome, s.Host)
			}
		}
	}
}

func checkEntryStop(e Evidence, s Stop, report reporter) {
	for _, a := range e.Answers {
		inFlight := a.Entry == s.Entry && within(a.EndedAt, s)
		if inFlight && a.Outcome != OutcomeComplete && a.Outcome != OutcomeNotRun {
			report(PlannedStop, "request %s ended as %q (%s) during the planned stop of entry host %s", a.RequestID, a.Outcome, a.Code, s.Entry)
		}
	}
}

func interruptedWithin(r rudderengine.Run, s Stop) bool {
	interrupted := r.Outcome == rudderengine.OutcomeFailed || r.Outcome == rudderengine.OutcomeCancelled
	return interrupted && within(r.End, s)
}

func within(t time.Time, s Stop) bool {
	return !t.IsZero() && !t.Before(s.From) && (s.To.IsZero() || !t.After(s.To))
}

// checkConfig reports entry hosts that may serve with an older version after a newer one was reported as in
// force, and entry hosts whose version goes back.
func checkConfig(e Evidence, report reporter) {
	for _, accepted := range e.Accepted {
		for _, s := range e.Served {
			if s.Version < accepted.Version && s.At.After(accepted.At) {
				report(Config, "entry host %s served version %d %s after version %d was accepted", s.Entry, s.Version, s.At.Sub(accepted.At), accepted.Version)
			}
		}
	}
	newest := make(map[string]int64)
	for _, s := range e.Served {
		if s.Version < newest[s.Entry] {
			report(Config, "entry host %s went back from version %d to %d", s.Entry, newest[s.Entry], s.Version)
		}
		newest[s.Entry] = max(newest[s.Entry], s.Version)
	}
}

package rudderoracle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/shared/ruddergroup"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// sound returns evidence of a system that keeps all promises.
func sound() Evidence {
	run := rudderengine.Run{
		RequestID: "r1", Attempt: 1, Group: "g1", Size: 2, Members: []string{"a:1", "b:1"},
		Start: at(1), End: at(3), Outcome: rudderengine.OutcomeComplete,
	}
	group := func(id string, hosts ...string) ruddergroup.Group {
		g := ruddergroup.Group{ID: id}
		for _, h := range hosts {
			g.Members = append(g.Members, ruddergroup.Member{Host: h})
		}
		return g
	}
	return Evidence{
		Answers: []Answer{
			{RequestID: "r1", Entry: "e1", Outcome: OutcomeComplete, Prompt: "p", MaxTokens: 5, Text: rudderengine.ExpectedText(PromptOf("p"), 5), EndedAt: at(3)},
			{RequestID: "s1", Service: "ledger", Key: "k1", Outcome: OutcomeComplete},
			{RequestID: "s2", Service: "ledger", Key: "k1", Outcome: OutcomeComplete},
			{RequestID: "s3", Service: "ledger", Outcome: OutcomeNotRun},
		},
		Runs:     []rudderengine.Run{run},
		Calls:    []rudderbackend.Call{{RequestID: "s1", Service: "ledger", IdempotencyKey: "k1", Host: "svc", At: at(1)}},
		Plans:    []ruddergroup.Plan{{Domain: "d1", Seq: 1, Groups: []ruddergroup.Group{group("g1", "a", "b"), group("g2", "c")}}},
		Leaving:  []Stop{{Host: "a", Address: "a:1", From: at(0)}},
		Stops:    []Stop{{Host: "a", Address: "a:1", From: at(0), To: at(10)}, {Entry: "e1", From: at(0), To: at(10)}},
		Served:   []ServedVersion{{"e1", 1, at(1)}, {"e1", 2, at(2)}, {"e2", 1, at(2)}, {"e2", 2, at(5)}},
		Accepted: []AcceptedVersion{{Version: 2, At: at(3)}},
	}
}

// Guards against an oracle that reports violations of a correct system.
func TestSoundEvidencePasses(t *testing.T) {
	require.Empty(t, Check(sound()))
}

// Guards against an oracle that misses violations: each injected fault must be reported, as a violation of its
// own promise.
func TestPlantedFaultsAreFound(t *testing.T) {
	tests := []struct {
		name    string
		promise Promise
		plant   func(e *Evidence)
	}{
		{"member missing", WholeGroup, func(e *Evidence) { e.Runs[0].Members = []string{"a:1"} }},
		{"host twice in a plan", SingleMembership, func(e *Evidence) {
			e.Plans[0].Groups[1].Members = append(e.Plans[0].Groups[1].Members, ruddergroup.Member{Host: "a"})
		}},
		{"host runs two groups", SingleMembership, func(e *Evidence) {
			other := e.Runs[0]
			other.RequestID, other.Group, other.Start = "r9", "g9", at(2)
			e.Runs = append(e.Runs, other)
		}},
		{"text cut", OwnAnswer, func(e *Evidence) { e.Answers[0].Text = e.Answers[0].Text[:3] }},
		{"service did not run", OwnAnswer, func(e *Evidence) { e.Answers[1].Key, e.Answers[1].RequestID = "k2", "s9" }},
		{"model request ran", NotRun, func(e *Evidence) { e.Answers[0].Outcome = OutcomeNotRun }},
		{"call ran", NotRun, func(e *Evidence) {
			e.Calls = append(e.Calls, rudderbackend.Call{RequestID: "s3", Service: "ledger", At: at(1)})
		}},
		{"key ran twice", AtMostOnce, func(e *Evidence) {
			e.Calls = append(e.Calls, rudderbackend.Call{RequestID: "s2", Service: "ledger", IdempotencyKey: "k1", At: at(2)})
		}},
		{"call without key ran twice", AtMostOnce, func(e *Evidence) {
			call := rudderbackend.Call{RequestID: "s4", Service: "ledger", At: at(1)}
			e.Calls = append(e.Calls, call, call)
		}},
		{"work on a leaving engine", Leaving, func(e *Evidence) { e.Runs[0].Start, e.Runs[0].End = at(6), at(7) }},
		{"work on a leaving service", Leaving, func(e *Evidence) {
			e.Leaving = append(e.Leaving, Stop{Host: "svc", From: at(-10)})
		}},
		{"engine cut a request", PlannedStop, func(e *Evidence) { e.Runs[0].Outcome = rudderengine.OutcomeFailed }},
		{"entry host cut a request", PlannedStop, func(e *Evidence) { e.Answers[0].Outcome = OutcomeMayHaveRun }},
		{"older version served", Config, func(e *Evidence) { e.Served[2].At = at(4) }},
		{"version went back", Config, func(e *Evidence) { e.Served = append(e.Served, ServedVersion{"e1", 1, at(2)}) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			evidence := sound()
			test.plant(&evidence)
			found := Check(evidence)
			require.NotEmpty(t, found)
			for _, v := range found {
				require.Equal(t, test.promise, v.Promise, v.Detail)
			}
		})
	}
}

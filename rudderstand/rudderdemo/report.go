package rudderdemo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"comfreyrudder.example/rudderstand/rudderoracle"
)

// Part is one part of the demonstration, for example a fault or a planned change.
type Part struct {
	Name     string
	Happened bool
	// Seen describes what was observed, or why the part did not happen.
	Seen string
}

// Row is the row of one promise in the table.
type Row struct {
	Promise    rudderoracle.Promise
	Tried      string // how often the promise was put to the test
	Violations []rudderoracle.Violation
}

// Report is the result of a demonstration.
type Report struct {
	Rows     []Row
	Parts    []Part
	Callers  []string
	Duration time.Duration
}

// NewReport has the oracle check the evidence and lists, for each promise, its violations and how often it
// was put to the test.
func NewReport(e rudderoracle.Evidence, parts []Part) Report {
	tried := triedByPromise(e)
	report := Report{Parts: parts}
	violations := rudderoracle.Check(e)
	for _, p := range rudderoracle.Promises() {
		row := Row{Promise: p, Tried: tried[p]}
		for _, v := range violations {
			if v.Promise == p {
				row.Violations = append(row.Violations, v)
			}
		}
		report.Rows = append(report.Rows, row)
	}
	return report
}

// Passed reports whether all promises were kept and all parts happened.
func (r Report) Passed() bool {
	for _, row := range r.Rows {
		if len(row.Violations) > 0 {
			return false
		}
	}
	for _, p := range r.Parts {
		if !p.Happened {
			return false
		}
	}
	return true
}

func triedByPromise(e rudderoracle.Evidence) map[rudderoracle.Promise]string {
	var complete, notRun, keyed, targets, entries, retried int
	for _, a := range e.Answers {
		switch a.Outcome {
		case rudderoracle.OutcomeComplete:
			complete++
		case rudderoracle.OutcomeNotRun:
			notRun++
		}
		if a.Key != "" {
			keyed++
		}
	}
	for _, s := range e.Stops {
		if s.Entry != "" {
			entries++
		} else {
			targets++
		}
	}
	for _, r := range e.Runs {
		if r.Attempt > 1 {
			retried++
		}
	}
	return map[rudderoracle.Promise]string{
		rudderoracle.WholeGroup:       fmt.Sprintf("%d runs on groups, %d of them a later attempt", len(e.Runs), retried),
		rudderoracle.SingleMembership: fmt.Sprintf("%d plans, %d runs", len(e.Plans), len(e.Runs)),
		rudderoracle.OwnAnswer:        fmt.Sprintf("%d complete answers compared", complete),
		rudderoracle.NotRun:           fmt.Sprintf("%d answers \"not run\" looked up in the targets' ledgers", notRun),
		rudderoracle.AtMostOnce:       fmt.Sprintf("%d calls took effect, %d sends with a key", len(e.Calls), keyed),
		rudderoracle.Leaving:          fmt.Sprintf("%d targets told to leave", len(e.Leaving)),
		rudderoracle.PlannedStop:      fmt.Sprintf("%d target and %d entry host stopped", targets, entries),
		rudderoracle.Config:           fmt.Sprintf("%d changes in force, %d looks at entry hosts", len(e.Accepted), len(e.Served)),
	}
}

// maxDetails bounds the violations that are printed for each promise.
const maxDetails = 5

// Write prints the table of promises, the parts and the statistics of the callers.
func (r Report) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PROMISE\tTRIED\tVIOLATIONS\tRESULT")
	for _, row := range r.Rows {
		result := "kept"
		if len(row.Violations) > 0 {
			result = "BROKEN"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", row.Promise, row.Tried, len(row.Violations), result)
	}
	_, _ = fmt.Fprintln(table, "\nPART OF THE SCENE\tHAPPENED\tSEEN")
	for _, p := range r.Parts {
		happened := "yes"
		if !p.Happened {
			happened = "NO"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", p.Name, happened, p.Seen)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, row := range r.Rows {
		for i, v := range row.Violations {
			if i < maxDetails {
				_, _ = fmt.Fprintf(output, "broken %s: %s\n", v.Promise, v.Detail)
			}
		}
	}
	_, _ = fmt.Fprintln(output)
	for _, line := range r.Callers {
		_, _ = fmt.Fprintln(output, line)
	}
	_, err := fmt.Fprintf(output, "the scene took %.1f s\n", r.Duration.Seconds())
	return err
}

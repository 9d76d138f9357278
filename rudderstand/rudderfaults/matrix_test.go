package rudderfaults

import (
	"bytes"
	"net/http"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderoracle"
)

// Guards against a matrix that omits a fault or a step, and against exclusion rules without an effect or a
// reason.
func TestTable(t *testing.T) {
	m := NewMatrix(Steps(), Faults())
	seen := map[string]bool{}
	for _, c := range append(m.Singles, m.Pairs...) {
		require.False(t, seen[c.Name()], "%s twice", c.Name())
		seen[c.Name()] = true
	}
	excludedSingles, excludedPairs := 0, 0
	for _, e := range m.Excluded {
		require.NotEmpty(t, e.Rule.Reason)
		require.Positive(t, e.Single+e.Pairs, "rule %s excludes nothing", e.Rule.Name)
		excludedSingles, excludedPairs = excludedSingles+e.Single, excludedPairs+e.Pairs
	}
	steps, faults := len(Steps()), len(Faults())
	require.Equal(t, steps*faults, len(m.Singles)+excludedSingles)
	require.Equal(t, steps*faults*(faults+1)/2, len(m.Pairs)+excludedPairs)
	names := func(cells []Cell) (list []string) {
		for _, c := range cells {
			list = append(list, c.Name())
		}
		return list
	}
	require.Len(t, m.SamplePairs(7, 20), 20)
	require.Equal(t, names(m.SamplePairs(7, 20)), names(m.SamplePairs(7, 20)), "a seed chooses the same pairs")
	require.NotEqual(t, names(m.SamplePairs(7, 20)), names(m.SamplePairs(8, 20)))
}

// subset returns cells that cover each fault and each step at least once: the i-th fault at the i-th step, or
// at the next step at which the fault is not excluded.
func subset() []Cell {
	steps, faults := Steps(), Faults()
	m := NewMatrix(steps, faults)
	var cells []Cell
	for i, f := range faults {
		for j := range steps {
			if s := steps[(i+j)%len(steps)]; m.excludes(s, f) < 0 {
				cells = append(cells, Cell{Step: s, Faults: []Fault{f}})
				break
			}
		}
	}
	return cells
}

// With the race detector and 8 parallel cells on a busy machine (load 46 on 10 cores, 12 to 19 on 6), the
// shortest time-outs were exceeded and fleets did not get ready. All cells still run, but fewer in parallel
// and with longer time-outs.
const (
	subsetParallel = 3
	subsetScale    = 2
)

// Guards against a violation, or a system that does not recover, under each fault and at each step. The command
// "rudderstand faults" runs all cells.
func TestSubset(t *testing.T) {
	cells := subset()
	covered := map[string]bool{}
	for _, c := range cells {
		covered[c.Step.Name] = true
	}
	for _, s := range Steps() {
		require.True(t, covered[s.Name], "step %s is not covered", s.Name)
	}
	runner := &Runner{Entries: 4, Parallel: subsetParallel, Scale: subsetScale, OnResult: func(r Result) { t.Logf("%5.1f s  %s", r.Elapsed.Seconds(), r) }}
	for _, r := range runner.Run(cells) {
		require.NoError(t, r.Err, r.Cell.Name())
		require.Empty(t, r.Violations, r.Cell.Name())
	}
}

// Guards against a matrix that cannot fail: the evidence of a cell must reveal a payment that is sent a
// second time outside the system, and a complete answer that belongs to another prompt.
func TestPlantedFaultsAreFound(t *testing.T) {
	duplicate := Fault{Name: "duplicated_call", Inject: func(w *World, c Call) func() {
		for range 2 {
			request, err := http.NewRequest(c.Method, "http://"+w.fleet.Host(c.To).Address+c.Path, bytes.NewReader(c.Body))
			if err != nil {
				continue
			}
			request.Header.Set(rudderbackend.HeaderIdempotencyKey, "planted")
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}
		w.recorder.Answer(rudderoracle.Answer{RequestID: "planted", Outcome: rudderoracle.OutcomeComplete, Prompt: "a", MaxTokens: 3, Text: "b"})
		return func() {}
	}}
	for _, s := range Steps() {
		if s.Name != "dispatch" {
			continue
		}
		r := Cell{Step: s, Faults: []Fault{duplicate}}.Run(&World{Entries: 3, Scale: subsetScale})
		require.NoError(t, r.Err)
		found := map[rudderoracle.Promise]bool{}
		for _, v := range r.Violations {
			found[v.Promise] = true
		}
		require.Equal(t, map[rudderoracle.Promise]bool{rudderoracle.AtMostOnce: true, rudderoracle.OwnAnswer: true}, found)
	}
}

// Runs the cell named by the environment variable FAULT_CELL and prints the logs of the entry hosts.
func TestNamedCell(t *testing.T) {
	name := os.Getenv("FAULT_CELL")
	if name == "" {
		t.Skip("FAULT_CELL names no cell")
	}
	m := NewMatrix(Steps(), Faults())
	for _, c := range append(m.Singles, m.Pairs...) {
		if c.Name() == name {
			r := c.Run(&World{Entries: 4, Logs: os.Stderr})
			require.NoError(t, r.Err)
			require.Empty(t, r.Violations)
		}
	}
}

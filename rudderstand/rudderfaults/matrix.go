package rudderfaults

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"comfreyrudder.example/rudderstand/rudderoracle"
)

// Rule excludes cells whose combination of step and faults cannot occur or duplicates another cell.
type Rule struct {
	Name   string
	Reason string
	// Excludes reports whether a fault is excluded at a step; nil excludes none.
	Excludes func(s Step, f Fault) bool
	// ExcludesPair reports whether two faults are excluded together at a step; nil excludes none.
	ExcludesPair func(s Step, first, second Fault) bool
}

// Rules returns all exclusion rules. Their names and reasons are printed in docs/faults.md.
func Rules() []Rule {
	return []Rule{
		{
			Name: "no_role_yet", Reason: "Before a target was ordered a role it cannot come back with an old one.",
			Excludes: func(s Step, f Fault) bool { return f.NeedsRole && s.Drive == nil },
		},
		{
			Name: "no_claims_yet", Reason: "Before the first call with a key no entry host collects claims, so none can be paused as collector.",
			Excludes: func(s Step, f Fault) bool { return f.NeedsClaims && s.Drive == nil },
		},
		{
			Name: "no_prompt", Reason: "Poison requests are prompts; a step that runs no model request has none. The step serve covers a poison request beside other work.",
			Excludes: func(s Step, f Fault) bool { return f.Name == faultPoison && s.Subsystem != SubsystemEngines },
		},
		{
			Name: "same_fault", Reason: "A fault twice at the same step hits the same part and is the single cell.",
			ExcludesPair: func(_ Step, first, second Fault) bool { return first.Name == second.Name },
		},
		{
			Name: "pause_of_dead", Reason: "A process that has ended cannot pause, straggle or come back with its role, so the pair is the single cell of its death.",
			ExcludesPair: func(_ Step, first, second Fault) bool {
				return first.EndsTarget && second.NeedsTarget || second.EndsTarget && first.NeedsTarget
			},
		},
		{
			Name: "state_of_silent", Reason: "Two faults of the same switch of the key-value service replace each other: a service that is down is neither slow nor loses answers.",
			ExcludesPair: func(_ Step, first, second Fault) bool {
				return first.StopsKeyValue && second.Subsystem == SubsystemPlatform && second.KeyValueMode || second.StopsKeyValue && first.Subsystem == SubsystemPlatform && first.KeyValueMode
			},
		},
	}
}

// Excluded counts the cells that a rule has excluded.
type Excluded struct {
	Rule   Rule
	Single int
	Pairs  int
}

// Matrix holds all cells that are not excluded, and the counts of those that are.
type Matrix struct {
	Singles  []Cell
	Pairs    []Cell
	Excluded []Excluded
}

// NewMatrix combines each step with each fault and each pair of faults.
func NewMatrix(steps []Step, faults []Fault) Matrix {
	var m Matrix
	for _, r := range Rules() {
		m.Excluded = append(m.Excluded, Excluded{Rule: r})
	}
	for _, s := range steps {
		for i, f := range faults {
			if at := m.excludes(s, f); at >= 0 {
				m.Excluded[at].Single++
			} else {
				m.Singles = append(m.Singles, Cell{Step: s, Faults: []Fault{f}})
			}
			for _, second := range faults[i:] {
				if at := m.excludesPair(s, f, second); at >= 0 {
					m.Excluded[at].Pairs++
				} else {
					m.Pairs = append(m.Pairs, Cell{Step: s, Faults: []Fault{f, second}})
				}
			}
		}
	}
	return m
}

// excludes returns the index of the first rule that excludes a single cell, or -1.
func (m *Matrix) excludes(s Step, f Fault) int {
	return slices.IndexFunc(m.Excluded, func(e Excluded) bool { return e.Rule.Excludes != nil && e.Rule.Excludes(s, f) })
}

// excludesPair returns the index of the first rule that excludes a pair, or -1. A pair is excluded also if a
// rule excludes one of its faults.
func (m *Matrix) excludesPair(s Step, first, second Fault) int {
	return slices.IndexFunc(m.Excluded, func(e Excluded) bool {
		r := e.Rule
		if r.Excludes != nil && (r.Excludes(s, first) || r.Excludes(s, second)) {
			return true
		}
		return r.ExcludesPair != nil && r.ExcludesPair(s, first, second)
	})
}

// SamplePairs returns count pairs drawn with the seed, in the order of the matrix.
func (m *Matrix) SamplePairs(seed uint64, count int) []Cell {
	order := rand.New(rand.NewPCG(seed, 0)).Perm(len(m.Pairs))
	chosen := order[:min(count, len(order))]
	slices.Sort(chosen)
	var cells []Cell
	for _, i := range chosen {
		cells = append(cells, m.Pairs[i])
	}
	return cells
}

// Runner runs cells in parallel, each in a World of its own.
type Runner struct {
	Entries  int
	Parallel int
	// Scale is passed to World.Scale.
	Scale int
	// OnResult is an optional callback for each result as it arrives. Calls are serialised.
	OnResult func(Result)
}

// Run runs the cells and returns their results in the order of the cells.
func (r *Runner) Run(cells []Cell) []Result {
	results := make([]Result, len(cells))
	next := make(chan int)
	var mu sync.Mutex
	var working sync.WaitGroup
	for range min(r.Parallel, len(cells)) {
		working.Go(func() {
			for i := range next {
				result := cells[i].Run(&World{Entries: r.Entries, Scale: r.Scale})
				mu.Lock()
				results[i] = result
				if r.OnResult != nil {
					r.OnResult(result)
				}
				mu.Unlock()
			}
		})
	}
	for i := range cells {
		next <- i
	}
	close(next)
	working.Wait()
	return results
}

// CountViolations counts the violations of each promise.
func CountViolations(results []Result) map[rudderoracle.Promise]int {
	counts := map[rudderoracle.Promise]int{}
	for _, r := range results {
		for _, v := range r.Violations {
			counts[v.Promise]++
		}
	}
	return counts
}

// Failed returns the results that did not pass, sorted by the name of the cell.
func Failed(results []Result) []Result {
	failed := slices.DeleteFunc(slices.Clone(results), Result.Passed)
	slices.SortFunc(failed, func(a, b Result) int { return cmp.Compare(a.Cell.Name(), b.Cell.Name()) })
	return failed
}

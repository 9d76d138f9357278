package rudderstandapp

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"comfreyrudder.example/rudderstand/rudderfaults"
)

// errViolations is returned if any cell failed; the printed table shows which.
var errViolations = errors.New("the fault matrix has failed cells")

// faultOptions holds the flags of the command.
type faultOptions struct {
	entries, parallel, pairs int
	seed                     uint64
	allPairs                 bool
	output                   string
}

const defaultPairs = 48

// newFaults returns the command that runs the fault matrix.
func newFaults(stdout io.Writer) *cobra.Command {
	var o faultOptions
	command := &cobra.Command{
		Use:     "faults",
		Short:   "Run every fault at every step, alone and in sampled pairs, and check the eight promises",
		Example: "  rudderstand faults --output docs/faults.md\n  rudderstand faults --all-pairs",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return runFaults(stdout, o) },
	}
	flags := command.Flags()
	flags.IntVar(&o.entries, "entries", 4, "entry hosts of each cell, 3 to 5")
	flags.IntVar(&o.parallel, "parallel", 8, "cells that run at a time")
	flags.IntVar(&o.pairs, "pairs", defaultPairs, "pairs of faults to sample")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the sample")
	flags.BoolVar(&o.allPairs, "all-pairs", false, "run all pairs")
	flags.StringVar(&o.output, "output", "docs/faults.md", "page to write; empty writes none")
	return command
}

func runFaults(stdout io.Writer, o faultOptions) error {
	if o.entries < 3 || o.entries > 5 || o.parallel < 1 || o.pairs < 0 {
		return errors.New("--entries must be 3 to 5, --parallel at least 1 and --pairs at least 0")
	}
	steps, faults := rudderfaults.Steps(), rudderfaults.Faults()
	report := rudderfaults.Report{
		Matrix: rudderfaults.NewMatrix(steps, faults), Steps: steps, Faults: faults, Date: time.Now(),
		Command: fmt.Sprintf("rudderstand faults --entries %d --pairs %d --seed %d", o.entries, o.pairs, o.seed),
	}
	pairs := report.Matrix.SamplePairs(o.seed, o.pairs)
	if o.allPairs {
		pairs, report.Command = report.Matrix.Pairs, fmt.Sprintf("rudderstand faults --entries %d --all-pairs", o.entries)
	}
	runner := &rudderfaults.Runner{Entries: o.entries, Parallel: o.parallel, OnResult: func(r rudderfaults.Result) { printResult(stdout, r) }}
	report.Singles = runner.Run(report.Matrix.Singles)
	report.Pairs = runner.Run(pairs)
	report.Elapsed = time.Since(report.Date)
	page := report.Markdown()
	_, _ = fmt.Fprintf(stdout, "\n%s", page)
	if o.output != "" {
		if err := os.WriteFile(o.output, []byte(page), 0o644); err != nil { //nolint:gosec // a page for everybody
			return errors.Wrap(err, "writing the page")
		}
	}
	if !report.Passed() {
		return errViolations
	}
	return nil
}

func printResult(stdout io.Writer, r rudderfaults.Result) {
	_, _ = fmt.Fprintf(stdout, "%-60s %6.1f s  %s\n", r.Cell.Name(), r.Elapsed.Seconds(), r)
	for _, v := range r.Violations {
		_, _ = fmt.Fprintf(stdout, "    %s: %s\n", v.Promise, v.Detail)
	}
}

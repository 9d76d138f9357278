package rudderstandapp

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"comfreyrudder.example/rudderstand/rudderbench"
)

// newBench returns the command that runs all measurements and prints one table. A missed bound does not
// change the exit code, since the table is a report and not a test.
func newBench(stdout, stderr io.Writer) *cobra.Command {
	var directory string
	var seed uint64
	var target, live, virtual bool
	command := &cobra.Command{
		Use:     "bench",
		Short:   "Measure the system against baselines, print one table, and write it and plots to a directory",
		Example: "  rudderstand bench\n  rudderstand bench --target\n  rudderstand bench --live=false",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			began := time.Now()
			progress := func(format string, values ...any) {
				_, _ = fmt.Fprintf(stderr, "%5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
			}
			rows, curve, err := benchRows(seed, target, live, virtual, progress)
			missed := rudderbench.PrintTable(stdout, rows)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(stdout, "%d rows, %d bounds missed, %.0f s\n", len(rows), missed, time.Since(began).Seconds())
			if err := rudderbench.WriteTable(filepath.Join(directory, "bench.json"), rows); err != nil {
				return err
			}
			if !virtual {
				return nil
			}
			progress("plots")
			return rudderbench.Plots(directory, seed, curve)
		},
	}
	command.Flags().StringVar(&directory, "out", "out", "directory for bench.json and plots")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of all random choices")
	command.Flags().BoolVar(&target, "target", false, "measure the crest also at 330 entry hosts; takes about two minutes more")
	command.Flags().BoolVar(&virtual, "virtual", true, "run the experiments on virtual clocks and draw the plots")
	command.Flags().BoolVar(&live, "live", true, "measure real entry hosts on loopback sockets")
	return command
}

func benchRows(seed uint64, target, live, virtual bool, progress func(string, ...any)) ([]rudderbench.Row, []rudderbench.DayPoint, error) {
	var rows []rudderbench.Row
	var curve []rudderbench.DayPoint
	if virtual {
		progress("decisions on a virtual clock")
		rows = rudderbench.DecisionRows(seed, target)
		progress("a day of groups on a virtual clock")
		var day []rudderbench.Row
		day, curve = rudderbench.DayRows(seed)
		rows = append(rows, day...)
	}
	if !live {
		return rows, curve, nil
	}
	measured, err := rudderbench.LiveRows(progress)
	return append(rows, measured...), curve, err
}

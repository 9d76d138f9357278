package rudderstandapp

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"comfreyrudder.example/rudderstand/ruddercapacity"
)

// newCapacity returns the command that measures how the costs of real entry hosts grow and prints the figures
// of docs/CAPACITY.md.
func newCapacity(stdout, stderr io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "capacity",
		Short: "Measure what an entry host costs over nodes, workers and requests, and extend it to 330 nodes",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			began := time.Now()
			return ruddercapacity.Report(stdout, func(format string, values ...any) {
				_, _ = fmt.Fprintf(stderr, "%5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
			})
		},
	}
}

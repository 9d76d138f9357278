package rudderstandapp

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"comfreyrudder.example/rudderstand/rudderdemo"
)

// errBroken is returned if the report did not pass; the printed table shows why.
var errBroken = errors.New("a promise is broken, or a part of the scene did not happen")

// newDemo returns the command that runs rudderdemo and prints its report.
func newDemo(stdout, stderr io.Writer) *cobra.Command {
	var logs bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run two firms under load with faults and planned changes, and print whether the promises were kept",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			demo := &rudderdemo.Demo{Scene: rudderdemo.DefaultScene()}
			if logs {
				demo.Scene.Logs = stderr
			}
			report, err := demo.Run(cmd.Context())
			if err != nil {
				return err
			}
			if err := report.Write(stdout); err != nil {
				return err
			}
			if !report.Passed() {
				return errBroken
			}
			return nil
		},
	}
	command.Flags().BoolVar(&logs, "logs", false, "write the entry hosts' log lines to standard error")
	return command
}

// Package rudderstandapp is the command line of rudderstand. Each command has its own file.
package rudderstandapp

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of rudderstand.
const (
	exitOK    = 0
	exitError = 1
)

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "rudderstand",
		Short:         "Run stand-ins for the environment of comfreyrudder",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(newUp(stdout, stderr))
	root.AddCommand(newDemo(stdout, stderr))
	root.AddCommand(newLoad(stdout))
	root.AddCommand(newFaults(stdout))
	root.AddCommand(newSoak(stdout))
	root.AddCommand(newBench(stdout, stderr))
	root.AddCommand(newCapacity(stdout, stderr))
	if err := root.ExecuteContext(context.Background()); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitError
	}
	return exitOK
}

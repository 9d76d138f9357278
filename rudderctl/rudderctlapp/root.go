// Package rudderctlapp implements the commands of rudderctl.
package rudderctlapp

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderresponse"
)

// Exit codes of rudderctl.
const (
	ExitOK       = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitPending  = 4
)

// callTimeout exceeds the time that an entry host waits for a change to be in force, so that the client
// does not time out first.
const callTimeout = 45 * time.Second

var (
	errUsage = errors.New("usage")
	// errPending reports a change that was written but that some entry hosts have not confirmed.
	errPending = errors.New("the change is written, but not every entry host has confirmed it; see `rudderctl config await`")
)

// control holds the global flags and the streams that all commands use.
type control struct {
	stdin          io.Reader
	stdout, stderr io.Writer

	addresses, token, output string
}

// Execute parses and runs the command line and returns its exit code.
func Execute(arguments []string, stdin io.Reader, stdout, stderr io.Writer, environment func(string) (string, bool)) int {
	c := &control{stdin: stdin, stdout: stdout, stderr: stderr}
	root := c.command(environment)
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "error: "+err.Error())
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errPending):
		return ExitPending
	case errors.Is(err, rudderadmin.ErrConflict):
		return ExitConflict
	case errors.Is(err, errUsage):
		return ExitUsage
	default:
		return ExitError
	}
}

func (c *control) command(environment func(string) (string, bool)) *cobra.Command {
	root := &cobra.Command{
		Use:           "rudderctl",
		Short:         "Operate comfreyrudder: labels, selectors, workspaces, status and reports",
		Long:          "rudderctl changes and reads the configuration at any entry host.\n\nExit codes: 0 ok, 1 error, 2 usage, 3 conflict with another change, 4 written but pending.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args: func(cmd *cobra.Command, args []string) error {
			return errors.Mark(cobra.NoArgs(cmd, args), errUsage)
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if c.output != outputTable && c.output != outputJSON {
				return errors.Mark(errors.Newf("--output: %q is neither table nor json", c.output), errUsage)
			}
			return nil
		},
	}
	fallback := func(name string) string {
		value, _ := environment(name)
		return value
	}
	flags := root.PersistentFlags()
	flags.StringVar(&c.addresses, "admin", fallback("RUDDER_ADMIN"), "admin addresses of entry hosts, IP:PORT, comma separated [RUDDER_ADMIN]")
	flags.StringVar(&c.token, "token", "", "operator token; prefer the environment, which other users cannot read [RUDDER_TOKEN]")
	flags.StringVarP(&c.output, "output", "o", outputTable, "table or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	cobra.EnableTraverseRunHooks = true
	if c.token == "" {
		c.token = fallback("RUDDER_TOKEN")
	}
	root.AddCommand(c.applyCommand(), c.configCommand(), c.hostCommand(), c.dataCentreCommand(), c.drainCommand(), c.undrainCommand(),
		c.selectorCommand(), c.workspaceCommand(), c.statusCommand(), c.entryCommand(), c.groupCommand(), c.whyNotCommand(), c.reportCommand())
	return root
}

// client returns a client of the admin API. Without an address or a token it returns errUsage.
func (c *control) client() (*rudderadmin.Client, error) {
	var addresses []string
	for _, a := range strings.Split(c.addresses, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 {
		return nil, errors.Mark(errors.New("no entry host: set --admin or RUDDER_ADMIN to IP:PORT"), errUsage)
	}
	if c.token == "" {
		return nil, errors.Mark(errors.New("no operator token: set RUDDER_TOKEN or --token"), errUsage)
	}
	return &rudderadmin.Client{Addresses: addresses, Token: c.token, HTTP: &http.Client{Timeout: callTimeout, Transport: &rudderresponse.Transport{Base: http.DefaultTransport}}}, nil
}

// exactArgs is cobra.ExactArgs with errors marked as errUsage. It also validates the arguments, since they
// are names that become segments of an API path.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return errors.Mark(err, errUsage)
		}
		return checkNames(args)
	}
}

// checkNames rejects names that would change the path of the admin API call.
func checkNames(names []string) error {
	for _, name := range names {
		if name == "" || name == "." || name == ".." || strings.Contains(name, "/") {
			return errors.Mark(errors.Newf("%q is not a name: names are not empty and have no slash", name), errUsage)
		}
	}
	return nil
}

// newParent returns a command that only groups subcommands. It rejects an unknown subcommand, for which
// cobra by itself would print the help and exit with 0.
func newParent(use, short string, commands ...*cobra.Command) *cobra.Command {
	parent := &cobra.Command{
		Use: use, Short: short, Args: cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return cmd.Help()
			}
			return errors.Mark(errors.Newf("unknown command %q for %q; see %s --help", args[0], cmd.CommandPath(), cmd.CommandPath()), errUsage)
		},
	}
	parent.AddCommand(commands...)
	return parent
}

func minimumArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return errors.Mark(cobra.MinimumNArgs(n)(cmd, args), errUsage)
	}
}

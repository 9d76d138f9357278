// Package rudderapp assembles rudderd from its parts. It makes no decisions of its own.
package rudderapp

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	rudderplatform "comfreyrudder.example/platform"
	"comfreyrudder.example/rudderd/rudderaccount"
	"comfreyrudder.example/rudderd/ruddersettings"
)

// Exit codes of rudderd.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, stdout, stderr io.Writer) int {
	root := newCommand(stdout, stderr)
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ruddersettings.ErrInvalid):
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return exitError
	}
}

func newCommand(stdout, stderr io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "rudderd",
		Short:         "Run an entry host of comfreyrudder",
		Example:       "  rudderd --name entry-1 --region kigali --data-centre kgl-1 \\\n    --key-value-url http://127.0.0.1:7000 --host-list-url http://127.0.0.1:7001 --peer-secret ...",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := ruddersettings.Load(cmd.Flags(), os.LookupEnv)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return run(ctx, settings, stderr)
		},
	}
	ruddersettings.AddFlags(root.Flags())
	root.AddCommand(&cobra.Command{
		Use:   "settings",
		Short: "Print docs/settings.md",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := io.WriteString(stdout, ruddersettings.MarkdownPage())
			return err
		},
	})
	root.AddCommand(rudderplatform.NewCommand(stdout))
	return root
}

func run(ctx context.Context, settings ruddersettings.Settings, output io.Writer) error {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return errors.Mark(err, ruddersettings.ErrInvalid)
	}
	logger := zerolog.New(output).Level(level).With().Timestamp().Str("entry", settings.Name).Logger()
	app := &App{Settings: settings, Logger: logger}
	rudderaccount.New(settings.MemoryBytes, settings.MaxDescriptors).Apply()
	if err := app.Listen(); err != nil {
		return err
	}
	return app.Run(ctx)
}

package rudderctlapp

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// changeOptions holds the flags of the commands that change the configuration.
type changeOptions struct {
	dryRun  bool
	version int64
	summary string
	// rollback is the version to restore; it is empty for other changes.
	rollback string
}

func (o *changeOptions) addFlags(command *cobra.Command) {
	command.Flags().BoolVar(&o.dryRun, "dry-run", false, "check the change and show its diff without writing it")
	command.Flags().Int64Var(&o.version, "if-version", 0, "change only if this is the current version")
	command.Flags().StringVar(&o.summary, "summary", "", "text for the history")
}

func (o *changeOptions) query() url.Values {
	query := url.Values{}
	if o.dryRun {
		query.Set("dry_run", "true")
	}
	if o.summary != "" {
		query.Set("summary", o.summary)
	}
	if o.rollback != "" {
		query.Set("version", o.rollback)
	}
	return query
}

// change sends a change and prints its result.
func (c *control) change(cmd *cobra.Command, o *changeOptions, method, path string, body any) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var result rudderadmin.ChangeResult
	if err := client.Do(cmd.Context(), method, path, o.query(), o.version, body, &result); err != nil {
		return err
	}
	return c.printChange(result)
}

// get fetches a path of the admin API and prints the value, as render formats it.
func get[T any](c *control, cmd *cobra.Command, path string, query url.Values, render func(value T) []any) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var value T
	if err := client.Get(cmd.Context(), path, query, &value); err != nil {
		return err
	}
	return c.print(value, func() []any { return render(value) })
}

// readFile reads a file, or standard input if the name is "-".
func (c *control) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(c.stdin)
	}
	text, err := os.ReadFile(name)
	return text, errors.Wrap(err, "reading the file")
}

func (c *control) applyCommand() *cobra.Command {
	var options changeOptions
	var file string
	var replace bool
	command := &cobra.Command{
		Use:     "apply -f FILE",
		Short:   "Apply a YAML or JSON document: named items are replaced or added",
		Example: "  rudderctl apply -f selectors.yaml --dry-run\n  rudderctl apply -f whole.yaml --replace --if-version 41",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return errors.Mark(errors.New("-f: name a file, or - for standard input"), errUsage)
			}
			text, err := c.readFile(file)
			if err != nil {
				return err
			}
			if replace {
				return c.change(cmd, &options, http.MethodPut, "/config", text)
			}
			return c.change(cmd, &options, http.MethodPost, "/config/apply", text)
		},
	}
	options.addFlags(command)
	command.Flags().StringVarP(&file, "file", "f", "", "file to apply, or - for standard input")
	command.Flags().BoolVar(&replace, "replace", false, "replace the whole configuration: items that the file lacks are removed")
	return command
}

func (c *control) configCommand() *cobra.Command {
	return newParent("config", "Read the configuration and its history, and go back to an earlier version",
		c.configGet(), c.configHistory(), c.configDiff(), c.configRollback(), c.configAwait())
}

func (c *control) configGet() *cobra.Command {
	var version int64
	command := &cobra.Command{
		Use:   "get",
		Short: "Print the configuration as YAML (or JSON with --output json)",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := "/config"
			if version > 0 {
				path = fmt.Sprintf("/config/history/%d", version)
			}
			return get(c, cmd, path, nil, func(document rudderconfig.Document) []any {
				return []any{yamlText(document)}
			})
		},
	}
	command.Flags().Int64Var(&version, "version", 0, "version of the history; 0 for the current one")
	return command
}

func (c *control) configHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the kept versions, newest first",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			type answer struct {
				Versions []rudderadmin.HistoryEntry `json:"versions"`
			}
			return get(c, cmd, "/config/history", nil, func(a answer) []any {
				t := &table{header: []string{"VERSION", "CHANGED AT", "BY", "SUMMARY"}}
				for _, v := range a.Versions {
					t.add(v.Version, v.ChangedAt.Format(time.RFC3339), v.ChangedBy, v.Summary)
				}
				return []any{t}
			})
		},
	}
}

func (c *control) configDiff() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FROM TO",
		Short:   "Show the changes between two versions",
		Example: "  rudderctl config diff 40 41",
		Args:    exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			type answer struct {
				Diff []string `json:"diff"`
			}
			query := url.Values{"from": {args[0]}, "to": {args[1]}}
			return get(c, cmd, "/config/diff", query, func(a answer) []any { return lines(a.Diff) })
		},
	}
}

func (c *control) configRollback() *cobra.Command {
	var options changeOptions
	command := &cobra.Command{
		Use:   "rollback VERSION",
		Short: "Write an earlier version as the next one; operators and keys stay as they are now",
		Long: "Writes an earlier version of the history as the next version. Operators and the keys of workspaces stay as\n" +
			"they are now, so that a token or key that was removed since does not work again. A workspace that was\n" +
			"deleted since comes back without keys.",
		Example: "  rudderctl config rollback 40 --dry-run\n  rudderctl config rollback 40 --summary \"the new selector took too many hosts\"",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.rollback = args[0]
			return c.change(cmd, &options, http.MethodPost, "/config/rollback", nil)
		},
	}
	options.addFlags(command)
	return command
}

func (c *control) configAwait() *cobra.Command {
	return &cobra.Command{
		Use:   "await",
		Short: "Wait until the current version is in force at every entry host",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.change(cmd, &changeOptions{}, http.MethodPost, "/config/await", nil)
		},
	}
}

func lines(texts []string) []any {
	parts := make([]any, len(texts))
	for i, t := range texts {
		parts[i] = t
	}
	return parts
}

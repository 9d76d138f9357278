package rudderctlapp

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"sigs.k8s.io/yaml"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

func (c *control) workspaceCommand() *cobra.Command {
	return newParent("workspace", "Read and change workspaces, their limits and keys", c.workspaceList(), c.workspaceGet(),
		c.workspaceApply(), c.workspaceDelete(), c.workspaceAddKey(), c.workspaceRemoveKey())
}

func (c *control) workspaceList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the workspaces with their limits",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			type answer struct {
				Workspaces []rudderconfig.Workspace `json:"workspaces"`
			}
			return get(c, cmd, "/workspaces", nil, func(a answer) []any {
				t := &table{header: []string{"NAME", "FIRM", "WEIGHT", "PRESET", "KEYS", "REQUESTS/S", "CONCURRENT"}}
				for _, w := range a.Workspaces {
					t.add(w.Name, w.Firm, max(1, w.Weight), w.Preset, len(w.KeyHashes), w.Limits.RequestsPerSecond, w.Limits.Concurrent)
				}
				return []any{t}
			})
		},
	}
}

func (c *control) workspaceGet() *cobra.Command {
	return &cobra.Command{
		Use:     "get NAME",
		Short:   "Print a workspace as YAML, with the hashes of its keys",
		Example: "  rudderctl workspace get umuvumu-01",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			var answer struct {
				Workspaces []rudderconfig.Workspace `json:"workspaces"`
			}
			if err := client.Get(cmd.Context(), "/workspaces", nil, &answer); err != nil {
				return err
			}
			for _, w := range answer.Workspaces {
				if w.Name == args[0] {
					return c.print(w, func() []any { return []any{yamlText(w)} })
				}
			}
			return errors.Newf("no workspace %s", args[0])
		},
	}
}

func yamlText(value any) string {
	text, err := yaml.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return strings.TrimRight(string(text), "\n")
}

func (c *control) workspaceApply() *cobra.Command {
	var options changeOptions
	var file string
	command := &cobra.Command{
		Use:     "apply -f FILE",
		Short:   "Add or replace one workspace from YAML or JSON; a file without keys keeps those that exist",
		Example: "  rudderctl workspace apply -f umuvumu-01.yaml --dry-run",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.readFile(file)
			if err != nil {
				return err
			}
			var workspace rudderconfig.Workspace
			if err := yaml.UnmarshalStrict(text, &workspace); err != nil {
				return errors.Mark(errors.Wrap(err, "the file is not a workspace"), errUsage)
			}
			if workspace.Name == "" {
				return errors.Mark(errors.New("the workspace has no name"), errUsage)
			}
			return c.change(cmd, &options, http.MethodPut, "/workspaces/"+workspace.Name, workspace)
		},
	}
	options.addFlags(command)
	command.Flags().StringVarP(&file, "file", "f", "-", "file with the workspace, or - for standard input")
	return command
}

func (c *control) workspaceDelete() *cobra.Command {
	var options changeOptions
	command := &cobra.Command{
		Use: "delete NAME", Short: "Delete a workspace; its keys stop working", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.change(cmd, &options, http.MethodDelete, "/workspaces/"+args[0], nil)
		},
	}
	options.addFlags(command)
	return command
}

func (c *control) workspaceAddKey() *cobra.Command {
	return &cobra.Command{
		Use:     "add-key NAME",
		Short:   "Make a new key for a workspace and print it; only its hash is stored",
		Example: "  rudderctl workspace add-key umuvumu-01 > key",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			var made rudderadmin.NewKey
			if err := client.Do(cmd.Context(), http.MethodPost, "/workspaces/"+args[0]+"/keys", nil, 0, nil, &made); err != nil {
				return err
			}
			if err := c.print(made, func() []any { return []any{made.Key} }); err != nil {
				return err
			}
			// The hash goes to standard error so that standard output is the key alone, for use in scripts.
			_, _ = fmt.Fprintf(c.stderr, "hash %x, version %d, %s\n", sha256.Sum256([]byte(made.Key)), made.Change.Version, made.Change.State)
			if made.Change.State == rudderadmin.StatePending {
				return errPending
			}
			return nil
		},
	}
}

func (c *control) workspaceRemoveKey() *cobra.Command {
	var options changeOptions
	command := &cobra.Command{
		Use:   "remove-key NAME HASH",
		Short: "Remove a key of a workspace by its SHA-256 hash",
		Long: "Removes a key of a workspace by its SHA-256 hash, as `rudderctl workspace get NAME` shows it. The hash of a key:\n" +
			"  printf %s \"$WORKSPACE_KEY\" | sha256sum",
		Example: "  rudderctl workspace remove-key umuvumu-01 5f0c...",
		Args:    exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.change(cmd, &options, http.MethodDelete, "/workspaces/"+args[0]+"/keys/"+args[1], nil)
		},
	}
	options.addFlags(command)
	return command
}

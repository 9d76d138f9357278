package rudderctlapp

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"sigs.k8s.io/yaml"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

func (c *control) workspaceCommand() *cobra.Command {
	command := &cobra.Command{Use: "workspace", Short: "Read and change workspaces, their limits and keys"}
	command.AddCommand(c.workspaceList(), c.workspaceApply(), c.workspaceDelete(), c.workspaceAddKey(), c.workspaceRemoveKey())
	return command
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

func (c *control) workspaceApply() *cobra.Command {
	var options changeOptions
	var file string
	command := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Add or replace one workspace from YAML or JSON; keys that the file lacks are kept",
		Args:  exactArgs(0),
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
		Use:   "add-key NAME",
		Short: "Make a new key for a workspace and print it; only its hash is stored",
		Args:  exactArgs(1),
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
		Use: "remove-key NAME HASH", Short: "Remove a key of a workspace by its SHA-256 hash", Args: exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.change(cmd, &options, http.MethodDelete, "/workspaces/"+args[0]+"/keys/"+args[1], nil)
		},
	}
	options.addFlags(command)
	return command
}

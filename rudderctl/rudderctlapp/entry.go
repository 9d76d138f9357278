package rudderctlapp

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

func (c *control) entryCommand() *cobra.Command {
	command := &cobra.Command{Use: "entry", Short: "Look after entry hosts"}
	command.AddCommand(&cobra.Command{
		Use:   "forget NAME",
		Short: "Take an entry host that is gone for good off the registry",
		Long: "An entry host that died stays in the registry for two hours, and each change of the configuration waits\n" +
			"for its permit to end (the permit's time-to-live). Forgetting it ends that within seconds. It is safe for\n" +
			"one that is alive and cut off: it loses its permit first, and joins again when it is back.",
		Example: "  rudderctl entry forget entry-07",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			if err := client.Do(cmd.Context(), http.MethodDelete, "/entries/"+args[0], nil, 0, nil, nil); err != nil {
				return err
			}
			type answer struct {
				Forgotten string `json:"forgotten"`
			}
			return c.print(answer{args[0]}, func() []any {
				return []any{fmt.Sprintf("entry host %s is off the registry once a majority has confirmed it", args[0])}
			})
		},
	})
	return command
}

package rudderctlapp

import (
	"net/http"

	"github.com/spf13/cobra"

	"comfreyrudder.example/shared/rudderadmin"
)

func (c *control) dataCentreCommand() *cobra.Command {
	return newParent("data-centre", "Evacuate data centres, restore them, and show what runs there", c.dataCentreList(),
		c.newEvacuationCommand("evacuate", "Send no new work to the targets of a data centre; what runs there goes on", http.MethodPut),
		c.newEvacuationCommand("restore", "Let the targets of an evacuated data centre take work again", http.MethodDelete))
}

func (c *control) newEvacuationCommand(name, short, method string) *cobra.Command {
	var options changeOptions
	command := &cobra.Command{
		Use: name + " NAME", Short: short, Example: "  rudderctl data-centre " + name + " kigali-2", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.change(cmd, &options, method, "/data-centres/"+args[0]+"/evacuation", nil)
		},
	}
	options.addFlags(command)
	return command
}

func (c *control) dataCentreList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the data centres, whether they are evacuated, and what runs there",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			type answer struct {
				DataCentres []rudderadmin.DataCentre `json:"data_centres"`
			}
			return get(c, cmd, "/data-centres", nil, func(a answer) []any {
				t := &table{header: []string{"NAME", "EVACUATED", "HOSTS", "GROUPS", "RUNNING", "WAITING", "NO REPORT"}}
				for _, d := range a.DataCentres {
					t.add(d.Name, d.Evacuated, d.Hosts, d.Groups, d.Running, d.Waiting, d.Unreported)
				}
				return []any{t}
			})
		},
	}
}

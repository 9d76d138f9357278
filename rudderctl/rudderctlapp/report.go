package rudderctlapp

import (
	"github.com/spf13/cobra"
)

func (c *control) reportCommand() *cobra.Command {
	command := &cobra.Command{Use: "report", Short: "Reports on service levels"}
	return command
}

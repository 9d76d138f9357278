package rudderctlapp

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"comfreyrudder.example/shared/rudderadmin"
)

func (c *control) hostCommand() *cobra.Command {
	return newParent("host", "List hosts, change their labels, and declare which check fencing numbers", c.hostList(), c.hostLabel(), c.hostFencing())
}

type hostsAnswer struct {
	Hosts []rudderadmin.Host `json:"hosts"`
}

func (c *control) hostList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the hosts with their labels and groups",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return get(c, cmd, "/hosts", nil, func(a hostsAnswer) []any {
				t := &table{header: []string{"NAME", "DOMAIN", "DATA CENTRE", "STATE", "GROUP", "LABELS"}}
				for _, h := range a.Hosts {
					state := h.State
					if h.Drain {
						state += ",drain"
					}
					t.add(h.Name, h.FabricDomain, h.DataCentre, state, h.Group, labelText(h.Labels))
				}
				return []any{t}
			})
		},
	}
}

func labelText(labels map[string]string) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, key+"="+labels[key])
	}
	return strings.Join(parts, ",")
}

func (c *control) hostLabel() *cobra.Command {
	var options changeOptions
	command := &cobra.Command{
		Use:     "label HOST KEY=VALUE... [KEY-...]",
		Short:   "Set labels of a host, or remove those that end in a hyphen",
		Example: "  rudderctl host label kgl-1-a-03 firm=umuvumu tier=fast\n  rudderctl host label kgl-1-a-03 tier-",
		Args:    minimumArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkNames(args[:1]); err != nil {
				return err
			}
			change, err := parseLabels(args[1:])
			if err != nil {
				return err
			}
			return c.change(cmd, &options, http.MethodPatch, "/hosts/"+args[0]+"/labels", change)
		},
	}
	options.addFlags(command)
	return command
}

func (c *control) hostFencing() *cobra.Command {
	var options changeOptions
	var off bool
	command := &cobra.Command{
		Use:   "fencing HOST",
		Short: "Declare that a host's engine refuses orders with an old fencing number",
		Long: "Declares that a host's engine refuses orders with an old fencing number. Once all engines of\n" +
			"a fabric domain are declared, its new planner need not wait for old orders to expire. Declare it only for\n" +
			"engines that do check.",
		Example: "  rudderctl host fencing kgl-1-a-03\n  rudderctl host fencing kgl-1-a-03 --off",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			method := http.MethodPut
			if off {
				method = http.MethodDelete
			}
			return c.change(cmd, &options, method, "/hosts/"+args[0]+"/fencing", nil)
		},
	}
	options.addFlags(command)
	command.Flags().BoolVar(&off, "off", false, "withdraw the declaration")
	return command
}

func parseLabels(arguments []string) (rudderadmin.LabelChange, error) {
	change := rudderadmin.LabelChange{Set: map[string]string{}}
	for _, argument := range arguments {
		if key, value, found := strings.Cut(argument, "="); found && key != "" {
			change.Set[key] = value
			continue
		}
		key, removes := strings.CutSuffix(argument, "-")
		if !removes || key == "" {
			return change, errors.Mark(errors.Newf("%q is neither KEY=VALUE nor KEY-", argument), errUsage)
		}
		change.Remove = append(change.Remove, key)
	}
	return change, nil
}

func (c *control) drainCommand() *cobra.Command {
	return c.newDrainCommand("drain", "Take a host out of service without cutting its requests", http.MethodPut)
}

func (c *control) undrainCommand() *cobra.Command {
	return c.newDrainCommand("undrain", "Let a drained host serve again", http.MethodDelete)
}

func (c *control) newDrainCommand(name, short, method string) *cobra.Command {
	var options changeOptions
	command := &cobra.Command{
		Use: name + " HOST", Short: short, Example: "  rudderctl " + name + " kgl-1-a-03", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.change(cmd, &options, method, "/hosts/"+args[0]+"/drain", nil)
		},
	}
	options.addFlags(command)
	return command
}

func (c *control) whyNotCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "why-not HOST",
		Short:   "Say why a host is in no serving group",
		Example: "  rudderctl why-not kgl-1-a-03",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			type answer struct {
				Host    string               `json:"host"`
				Reasons []rudderadmin.Reason `json:"reasons"`
			}
			return get(c, cmd, "/why-not/"+args[0], nil, func(a answer) []any { return []any{reasonTable(a.Reasons)} })
		},
	}
}

func reasonTable(reasons []rudderadmin.Reason) *table {
	t := &table{header: []string{"REASON", "GROUP", "HOST", "EXPLANATION"}}
	for _, r := range reasons {
		t.add(r.Code, r.Group, r.Host, r.Text)
	}
	return t
}

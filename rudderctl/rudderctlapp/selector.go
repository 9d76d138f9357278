package rudderctlapp

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"sigs.k8s.io/yaml"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

func (c *control) selectorCommand() *cobra.Command {
	return newParent("selector", "Read, change and explain selectors",
		c.selectorGet(), c.selectorApply(), c.selectorDelete(), c.selectorExplain())
}

func (c *control) selectorGet() *cobra.Command {
	return &cobra.Command{
		Use:   "get [NAME]",
		Short: "List the selectors, or print one as YAML",
		Args: func(cmd *cobra.Command, args []string) error {
			return errors.Mark(cobra.MaximumNArgs(1)(cmd, args), errUsage)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return get(c, cmd, "/selectors/"+args[0], nil, func(s rudderconfig.Selector) []any {
					return []any{yamlText(s)}
				})
			}
			type answer struct {
				Selectors []rudderconfig.Selector `json:"selectors"`
			}
			return get(c, cmd, "/selectors", nil, func(a answer) []any { return []any{selectorTable(a.Selectors)} })
		},
	}
}

func selectorTable(selectors []rudderconfig.Selector) *table {
	t := &table{header: []string{"NAME", "FIRM", "WORK", "SIZE", "WANTED", "PRIORITY", "WINDOWS"}}
	for _, s := range selectors {
		work := s.Model
		if s.Service != "" {
			work = "service " + s.Service
		}
		var windows []string
		for _, w := range s.Windows {
			windows = append(windows, w.From+"-"+w.To+" "+w.TimeZone)
		}
		t.add(s.Name, s.Firm, work, s.GroupSize, wantedText(s.WantedGroups), s.Priority, strings.Join(windows, "; "))
	}
	return t
}

func wantedText(wanted int) string {
	if wanted == 0 {
		return "all"
	}
	return fmt.Sprint(wanted)
}

func (c *control) selectorApply() *cobra.Command {
	var options changeOptions
	var file string
	command := &cobra.Command{
		Use:     "apply -f FILE",
		Short:   "Add or replace one selector from YAML or JSON",
		Example: "  rudderctl selector apply -f night.yaml --dry-run",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.readFile(file)
			if err != nil {
				return err
			}
			var selector rudderconfig.Selector
			if err := yaml.UnmarshalStrict(text, &selector); err != nil {
				return errors.Mark(errors.Wrap(err, "the file is not a selector"), errUsage)
			}
			if selector.Name == "" {
				return errors.Mark(errors.New("the selector has no name"), errUsage)
			}
			return c.change(cmd, &options, http.MethodPut, "/selectors/"+selector.Name, selector)
		},
	}
	options.addFlags(command)
	command.Flags().StringVarP(&file, "file", "f", "-", "file with the selector, or - for standard input")
	return command
}

func (c *control) selectorDelete() *cobra.Command {
	var options changeOptions
	command := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete a selector; its groups drain and finish what runs",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.change(cmd, &options, http.MethodDelete, "/selectors/"+args[0], nil)
		},
	}
	options.addFlags(command)
	return command
}

func (c *control) selectorExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain NAME",
		Short:   "Say what a selector gets in each fabric domain, and why not more",
		Example: "  rudderctl selector explain umuvumu-notes",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return get(c, cmd, "/selectors/"+args[0]+"/explain", nil, explanationParts)
		},
	}
}

func explanationParts(e rudderadmin.Explanation) []any {
	state := "not active now"
	if e.Active {
		state = "active"
	}
	if !e.NextChange.IsZero() {
		state += ", next change " + e.NextChange.Format(time.RFC3339)
	}
	summary := fmt.Sprintf("%s: %s; wanted groups: %s, missing: %d", e.Selector, state, wantedText(e.Wanted), e.Missing)
	domains := &table{header: []string{"DOMAIN", "MATCHING HOSTS", "USABLE", "SHARE", "SERVING", "LOADING", "DRAINING"}}
	for _, d := range e.Domains {
		domains.add(d.Domain, d.Matching, d.Usable, d.Share, d.Serving, d.Loading, d.Draining)
	}
	parts := []any{summary, domains}
	if len(e.Reasons) > 0 {
		parts = append(parts, "", reasonTable(e.Reasons))
	}
	return parts
}

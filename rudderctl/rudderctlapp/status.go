package rudderctlapp

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"comfreyrudder.example/shared/rudderadmin"
)

func (c *control) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show entry hosts, selectors and stranded hosts",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return get(c, cmd, "/status", nil, statusParts)
		},
	}
}

func statusParts(s rudderadmin.Status) []any {
	entries := &table{header: []string{"ENTRY HOST", "DATA CENTRE", "ADDRESS", "STATE", "VERSION", "IN FLIGHT", "SEEN"}}
	for _, e := range s.EntryHosts {
		state := "live"
		switch {
		case e.Leaving:
			state = "leaving"
		case !e.Live:
			state = "silent"
		}
		entries.add(e.Name, e.DataCentre, e.CallerAddress, state, e.ConfigVersion, e.InFlight, seenText(e.AgeMS))
	}
	selectors := &table{header: []string{"SELECTOR", "ACTIVE", "WANTED", "SERVING", "MISSING"}}
	for _, x := range s.Selectors {
		selectors.add(x.Name, x.Active, wantedText(x.Wanted), x.Serving, x.Missing)
	}
	permit := "by " + s.PermitRule
	if !s.Permit {
		permit = "none: " + s.PermitReason
	}
	parts := []any{
		fmt.Sprintf("entry host %s, configuration version %d, permit %s", s.Entry, s.ConfigVersion, permit),
		"", entries, "", selectors, "",
		fmt.Sprintf("%d hosts, %d stranded", s.Hosts, len(s.Stranded)),
	}
	return append(parts, nameLines(s.Stranded)...)
}

func seenText(ageMS int64) string {
	if ageMS == rudderadmin.AgeUnknown {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ageMS)
}

// namesPerLine keeps lines of host names within the width of a usual terminal.
const namesPerLine = 6

// nameLines formats names as indented lines of at most namesPerLine names.
func nameLines(names []string) []any {
	var parts []any
	for chunk := range slices.Chunk(names, namesPerLine) {
		parts = append(parts, "  "+strings.Join(chunk, " "))
	}
	return parts
}

func (c *control) groupCommand() *cobra.Command {
	return newParent("group", "Look at groups of hosts", &cobra.Command{
		Use:   "list",
		Short: "List all groups with their hosts and why one takes no new work",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			type answer struct {
				Groups []rudderadmin.Group `json:"groups"`
			}
			return get(c, cmd, "/groups", nil, func(a answer) []any {
				t := &table{header: []string{"GROUP", "DOMAIN", "SELECTOR", "WORK", "STATE", "WHY NOT", "LOAD", "HOSTS"}}
				for _, g := range a.Groups {
					load := fmt.Sprintf("%d+%d/%d", g.Running, g.Waiting, g.Slots)
					t.add(g.ID, g.Domain, g.Selector, g.Work, g.State, g.NotServingReason, load, strings.Join(g.Hosts, ","))
				}
				return []any{t}
			})
		},
	})
}

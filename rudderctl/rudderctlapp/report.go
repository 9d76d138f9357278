package rudderctlapp

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"comfreyrudder.example/shared/rudderadmin"
)

func (c *control) reportCommand() *cobra.Command {
	return newParent("report", "Reports on service levels", &cobra.Command{
		Use:   "burn",
		Short: "Show how fast each objective's error budget burns, and what burnt it",
		Long: "Shows, for each objective, the burn over 5 minutes, 1 hour, 6 hours and 24 hours (1 spends the budget exactly),\n" +
			"the budget that is left, and what burnt it. The same report as a page: http://ADMIN-ADDRESS/report",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return get(c, cmd, "/report/burn", nil, burnParts)
		},
	})
}

func burnParts(r rudderadmin.BurnReport) []any {
	levels := &table{header: []string{"FIRM", "WORKSPACE", "LEVEL", "TARGET", "LIMIT", "BURN 5m", "1h", "6h", "24h", "BUDGET LEFT"}}
	causes := &table{header: []string{"FIRM", "WORKSPACE", "REFUSED", "LATE", "CUT", "MAY HAVE RUN"}}
	for _, o := range r.Objectives {
		for _, l := range o.Levels {
			row := []any{o.Firm, o.Workspace, l.Level, fmt.Sprintf("%.2f %%", 100*l.Target), limitText(l.LimitMS)}
			for _, w := range l.Windows {
				row = append(row, fmt.Sprintf("%.2f (%d/%d)", w.Burn, w.Bad, w.Total))
			}
			levels.add(append(row, fmt.Sprintf("%.1f %%", 100*l.BudgetLeft))...)
		}
		causes.add(o.Firm, o.Workspace, o.Causes.Refused, o.Causes.Late, o.Causes.Truncated, o.Causes.MayHaveRun)
	}
	parts := []any{levels, "", "What burnt it in 24 hours:", causes, ""}
	for _, selector := range slices.Sorted(maps.Keys(r.GroupDowntimeMS)) {
		downtime := time.Duration(r.GroupDowntimeMS[selector]) * time.Millisecond
		parts = append(parts, fmt.Sprintf("group downtime of %s: %s", selector, downtime))
	}
	parts = append(parts, fmt.Sprintf("stranded accelerators: %d on %d hosts", r.StrandedAccelerators, len(r.Stranded)))
	parts = append(parts, nameLines(r.Stranded)...)
	return append(parts, entrySources(r)...)
}

func limitText(limitMS int) string {
	if limitMS == 0 {
		return ""
	}
	return fmt.Sprintf("%d ms", limitMS)
}

// entrySources lists the entry hosts that did not answer, whose counts are stored ones or missing.
func entrySources(r rudderadmin.BurnReport) []any {
	var parts []any
	for _, e := range r.Entries {
		switch e.Source {
		case "stored":
			parts = append(parts, fmt.Sprintf("entry host %s could not be asked; its counts are %d s old", e.Entry, e.AgeMS/1000))
		case "missing":
			parts = append(parts, fmt.Sprintf("entry host %s could not be asked, and no counts of it are stored", e.Entry))
		}
	}
	if len(parts) == 0 {
		parts = append(parts, fmt.Sprintf("all %d entry hosts were asked", len(r.Entries)))
	}
	return parts
}

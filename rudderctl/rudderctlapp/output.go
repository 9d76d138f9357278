package rudderctlapp

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderadmin"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// table is a header and rows of text cells, printed with aligned columns.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes the value as JSON or, for table output, the tables and lines that render returns.
func (c *control) print(value any, render func() []any) error {
	if c.output == outputJSON {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	for _, part := range render() {
		if t, ok := part.(*table); ok {
			if err := c.printTable(t); err != nil {
				return err
			}
			continue
		}
		if _, err := fmt.Fprintln(c.stdout, part); err != nil {
			return err
		}
	}
	return nil
}

func (c *control) printTable(t *table) error {
	writer := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return errors.Wrap(writer.Flush(), "writing the table")
}

// printChange prints the result of a change. It returns errPending for a pending change, which has its own
// exit code.
func (c *control) printChange(result rudderadmin.ChangeResult) error {
	err := c.print(result, func() []any {
		var parts []any
		for _, line := range result.Diff {
			parts = append(parts, line)
		}
		for _, w := range result.Warnings {
			parts = append(parts, "warning: "+w.Path+": "+w.Message)
		}
		switch result.State {
		case rudderadmin.StateDryRun:
			parts = append(parts, fmt.Sprintf("dry run against version %d, nothing was changed", result.Version))
		case rudderadmin.StateUnchanged:
			parts = append(parts, fmt.Sprintf("version %d says so already, nothing was changed", result.Version))
		case rudderadmin.StatePending:
			parts = append(parts, fmt.Sprintf("version %d is written and pending at: %s", result.Version, strings.Join(result.Missing, ", ")))
		default:
			text := fmt.Sprintf("version %d is in force everywhere after %d ms", result.Version, result.InForceMS)
			if result.Slowest != "" {
				text += ", slowest " + result.Slowest
			}
			parts = append(parts, text)
		}
		return parts
	})
	if err == nil && result.State == rudderadmin.StatePending {
		return errPending
	}
	return err
}

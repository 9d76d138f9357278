package rudderbench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Row is one line of the table of measurements. A nil value does not apply.
type Row struct {
	Section      string   `json:"section"`
	Measure      string   `json:"measure"`
	BaselineName string   `json:"baseline_name,omitempty"`
	Baseline     *float64 `json:"baseline,omitempty"`
	Value        *float64 `json:"now,omitempty"`
	Ratio        *float64 `json:"ratio,omitempty"` // now to baseline
	Bound        *float64 `json:"bound,omitempty"` // from the stated target
	Met          bool     `json:"met"`
	// Detail marks a row that is written to the file but not printed.
	Detail bool `json:"detail,omitempty"`
	// Note gives the source of the bound or of the figure.
	Note string `json:"note,omitempty"`
}

// number returns a pointer, or nil for a value that JSON cannot hold.
func number(v float64) *float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return nil
	}
	return &v
}

// row builds a line; NaN marks a baseline or a bound that does not exist.
func row(section, measure, baselineName string, baseline, now, bound float64, met bool) Row {
	r := Row{Section: section, Measure: measure, BaselineName: baselineName, Baseline: number(baseline), Value: number(now), Bound: number(bound), Met: met}
	if !math.IsNaN(baseline) && baseline != 0 {
		r.Ratio = number(now / baseline)
	}
	return r
}

// atMost builds a line whose value must not exceed the bound.
func atMost(section, measure, baselineName string, baseline, now, bound float64) Row {
	return row(section, measure, baselineName, baseline, now, bound, math.IsNaN(bound) || now <= bound)
}

func routingRows(section string, results []RoutingResult) []Row {
	var rows []Row
	for _, r := range results {
		baseline := math.NaN()
		if !math.IsNaN(r.Ratio) && r.Ratio != 0 {
			baseline = r.Value / r.Ratio
		}
		rows = append(rows, row(section, r.Measure, r.Baseline, baseline, r.Value, r.Bound, r.Met))
	}
	return rows
}

// claimsBounded are the measures of claims that have a bound. The others are details.
var claimsBounded = []string{"/writes_per_s", "/added_ms_p95", "/refused_share", "/double_grants"}

func claimsRows(figures []ClaimsResult) []Row {
	var rows []Row
	for _, f := range figures {
		bounded := slices.ContainsFunc(claimsBounded, func(suffix string) bool { return strings.HasSuffix(f.Measure, suffix) })
		bound := math.NaN()
		if bounded {
			bound = f.Bound
		}
		r := row("claims", f.Measure, "one write each", f.Baseline, f.Value, bound, f.Met)
		r.Detail = !bounded
		rows = append(rows, r)
	}
	return rows
}

func text(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *v)
}

// PrintTable writes the rows as one table and returns how many bounds were missed.
func PrintTable(w io.Writer, rows []Row) int {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SECTION\tMEASURE\tBASELINE\t\tNOW\tRATIO\tBOUND\tRESULT")
	missed := 0
	for _, r := range rows {
		if r.Detail {
			continue
		}
		result := "met"
		switch {
		case !r.Met:
			result = "MISSED"
			missed++
		case r.Bound == nil:
			result = "-"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Section, r.Measure, r.BaselineName, text(r.Baseline), text(r.Value), text(r.Ratio), text(r.Bound), result)
	}
	_ = table.Flush() // the writer's error shows in what is printed
	_, _ = fmt.Fprintln(w, "violations of the promises: see rudderstand faults and rudderstand demo, which are not run here")
	return missed
}

// WriteTable writes the rows as JSON, creating the directory.
func WriteTable(path string, rows []Row) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "create output directory")
	}
	value, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode rows")
	}
	return errors.Wrap(os.WriteFile(path, append(value, '\n'), 0o644), "write rows")
}

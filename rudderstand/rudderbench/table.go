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

// Row is one row of the table of measurements. A nil value does not apply.
type Row struct {
	Section      string   `json:"section"`
	Measure      string   `json:"measure"`
	BaselineName string   `json:"baseline_name,omitempty"`
	Baseline     *float64 `json:"baseline,omitempty"`
	Value        *float64 `json:"now,omitempty"`
	Ratio        *float64 `json:"ratio,omitempty"` // value divided by baseline
	Bound        *float64 `json:"bound,omitempty"` // the limit that the design states
	Met          bool     `json:"met"`
	// Detail marks a row that is written to the JSON file but not printed.
	Detail bool `json:"detail,omitempty"`
	// Note gives the source of the bound or of the figure.
	Note string `json:"note,omitempty"`
}

// jsonNumber returns a pointer to the value, or nil for NaN and infinities, which JSON cannot represent.
func jsonNumber(v float64) *float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return nil
	}
	return &v
}

// newRow builds a row. NaN stands for a missing baseline or bound.
func newRow(section, measure, baselineName string, baseline, now, bound float64, met bool) Row {
	r := Row{Section: section, Measure: measure, BaselineName: baselineName, Baseline: jsonNumber(baseline), Value: jsonNumber(now), Bound: jsonNumber(bound), Met: met}
	if !math.IsNaN(baseline) && baseline != 0 {
		r.Ratio = jsonNumber(now / baseline)
	}
	return r
}

// boundedRow builds a row whose value must not exceed the bound, if there is one.
func boundedRow(section, measure, baselineName string, baseline, now, bound float64) Row {
	return newRow(section, measure, baselineName, baseline, now, bound, math.IsNaN(bound) || now <= bound)
}

func routingRows(section string, results []RoutingResult) []Row {
	var rows []Row
	for _, r := range results {
		baseline := math.NaN()
		if !math.IsNaN(r.Ratio) && r.Ratio != 0 {
			baseline = r.Value / r.Ratio
		}
		rows = append(rows, newRow(section, r.Measure, r.Baseline, baseline, r.Value, r.Bound, r.Met))
	}
	return rows
}

// claimsBounded are the suffixes of the claims measures that are printed with a bound. The others are details.
var claimsBounded = []string{"/writes_per_s", "/added_ms_p95", "/refused_share", "/double_grants"}

func claimsRows(figures []ClaimsResult) []Row {
	var rows []Row
	for _, f := range figures {
		bounded := slices.ContainsFunc(claimsBounded, func(suffix string) bool { return strings.HasSuffix(f.Measure, suffix) })
		bound := math.NaN()
		if bounded {
			bound = f.Bound
		}
		r := newRow("claims", f.Measure, "one write each", f.Baseline, f.Value, bound, f.Met)
		r.Detail = !bounded
		rows = append(rows, r)
	}
	return rows
}

func formatNumber(v *float64) string {
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
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Section, r.Measure, r.BaselineName, formatNumber(r.Baseline), formatNumber(r.Value), formatNumber(r.Ratio), formatNumber(r.Bound), result)
	}
	_ = table.Flush() // an error of the writer shows as missing output
	_, _ = fmt.Fprintln(w, "violations of the promises: see rudderstand faults and rudderstand demo, which are not run here")
	return missed
}

// WriteTable writes the rows as JSON, and creates the directory if needed.
func WriteTable(path string, rows []Row) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrapf(err, "create output directory %s", filepath.Dir(path))
	}
	value, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode %d rows", len(rows))
	}
	return errors.Wrap(os.WriteFile(path, append(value, '\n'), 0o644), "write rows")
}

package rudderload

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderoracle"
)

// Range and precision of the histograms, in microseconds.
const (
	shortestMicroseconds = 1
	longestMicroseconds  = 120_000_000
	significantDigits    = 3
)

// Quantiles holds quantiles of a duration in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Row holds what the callers of one firm saw of one class of requests.
type Row struct {
	Firm  string `json:"firm"`
	Class string `json:"class"`
	// Outcomes counts requests by outcome; the key of not_run includes the error code.
	Outcomes  map[string]int `json:"outcomes"`
	WrongText int            `json:"wrong_text"`
	// Waiting is the time from the arrival to the first token, and FirstToken that from the last attempt.
	Waiting    Quantiles `json:"waiting"`
	FirstToken Quantiles `json:"first_token"`
	Gap        Quantiles `json:"gap"`
}

// Result is the result of a load.
type Result struct {
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	Attempts int     `json:"attempts"`
	Rows     []Row   `json:"rows"`
}

// WrongTexts returns the number of answers whose text is not the expected one.
func (r Result) WrongTexts() int {
	count := 0
	for _, row := range r.Rows {
		count += row.WrongText
	}
	return count
}

type key struct{ firm, class string }

// collector collects the results of concurrent requests.
type collector struct {
	mu                 sync.Mutex
	rows               map[key]*histograms
	requests, attempts int
}

type histograms struct {
	row                      Row
	waiting, firstToken, gap *hdrhistogram.Histogram
}

func newCollector() *collector { return &collector{rows: map[key]*histograms{}} }

func newHistograms(k key) *histograms {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(shortestMicroseconds, longestMicroseconds, significantDigits)
	}
	return &histograms{
		row:     Row{Firm: k.firm, Class: k.class, Outcomes: map[string]int{}},
		waiting: histogram(), firstToken: histogram(), gap: histogram(),
	}
}

func (c *collector) add(firm, class string, r ruddercaller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := key{firm, class}
	h, found := c.rows[k]
	if !found {
		h = newHistograms(k)
		c.rows[k] = h
	}
	c.requests++
	c.attempts += r.Attempts
	h.row.Outcomes[outcomeOf(r.Answer)]++
	if wrongText(r.Answer) {
		h.row.WrongText++
	}
	if r.FirstToken > 0 {
		_ = h.waiting.RecordValue(r.Waiting.Microseconds())
		_ = h.firstToken.RecordValue(r.FirstToken.Microseconds())
	}
	for _, gap := range r.Gaps {
		_ = h.gap.RecordValue(gap.Microseconds())
	}
}

func outcomeOf(a rudderoracle.Answer) string {
	switch a.Outcome {
	case rudderoracle.OutcomeUnknown:
		return ruddercaller.CodeConnectionLost
	case rudderoracle.OutcomeNotRun:
		return a.Outcome + ":" + a.Code
	default:
		return a.Outcome
	}
}

// wrongText reports whether a complete answer differs from the expected text, or a partial one from its
// beginning.
func wrongText(a rudderoracle.Answer) bool {
	if a.Service != "" || a.Prompt == "" {
		return false
	}
	want := rudderengine.ExpectedText(rudderoracle.PromptOf(a.Prompt), a.MaxTokens)
	if a.Outcome == rudderoracle.OutcomeComplete {
		return a.Text != want
	}
	return !strings.HasPrefix(want, a.Text)
}

func (c *collector) result(took time.Duration) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := Result{Seconds: took.Seconds(), Requests: c.requests, Attempts: c.attempts}
	for _, h := range c.rows {
		result.Rows = append(result.Rows, h.finish())
	}
	slices.SortFunc(result.Rows, func(a, b Row) int { return strings.Compare(a.Firm+"/"+a.Class, b.Firm+"/"+b.Class) })
	return result
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsecondsPerMillisecond = 1000
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsecondsPerMillisecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// WriteJSON writes the result as JSON.
func (r Result) WriteJSON(output io.Writer) error { return json.NewEncoder(output).Encode(r) }

// WriteTable writes the result as a table; times are p50/p95/p99 in milliseconds.
func (r Result) WriteTable(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "FIRM\tCLASS\tWAITING MS\tFIRST TOKEN MS\tGAP MS\tWRONG TEXT\tOUTCOMES")
	for _, row := range r.Rows {
		outcomes := make([]string, 0, len(row.Outcomes))
		for _, name := range sortedKeys(row.Outcomes) {
			outcomes = append(outcomes, fmt.Sprintf("%s %d", name, row.Outcomes[name]))
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", row.Firm, row.Class, row.Waiting, row.FirstToken, row.Gap,
			row.WrongText, strings.Join(outcomes, ", "))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(output, "%d requests in %d attempts, %.1f s\n", r.Requests, r.Attempts, r.Seconds)
	return err
}

// String writes the quantiles as p50/p95/p99.
func (q Quantiles) String() string { return fmt.Sprintf("%.0f/%.0f/%.0f", q.P50, q.P95, q.P99) }

package rudderdemo

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderoracle"
)

// Range and precision of the histograms, in microseconds.
const (
	shortestMicroseconds = 1
	longestMicroseconds  = 120_000_000
	significantDigits    = 3
)

// figures collects what callers saw.
type figures struct {
	streams atomic.Int64 // that deliver tokens now

	mu      sync.Mutex
	classes map[string]*classFigures
}

type classFigures struct {
	outcomes                 map[string]int
	waiting, firstToken, gap *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestMicroseconds, longestMicroseconds, significantDigits)
}

func (f *figures) add(class string, r ruddercaller.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.classes == nil {
		f.classes = map[string]*classFigures{}
	}
	c, found := f.classes[class]
	if !found {
		c = &classFigures{outcomes: map[string]int{}, waiting: newHistogram(), firstToken: newHistogram(), gap: newHistogram()}
		f.classes[class] = c
	}
	outcome := r.Answer.Outcome
	if outcome == rudderoracle.OutcomeNotRun {
		outcome += ":" + r.Answer.Code
	}
	c.outcomes[outcome]++
	if r.FirstToken > 0 {
		_ = c.waiting.RecordValue(r.Waiting.Microseconds())
		_ = c.firstToken.RecordValue(r.FirstToken.Microseconds())
	}
	for _, gap := range r.Gaps {
		_ = c.gap.RecordValue(gap.Microseconds())
	}
}

// summary returns one line for each class of requests.
func (f *figures) summary(answers []rudderoracle.Answer) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	lines := []string{fmt.Sprintf("callers sent %d attempts; times are p50/p95/p99", len(answers))}
	names := make([]string, 0, len(f.classes))
	for name := range f.classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c := f.classes[name]
		lines = append(lines, fmt.Sprintf("%-6s %s", name, counts(c.outcomes)))
		if c.firstToken.TotalCount() > 0 {
			lines = append(lines, fmt.Sprintf("       first send to first token %s, last send to first token %s, between tokens %s",
				percentiles(c.waiting), percentiles(c.firstToken), percentiles(c.gap)))
		}
	}
	return lines
}

func counts(outcomes map[string]int) string {
	var parts []string
	for outcome, n := range outcomes {
		if outcome == rudderoracle.OutcomeUnknown {
			outcome = "connection_lost"
		}
		parts = append(parts, fmt.Sprintf("%s %d", outcome, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func percentiles(h *hdrhistogram.Histogram) string {
	at := func(p float64) time.Duration { return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond }
	return fmt.Sprintf("%d/%d/%d ms", at(50).Milliseconds(), at(95).Milliseconds(), at(99).Milliseconds())
}

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

// stats collects outcomes and latencies as callers observed them.
type stats struct {
	streams atomic.Int64 // streams that are delivering tokens now

	mu      sync.Mutex
	classes map[string]*classStats
}

type classStats struct {
	outcomes                 map[string]int
	waiting, firstToken, gap *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestMicroseconds, longestMicroseconds, significantDigits)
}

func (s *stats) add(class string, r ruddercaller.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.classes == nil {
		s.classes = map[string]*classStats{}
	}
	c, found := s.classes[class]
	if !found {
		c = &classStats{outcomes: map[string]int{}, waiting: newHistogram(), firstToken: newHistogram(), gap: newHistogram()}
		s.classes[class] = c
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

// summary returns the number of attempts, and the outcomes and latencies of each class of requests, as lines
// of text.
func (s *stats) summary(answers []rudderoracle.Answer) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := []string{fmt.Sprintf("callers sent %d attempts; times are p50/p95/p99", len(answers))}
	names := make([]string, 0, len(s.classes))
	for name := range s.classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c := s.classes[name]
		lines = append(lines, fmt.Sprintf("%-6s %s", name, formatCounts(c.outcomes)))
		if c.firstToken.TotalCount() > 0 {
			lines = append(lines, fmt.Sprintf("       first send to first token %s, last send to first token %s, between tokens %s",
				formatPercentiles(c.waiting), formatPercentiles(c.firstToken), formatPercentiles(c.gap)))
		}
	}
	return lines
}

func formatCounts(outcomes map[string]int) string {
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

func formatPercentiles(h *hdrhistogram.Histogram) string {
	at := func(p float64) time.Duration { return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond }
	return fmt.Sprintf("%d/%d/%d ms", at(50).Milliseconds(), at(95).Milliseconds(), at(99).Milliseconds())
}

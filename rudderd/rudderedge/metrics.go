package rudderedge

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

// reservoirSize and reservoirAlpha weigh the last five minutes most.
const (
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

func (e *Edge) count(name string) { metrics.GetOrRegisterCounter(name, e.registry).Inc(1) }

func (e *Edge) observe(name string, d time.Duration) {
	histogram := metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	if h, ok := histogram.(metrics.Histogram); ok {
		h.Update(d.Milliseconds())
	}
}

// report writes all counters, gauges and histograms as text, one value a line.
func (e *Edge) report(c echo.Context) error {
	var lines []string
	e.registry.Each(func(name string, metric any) {
		name = strings.ReplaceAll(name, ".", "_")
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.95, 0.99} {
				lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", name, q, s.Percentile(q)))
			}
			lines = append(lines, fmt.Sprintf("%s_count %d", name, s.Count()))
		}
	})
	snapshot := e.view.Snapshot()
	age, _ := e.view.LookAge()
	lines = append(lines,
		fmt.Sprintf("requests_in_flight %d", e.forwarder.InFlight()),
		fmt.Sprintf("targets_known %d", len(snapshot.Targets)),
		fmt.Sprintf("entries_known %d", len(snapshot.Entries)),
		fmt.Sprintf("suspicions_known %d", len(snapshot.Suspicions)),
		fmt.Sprintf("look_age_ms %d", age.Milliseconds()))
	if snapshot.Table != nil {
		lines = append(lines, fmt.Sprintf("routing_version %d", snapshot.Table.Version()))
	}
	sort.Strings(lines)
	return c.String(http.StatusOK, strings.Join(lines, "\n")+"\n")
}

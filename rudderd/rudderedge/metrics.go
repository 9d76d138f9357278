package rudderedge

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"comfreyrudder.example/shared/rudderstore"
)

// reservoirSize and reservoirAlpha are the parameters of the exponentially decaying samples; they weight the last five
// minutes most.
const (
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

const (
	// storeCalls is the name prefix of the counters of calls to the key-value service, by kind and outcome.
	storeCalls = "store.calls."
	// storeCallsInterval is the time between two log lines with those counters.
	storeCallsInterval = 10 * time.Second
)

// CountStoreCall counts one call to the key-value service. It must not be called before Prepare or Run.
func (e *Edge) CountStoreCall(kind string, err error) {
	e.count(storeCalls + kind + "." + storeOutcome(err))
}

// StoreRestored notes that the key-value service answers in a later era than before: it has been restored from a copy, or
// this is its first response.
func (e *Edge) StoreRestored(era int64) {
	e.count("store.restores")
	snapshot := e.view.Snapshot()
	version := int64(0)
	if snapshot.Table != nil {
		version = snapshot.Table.Version()
	}
	e.session.checkNow()
	e.Logger.Warn().Int64("store_era", era).Int64("revision", snapshot.Revision).Int64("version", version).Msg("key-value service answers in a new era")
}

// storeOutcome names the outcome of a call to the key-value service.
func storeOutcome(err error) string {
	for _, x := range []struct {
		err  error
		name string
	}{
		{nil, "ok"}, {rudderstore.ErrNotFound, "not_found"}, {rudderstore.ErrConflict, "conflict"}, {rudderstore.ErrCompacted, "compacted"},
		{rudderstore.ErrRateLimited, "rate_limited"}, {rudderstore.ErrUnknownOutcome, "unknown"},
	} {
		if errors.Is(err, x.err) {
			return x.name
		}
	}
	return "unavailable"
}

// logStoreCalls periodically logs the number of calls to the key-value service, which is shared by the whole fleet and
// charged by the call, until the context is cancelled.
func (e *Edge) logStoreCalls(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, storeCallsInterval)
		counts := zerolog.Dict()
		e.registry.Each(func(name string, metric any) {
			if kind, found := strings.CutPrefix(name, storeCalls); found {
				if c, counter := metric.(metrics.Counter); counter {
					counts = counts.Int64(kind, c.Count())
				}
			}
		})
		e.Logger.Info().Dict("calls", counts).Bool("watching", e.view.WatchesDirectly()).Bool("planning", e.planner.Planning()).
			Msg("calls to the key-value service since the start")
	}
	return nil
}

func (e *Edge) count(name string) { e.countN(name, 1) }

func (e *Edge) countN(name string, n int) {
	metrics.GetOrRegisterCounter(name, e.registry).Inc(int64(n))
}

func (e *Edge) observe(name string, d time.Duration) {
	histogram := metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	if h, ok := histogram.(metrics.Histogram); ok {
		h.Update(d.Milliseconds())
	}
}

// groupLines returns the gauges of the groups that this entry host plans.
func (e *Edge) groupLines() []string {
	var lines []string
	for service, s := range e.planner.Summaries() {
		for model, n := range s.Groups {
			lines = append(lines, fmt.Sprintf("groups_planned{service=%q,model=%q} %d", service, model, n))
		}
		lines = append(lines, fmt.Sprintf("targets_idle{service=%q} %d", service, s.Idle), fmt.Sprintf("domains_moving{service=%q} %d", service, s.Moving))
	}
	return lines
}

// report serves all counters, gauges and histograms as text, one value per line.
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
	lines = append(lines, e.groupLines()...)
	snapshot := e.view.Snapshot()
	age, _ := e.view.Staleness()
	lines = append(lines,
		fmt.Sprintf("requests_in_flight %d", e.forwarder.InFlight()),
		fmt.Sprintf("connections_open %d", e.callers.Open()),
		fmt.Sprintf("memory_bodies %d", e.Account.Budgets.Bodies.Held()),
		fmt.Sprintf("targets_known %d", len(snapshot.Targets)),
		fmt.Sprintf("entries_known %d", len(snapshot.EntryHosts)),
		fmt.Sprintf("suspicions_known %d", len(snapshot.Suspicions)),
		fmt.Sprintf("data_centres_evacuated %d", len(snapshot.EvacuatedDataCentres())),
		fmt.Sprintf("prompt_parts_blocked %d", e.poison.blockedParts()),
		fmt.Sprintf("look_age_ms %d", age.Milliseconds()))
	if snapshot.Table != nil {
		lines = append(lines, fmt.Sprintf("routing_version %d", snapshot.Table.Version()))
	}
	sort.Strings(lines)
	return c.String(http.StatusOK, strings.Join(lines, "\n")+"\n")
}

package rudderapp

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"comfreyrudder.example/rudderd/rudderburn"
)

// reservoirSize and reservoirAlpha are the parameters of the exponentially decaying samples; they weight the last
// five minutes most.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// appMetrics holds the metrics of this entry host, for GET /metrics.
type appMetrics struct {
	registry metrics.Registry
}

func newMetrics() appMetrics { return appMetrics{registry: metrics.NewRegistry()} }

func (m appMetrics) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m appMetrics) gauge(name string, value func() int64) {
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// observe adds a duration, in milliseconds, to a histogram.
func (m appMetrics) observe(name string, d time.Duration) {
	histogram := metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	if h, ok := m.registry.GetOrRegister(name, histogram).(metrics.Histogram); ok {
		h.Update(d.Milliseconds())
	}
}

func (m appMetrics) observeResult(e rudderburn.RequestResult) {
	m.count("requests." + e.Outcome)
	m.observe("wait_ms", e.Wait)
	if e.FirstToken > 0 {
		m.observe("first_token_ms", e.FirstToken)
	}
	if e.MeanGap > 0 {
		m.observe("token_gap_ms", e.MeanGap)
	}
}

// wireMetrics registers the gauges, which read the parts when the metrics are requested.
func (a *App) wireMetrics() {
	a.metrics = newMetrics()
	a.metrics.gauge("requests.in_flight", func() int64 { return int64(a.answers.Running()) })
	a.metrics.gauge("members.live", func() int64 { return int64(len(a.node.Live())) })
	a.metrics.gauge("config.version", func() int64 { return a.config.Version().Number })
	a.metrics.gauge("data_centres.evacuated", func() int64 {
		if document := a.config.Current(); document != nil {
			return int64(len(document.EvacuatedDataCentres))
		}
		return 0
	})
	a.metrics.gauge("config.permit", func() int64 {
		if a.config.Permit(a.Clock.Now()) != nil {
			return 0
		}
		return 1
	})
	a.metrics.gauge("peers.bad_signature", func() int64 { return a.verifier.Refusals().Signature })
	a.metrics.gauge("peers.replayed", func() int64 { return a.verifier.Refusals().Replay })
	metrics.RegisterRuntimeMemStats(a.metrics.registry)
}

func (a *App) writeMetrics(c echo.Context) error {
	metrics.CaptureRuntimeMemStatsOnce(a.metrics.registry)
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().WriteHeader(http.StatusOK)
	metrics.WriteJSONOnce(a.metrics.registry, c.Response())
	return nil
}

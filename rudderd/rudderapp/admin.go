package rudderapp

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/rudderadminhttp"
	"comfreyrudder.example/rudderd/rudderchange"
	"comfreyrudder.example/rudderd/rudderpage"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// adminHandler serves the API and the pages for operators.
func (a *App) adminHandler() http.Handler {
	server := echo.New()
	server.HideBanner, server.HidePort = true, true
	server.GET("/healthz", a.adminHealth)
	server.GET("/report", func(c echo.Context) error { return c.HTMLBlob(http.StatusOK, rudderpage.BurnReport()) })
	api := &rudderadminhttp.API{
		Clock: a.Clock, Logger: a.Logger,
		Current: a.config.Current, Change: a.config.Change, AwaitInForce: a.config.Await, Validate: a.checkDocument,
		Parse: parseDocument, Merge: mergeDocuments, Diff: diffLines,
		History: a.configHistory, Version: a.configVersion,
		Status: a.statusReport, Hosts: a.hostReports, DataCentres: a.dataCentreReports, Groups: a.groupReports, Explain: a.explainSelector, WhyNot: a.whyNot,
		ForgetEntryHost: a.registrar.Forget, BurnReport: a.burnReport, BootstrapTokenHash: a.Settings.BootstrapTokenHash,
	}
	api.Register(server)
	server.GET("/metrics", a.writeMetrics)
	return server
}

func (a *App) adminHealth(c echo.Context) error {
	permit := a.config.Permit(a.Clock.Now())
	status, reason := http.StatusOK, ""
	if permit != nil {
		status, reason = http.StatusServiceUnavailable, permit.Error()
	}
	return c.JSON(status, struct {
		ConfigVersion int64  `json:"config_version"`
		Permit        bool   `json:"permit"`
		Reason        string `json:"reason,omitempty"`
	}{a.config.Version().Number, permit == nil, reason})
}

// configHistory lists the stored versions of the configuration, newest first.
func (a *App) configHistory(ctx context.Context) ([]rudderadmin.HistoryEntry, error) {
	entries, _, err := a.store.List(ctx, rudderconfig.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	history := make([]rudderadmin.HistoryEntry, 0, len(entries))
	for _, e := range slices.Backward(entries) {
		var version rudderadmin.HistoryEntry
		if err := json.Unmarshal(e.Value, &version); err != nil {
			return nil, errors.Wrapf(err, "decode history entry %s", e.Key)
		}
		history = append(history, version)
	}
	return history, nil
}

func (a *App) configVersion(ctx context.Context, number int64) (*rudderconfig.Document, error) {
	entry, _, err := a.store.Get(ctx, rudderchange.HistoryKey(number))
	if err != nil {
		return nil, err
	}
	var document rudderconfig.Document
	return &document, errors.Wrapf(json.Unmarshal(entry.Value, &document), "decode history entry %d", number)
}

// Package rudderadminhttp serves the admin API for operators. Its handlers check the operator, translate the
// request to a change of the configuration document or to a report, and write JSON.
package rudderadminhttp

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderchange"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// API holds the handlers of the admin API. Set the exported fields before calling Register.
type API struct {
	Clock  clockwork.Clock
	Logger zerolog.Logger

	// Current returns the configuration of this entry host, or nil when it has none yet.
	Current func() *rudderconfig.Document
	// Change writes a document as the version after expected and waits until that version is in force.
	Change func(ctx context.Context, expected int64, document *rudderconfig.Document, author, summary string) (rudderchange.Result, error)
	// AwaitInForce waits until the current version is in force.
	AwaitInForce func(ctx context.Context) (rudderchange.Result, error)
	// Validate checks a document against the configuration rules and the existing hosts, and returns the
	// findings.
	Validate func(ctx context.Context, document *rudderconfig.Document) []rudderadmin.Finding
	// Parse decodes a document from YAML or JSON. Merge adds the named items of a partial document to a base
	// document. Diff describes the changes between two documents.
	Parse func(text []byte) (*rudderconfig.Document, error)
	Merge func(base, partial *rudderconfig.Document) *rudderconfig.Document
	Diff  func(before, after *rudderconfig.Document) []string
	// History lists the stored versions, newest first. Version reads one of them.
	History func(ctx context.Context) ([]rudderadmin.HistoryEntry, error)
	Version func(ctx context.Context, version int64) (*rudderconfig.Document, error)

	Status func(ctx context.Context) (rudderadmin.Status, error)
	Hosts  func(ctx context.Context) ([]rudderadmin.Host, error)
	Groups func() []rudderadmin.Group
	// DataCentres lists the data centres of the hosts, and those that are evacuated.
	DataCentres func(ctx context.Context) ([]rudderadmin.DataCentre, error)
	Explain     func(ctx context.Context, selector string) (rudderadmin.Explanation, bool, error)
	WhyNot      func(ctx context.Context, host string) ([]rudderadmin.Reason, error)

	// ForgetEntryHost removes an entry host that is no longer running from the registry.
	ForgetEntryHost func(ctx context.Context, entry string) error
	// BurnReport returns the report on how fast the error budgets burn.
	BurnReport func(ctx context.Context) (rudderadmin.BurnReport, error)

	// BootstrapTokenHash is the hex SHA-256 of a token that may write the first configuration. It is accepted
	// only while the configuration names no operator.
	BootstrapTokenHash string
}

// Register adds the routes, the middleware and the error handler to a server.
func (a *API) Register(server *echo.Echo) {
	server.HTTPErrorHandler = a.handleError
	server.Use(noStore)
	routes := []struct {
		method, path string
		handler      echo.HandlerFunc
		write        bool
	}{
		{http.MethodGet, "/config", a.getConfig, false},
		{http.MethodPut, "/config", a.putConfig, true},
		{http.MethodPost, "/config/apply", a.applyConfig, true},
		{http.MethodPost, "/config/rollback", a.rollbackConfig, true},
		{http.MethodPost, "/config/await", a.awaitConfig, false},
		{http.MethodGet, "/config/history", a.history, false},
		{http.MethodGet, "/config/history/:version", a.version, false},
		{http.MethodGet, "/config/diff", a.diff, false},
		{http.MethodGet, "/hosts", a.hosts, false},
		{http.MethodPatch, "/hosts/:name/labels", a.labelHost, true},
		{http.MethodPut, "/hosts/:name/drain", a.drainHost, true},
		{http.MethodDelete, "/hosts/:name/drain", a.undrainHost, true},
		{http.MethodPut, "/hosts/:name/fencing", a.declareFencing, true},
		{http.MethodDelete, "/hosts/:name/fencing", a.withdrawFencing, true},
		{http.MethodGet, "/data-centres", a.dataCentres, false},
		{http.MethodPut, "/data-centres/:name/evacuation", a.evacuate, true},
		{http.MethodDelete, "/data-centres/:name/evacuation", a.restore, true},
		{http.MethodDelete, "/entries/:name", a.forgetEntry, true},
		{http.MethodGet, "/selectors", a.selectors, false},
		{http.MethodGet, "/selectors/:name", a.selector, false},
		{http.MethodPut, "/selectors/:name", a.putSelector, true},
		{http.MethodDelete, "/selectors/:name", a.deleteSelector, true},
		{http.MethodGet, "/selectors/:name/explain", a.explain, false},
		{http.MethodGet, "/workspaces", a.workspaces, false},
		{http.MethodPut, "/workspaces/:name", a.putWorkspace, true},
		{http.MethodDelete, "/workspaces/:name", a.deleteWorkspace, true},
		{http.MethodPost, "/workspaces/:name/keys", a.addKey, true},
		{http.MethodDelete, "/workspaces/:name/keys/:hash", a.removeKey, true},
		{http.MethodGet, "/status", a.status, false},
		{http.MethodGet, "/groups", a.groups, false},
		{http.MethodGet, "/report/burn", a.burn, false},
		{http.MethodGet, "/why-not/:host", a.whyNot, false},
	}
	for _, r := range routes {
		middleware := []echo.MiddlewareFunc{a.Authenticate}
		if r.write {
			middleware = append(middleware, requireWriteAccess)
		}
		server.Add(r.method, rudderadmin.PathPrefix+r.path, r.handler, middleware...)
	}
}

// noStore keeps keys and the configuration out of HTTP caches.
func noStore(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set("Cache-Control", "no-store")
		return next(c)
	}
}

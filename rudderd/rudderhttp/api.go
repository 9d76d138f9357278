// Package rudderhttp implements the HTTP API for callers: OpenAI-compatible model requests, calls of plain
// services, entry addresses and resumed streams. Handlers are thin: they parse the request, call a function
// field of API and write the response.
package rudderhttp

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/shared/rudderconfig"
)

// Headers of the caller API.
const (
	HeaderRequestID      = "Rudder-Request-Id"
	HeaderOutcome        = "Rudder-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderShouldRetry keeps OpenAI's client libraries from repeating a request by themselves.
	HeaderShouldRetry = "X-Should-Retry"
)

// API serves callers. Set the exported fields before calling Handler.
type API struct {
	Name   string // of this entry host; the prefix of its request IDs
	Clock  clockwork.Clock
	Logger zerolog.Logger
	Config func() *rudderconfig.Document

	MaxBodyBytes int64
	// Bodies bounds the memory of request bodies, and Responses that of answers; nil sets no bound.
	Bodies, Responses *rudderbody.Budget
	// LimitShare returns the fraction of a workspace's rate and concurrency limits that this entry host
	// grants, above 0 and at most 1.
	LimitShare func() float64
	// Refuse returns the reason why this entry host accepts no new requests now, or nil.
	Refuse func() *Refusal

	// Leaving reports whether this entry host is stopping. Responses then close their connections, so that callers move
	// to another entry host. May be nil.
	Leaving func() bool
	// Accepting, if not nil, ends when this entry host takes no more requests. Requests whose bodies have not arrived are
	// refused then.
	Accepting context.Context
	// Serving, if not nil, ends when this entry host cuts off the streams that it still passes on.
	Serving context.Context
	// BetterEntry returns the address of another entry host, or ""; may be nil.
	BetterEntry func() string

	// OnRefused is called for each request rejected by Refuse, because callers experience these as lost service; may
	// be nil.
	OnRefused func(workspace rudderconfig.Workspace, refusal *Refusal)

	// Estimate returns the expected output tokens of a request and its class.
	Estimate func(workspace string, promptTokens, maxTokens int) (int, rudderconfig.WorkClass)
	// Start runs a request in the background and appends its output to the answer, which is in Answers.
	Start   func(q rudderstream.Request, a *rudderstream.Answer)
	Answers *rudderstream.Registry
	// ReadRemote reads an answer that another entry host keeps. found is false if that host is
	// unknown, unreachable or has no such answer.
	ReadRemote func(ctx context.Context, member, requestID, workspace string, after int) (page RemotePage, found bool)

	// Call executes a call of a plain service.
	Call func(ctx context.Context, call ServiceCall) ServiceResponse
	// Entries returns entry addresses, the best first, for the caller identified by key in a data centre ("" if
	// unknown), and how long the caller may cache them.
	Entries func(key, dataCentre string) ([]Entry, time.Duration)

	limits limits
	open   atomic.Int64
}

// Entry is one element of the response of GET /v1/entries.
type Entry struct {
	Address    string `json:"address"`
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// RemotePage is a part of an answer that another entry host keeps.
type RemotePage struct {
	rudderstream.Page
	Model   string
	Created time.Time
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	RequestID      string
	Workspace      rudderconfig.Workspace
	Service        rudderconfig.Service
	Method         string
	Path           string // relative to the service, with a leading slash
	Query          string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	// Memory is reserved for the body of the response.
	Memory *rudderbody.Reservation
}

// ServiceResponse is the result of a call of a plain service.
type ServiceResponse struct {
	Outcome rudderstream.Outcome
	// Status, Header and Body are the service's own response if Refusal is nil.
	Status  int
	Header  http.Header
	Body    []byte
	Refusal *Refusal
	// Replayed means that the response is the stored one of an earlier call with the same idempotency key.
	Replayed bool
}

// Handler returns the HTTP handler for callers.
func (a *API) Handler() http.Handler {
	server := echo.New()
	server.HideBanner, server.HidePort = true, true
	server.HTTPErrorHandler = a.handleError
	server.Use(a.identify)
	server.GET("/healthz", a.health)
	server.GET("/v1/entries", a.entries)
	// The middleware is attached to each route and not to a group: echo's groups run their middleware for unknown
	// paths too, which would return 401 instead of 404.
	server.GET("/v1/models", a.models, a.authenticate)
	server.POST("/v1/chat/completions", a.chat, a.authenticate, a.admit)
	server.GET("/v1/requests/:id/stream", a.resumeStream, a.authenticate)
	server.Any("/v1/services/:service", a.service, a.authenticate, a.admit)
	server.Any("/v1/services/:service/*", a.service, a.authenticate, a.admit)
	return server
}

// identify assigns the request ID before anything else, so that every response has one, and counts the requests.
func (a *API) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := a.newRequestID()
		c.Set(contextRequestID, id)
		c.Response().Header().Set(HeaderRequestID, id)
		a.open.Add(1)
		defer a.open.Add(-1)
		c.Response().Before(func() {
			if a.Leaving != nil && a.Leaving() {
				c.Response().Header().Set("Connection", "close")
			}
		})
		return next(c)
	}
}

// Open returns the number of requests of any kind whose responses have not been written.
func (a *API) Open() int { return int(a.open.Load()) }

func (a *API) health(c echo.Context) error {
	if refusal := a.Refuse(); refusal != nil {
		return refusal
	}
	return c.JSON(http.StatusOK, struct {
		Status string `json:"status"`
	}{"ready"})
}

func (a *API) entries(c echo.Context) error {
	list, lifetime := a.Entries(c.RealIP(), c.QueryParam("data_centre"))
	return c.JSON(http.StatusOK, struct {
		Entries         []Entry `json:"entries"`
		LifetimeSeconds int     `json:"lifetime_seconds"`
	}{list, int(lifetime.Seconds())})
}

func (a *API) models(c echo.Context) error {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, name := range servedModels(a.Config(), workspaceOf(c)) {
		list = append(list, model{ID: name, Object: "model", OwnedBy: workspaceOf(c).Firm})
	}
	return c.JSON(http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

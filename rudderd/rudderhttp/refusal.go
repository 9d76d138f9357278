package rudderhttp

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/rudderstream"
)

// Refusal is an error response. It is written in OpenAI's error format.
type Refusal struct {
	Status  int
	Code    string
	Message string
	// NextStep tells the caller what to do.
	NextStep   string
	Outcome    rudderstream.Outcome
	RetryAfter time.Duration
	// NoRetry keeps client libraries from repeating the request by themselves.
	NoRetry bool
	// BetterEntry is the address of an entry host with free capacity, or "".
	BetterEntry string
}

// Error returns code and message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

func refuse(status int, code, message, nextStep string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, NextStep: nextStep, Outcome: rudderstream.OutcomeNotRun}
}

func refuseUnauthorized(message string) *Refusal {
	return refuse(http.StatusUnauthorized, "invalid_api_key", message, "check the key with the workspace's owner")
}

func refuseNotReady(message string) *Refusal {
	r := refuse(http.StatusServiceUnavailable, rudderstream.CodeNotReady, message, "ask GET /v1/entries at another address and send the request there")
	r.RetryAfter = time.Second
	return r
}

func refuseBadRequest(message string) *Refusal {
	return refuse(http.StatusBadRequest, rudderstream.CodeBadRequest, message, "correct the request")
}

// errorType is the "type" field of OpenAI's error format.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// errorBody is OpenAI's error format with the next step and the outcome.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message     string               `json:"message"`
	Type        string               `json:"type"`
	Param       *string              `json:"param"`
	Code        string               `json:"code"`
	NextStep    string               `json:"next_step"`
	Outcome     rudderstream.Outcome `json:"outcome"`
	RequestID   string               `json:"request_id"`
	BetterEntry string               `json:"better_entry,omitempty"`
}

func (r *Refusal) body(requestID string) errorBody {
	return errorBody{Error: errorFields{
		Message: r.Message, Type: errorType(r.Status), Code: r.Code, NextStep: r.NextStep,
		Outcome: r.Outcome, RequestID: requestID, BetterEntry: r.BetterEntry,
	}}
}

// handleError writes any error of a handler as a refusal.
func (a *API) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := asRefusal(err)
	header := c.Response().Header()
	header.Set(HeaderOutcome, string(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retrySeconds(refusal.RetryAfter)))
	}
	if refusal.NoRetry {
		header.Set(HeaderShouldRetry, "false")
	}
	if refusal.Status >= http.StatusInternalServerError {
		a.Logger.Warn().Str("request_id", requestIDOf(c)).Str("code", refusal.Code).
			Str("outcome", string(refusal.Outcome)).Str("reason", refusal.Message).Msg("request refused")
	}
	if err := c.JSON(refusal.Status, refusal.body(requestIDOf(c))); err != nil {
		a.Logger.Debug().Err(err).Str("request_id", requestIDOf(c)).Msg("cannot write error response")
	}
}

// retrySeconds rounds up, because Retry-After takes whole seconds and 0 would cause an immediate retry.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		switch httpError.Code {
		case http.StatusNotFound:
			return refuse(http.StatusNotFound, "not_found", "no such path", "see docs/api.md for the paths")
		case http.StatusMethodNotAllowed:
			return refuse(http.StatusMethodNotAllowed, "method_not_allowed", "no such method on this path", "see docs/api.md for the paths")
		}
		return refuse(httpError.Code, "http_error", http.StatusText(httpError.Code), "correct the request")
	}
	// It is unknown whether the request ran before an unexpected error, so it must not be reported as not run.
	unexpected := refuse(http.StatusInternalServerError, "internal_error", err.Error(), "find out whether the request ran before sending it again")
	unexpected.Outcome, unexpected.NoRetry = rudderstream.OutcomeMayHaveRun, true
	return unexpected
}

// refusalOf converts the result of a failed model request to a refusal.
func (a *API) refusalOf(result rudderstream.Result) *Refusal {
	refusal := &Refusal{
		Status: http.StatusServiceUnavailable, Code: result.Code, Message: result.Message,
		NextStep: "send the request again; asking a model may be repeated",
		Outcome:  result.Outcome, RetryAfter: result.RetryAfter,
	}
	switch result.Code {
	case rudderstream.CodePoison:
		refusal.Status, refusal.NoRetry = http.StatusUnprocessableEntity, true
		refusal.NextStep = "do not send this request again; targets died running it"
	case rudderstream.CodeBadRequest:
		refusal.Status, refusal.NextStep = http.StatusBadRequest, "correct the request"
	case rudderstream.CodeNoCapacity:
		refusal.Status = http.StatusTooManyRequests
		refusal.NextStep = "send the request again after the time in Retry-After"
	case rudderstream.CodeNoGroup:
		refusal.NextStep = "no group serves the model now; send the request again after the time in Retry-After"
	case rudderstream.CodeEvacuated:
		refusal.NextStep = "operators have evacuated all data centres that serve the model; send the request again after the time in Retry-After"
	case rudderstream.CodeNotReady:
		refusal.NextStep = "ask GET /v1/entries at another address and send the request there"
		if a.BetterEntry != nil {
			refusal.BetterEntry = a.BetterEntry()
		}
	}
	return refusal
}

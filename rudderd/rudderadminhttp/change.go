package rudderadminhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/rudderchange"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// changeTimeout bounds the wait until a change is in force; a change that takes longer is reported as pending.
const changeTimeout = 30 * time.Second

// edit applies a change to a copy of the current document, validates the result, writes it as the next version
// and sends the response. With an If-Match header the change is refused unless that version is the current one.
func (a *API) edit(c echo.Context, summary string, change func(document *rudderconfig.Document) error) error {
	result, err := a.editDocument(c, summary, change)
	if err != nil {
		return err
	}
	return c.JSON(statusOf(result), result)
}

func statusOf(result rudderadmin.ChangeResult) int {
	if result.State == rudderadmin.StatePending {
		return http.StatusAccepted
	}
	return http.StatusOK
}

func (a *API) editDocument(c echo.Context, summary string, change func(document *rudderconfig.Document) error) (rudderadmin.ChangeResult, error) {
	before := a.Current()
	if before == nil {
		if operatorOf(c).Name != bootstrapOperator {
			return rudderadmin.ChangeResult{}, unavailable("this entry host has no configuration yet")
		}
		before = &rudderconfig.Document{}
	}
	expected, err := expectedVersion(c, before)
	if err != nil {
		return rudderadmin.ChangeResult{}, err
	}
	after, err := clone(before)
	if err != nil {
		return rudderadmin.ChangeResult{}, err
	}
	if err := change(after); err != nil {
		return rudderadmin.ChangeResult{}, err
	}
	if err := checkScope(operatorOf(c), before, after); err != nil {
		return rudderadmin.ChangeResult{}, err
	}
	return a.write(c, expected, before, after, summaryOf(c, summary))
}

// write validates the document and writes it, unless the call is a dry run or the document did not change.
func (a *API) write(c echo.Context, expected int64, before, after *rudderconfig.Document, summary string) (rudderadmin.ChangeResult, error) {
	dry, err := isDryRun(c)
	if err != nil {
		return rudderadmin.ChangeResult{}, err
	}
	findings := a.Validate(c.Request().Context(), after)
	if hasErrors(findings) {
		return rudderadmin.ChangeResult{}, &rudderadmin.Error{
			Status: http.StatusUnprocessableEntity, Code: rudderadmin.CodeInvalid, Message: "the configuration would be invalid; nothing was changed",
			NextStep: "correct the faults and send the change again", Findings: findings,
		}
	}
	result := rudderadmin.ChangeResult{Version: expected, State: rudderadmin.StateDryRun, Diff: a.Diff(before, after), Warnings: findings}
	if dry {
		return result, nil
	}
	if len(result.Diff) == 0 && expected > 0 {
		result.State = rudderadmin.StateUnchanged
		return result, nil
	}
	// The write continues when the operator's connection is lost, so that its result is logged.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), changeTimeout)
	defer cancel()
	written, err := a.Change(ctx, expected, after, operatorOf(c).Name, summary)
	a.Logger.Info().Str("operator", operatorOf(c).Name).Str("summary", summary).Int64("version", written.Version).
		Str("state", string(written.State)).Err(err).Msg("configuration change")
	if err != nil && written.State != rudderchange.StatePending {
		return result, changeError(written, err)
	}
	result.Version, result.State = written.Version, string(written.State)
	result.Missing, result.Slowest, result.InForceMS = written.Missing, written.Slowest, written.InForceAfter.Milliseconds()
	return result, nil
}

// isDryRun parses the parameter dry_run. It refuses unknown values, so that a misspelt one does not cause a real
// change.
func isDryRun(c echo.Context) (bool, error) {
	text := c.QueryParam("dry_run")
	if text == "" {
		return false, nil
	}
	dry, err := strconv.ParseBool(text)
	if err != nil {
		return false, badRequest("dry_run is neither true nor false")
	}
	return dry, nil
}

func hasErrors(findings []rudderadmin.Finding) bool {
	for _, f := range findings {
		if f.Severity == "error" {
			return true
		}
	}
	return false
}

func changeError(result rudderchange.Result, err error) error {
	switch {
	case errors.Is(err, rudderchange.ErrConflict):
		earlier := &rudderadmin.Conflict{Version: result.Version, ChangedBy: result.ChangedBy, ChangedAt: result.ChangedAt, Summary: result.Summary}
		return conflict(earlier)
	case errors.Is(err, rudderchange.ErrInvalid):
		return &rudderadmin.Error{Status: http.StatusUnprocessableEntity, Code: rudderadmin.CodeInvalid, Message: err.Error(), NextStep: "correct the document"}
	case errors.Is(err, rudderchange.ErrNoMajority):
		e := unavailable(err.Error())
		e.Code, e.NextStep = rudderadmin.CodeNoMajority, "nothing was changed; try again when more entry hosts can be reached"
		return e
	default:
		return unavailable(err.Error())
	}
}

// conflict returns the error for a change that lost against an earlier one, which it names.
func conflict(earlier *rudderadmin.Conflict) error {
	return &rudderadmin.Error{
		Status: http.StatusConflict, Code: rudderadmin.CodeConflict, Conflict: earlier,
		Message: "version " + strconv.FormatInt(earlier.Version, 10) + " by " + earlier.ChangedBy + " (" + earlier.Summary +
			") came first; nothing was changed",
		NextStep: "read the configuration again and repeat the change if it is still wanted",
	}
}

// expectedVersion returns the version that the change is based on: that of If-Match, else the current one.
func expectedVersion(c echo.Context, current *rudderconfig.Document) (int64, error) {
	text := c.Request().Header.Get("If-Match")
	if text == "" {
		return current.Version, nil
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, badRequest("If-Match is not a version number")
	}
	if version < current.Version {
		return 0, conflict(&rudderadmin.Conflict{
			Version: current.Version, ChangedBy: current.ChangedBy, ChangedAt: current.ChangedAt, Summary: current.Summary,
		})
	}
	if version > current.Version {
		return 0, badRequest("this entry host has version " + strconv.FormatInt(current.Version, 10) + ", which is older")
	}
	return version, nil
}

func clone(document *rudderconfig.Document) (*rudderconfig.Document, error) {
	raw, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Wrap(err, "copying the configuration")
	}
	var copied rudderconfig.Document
	return &copied, errors.Wrap(json.Unmarshal(raw, &copied), "copying the configuration")
}

func badRequest(message string) error {
	return &rudderadmin.Error{Status: http.StatusBadRequest, Code: rudderadmin.CodeInvalid, Message: message, NextStep: "correct the call"}
}

func notFound(message string) error {
	return &rudderadmin.Error{Status: http.StatusNotFound, Code: rudderadmin.CodeNotFound, Message: message, NextStep: "check the name"}
}

func unavailable(message string) *rudderadmin.Error {
	return &rudderadmin.Error{
		Status: http.StatusServiceUnavailable, Code: rudderadmin.CodeUnavailable, Message: message,
		NextStep: "try again, or at another entry host",
	}
}

// codeOf returns the error code for a status that echo sets, such as that of an unknown path.
func codeOf(status int) string {
	switch status {
	case http.StatusNotFound:
		return rudderadmin.CodeNotFound
	case http.StatusMethodNotAllowed:
		return rudderadmin.CodeMethodNotAllowed
	default:
		return rudderadmin.CodeInvalid
	}
}

// handleError writes an error as a rudderadmin.Error.
func (a *API) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var failure *rudderadmin.Error
	var httpError *echo.HTTPError
	switch {
	case errors.As(err, &failure):
	case errors.As(err, &httpError):
		failure = &rudderadmin.Error{
			Status: httpError.Code, Code: codeOf(httpError.Code), NextStep: "see docs/operators.md for the paths",
			Message: http.StatusText(httpError.Code) + ": " + c.Request().Method + " " + c.Request().URL.EscapedPath(),
		}
	default:
		failure = &rudderadmin.Error{Status: http.StatusInternalServerError, Code: rudderadmin.CodeOutcomeUnknown, Message: err.Error(), NextStep: "try again"}
	}
	if err := c.JSON(failure.Status, failure); err != nil {
		a.Logger.Debug().Err(err).Msg("cannot write error response")
	}
}

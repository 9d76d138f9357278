package rudderhttp

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/rudderstream"
)

// HeaderReplayed marks an answer that was stored by an earlier send of the same idempotency key.
const HeaderReplayed = "Idempotent-Replayed"

// service serves /v1/services/{service}/….
func (a *API) service(c echo.Context) error {
	workspace := workspaceOf(c)
	declared, found := a.Config().Service(c.Param("service"))
	if !found {
		return refuse(http.StatusNotFound, "service_not_found", "no service "+quote(c.Param("service")), "check the name with the operators")
	}
	if declared.Firm != workspace.Firm {
		return refuse(http.StatusForbidden, "service_of_other_firm", "the service belongs to another firm", "use a key of that firm")
	}
	body, err := a.readBody(c)
	if err != nil {
		return err
	}
	request := c.Request()
	answer := a.Call(request.Context(), ServiceCall{
		RequestID: requestIDOf(c), Workspace: workspace, Service: declared,
		Method: request.Method, Path: "/" + strings.TrimPrefix(c.Param("*"), "/"), Query: request.URL.RawQuery,
		Header: request.Header, Body: body, IdempotencyKey: request.Header.Get(HeaderIdempotencyKey),
	})
	if answer.Refusal != nil {
		return answer.Refusal
	}
	return writeServiceAnswer(c, answer)
}

func writeServiceAnswer(c echo.Context, answer ServiceAnswer) error {
	header := c.Response().Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(HeaderRequestID, requestIDOf(c))
	header.Set(HeaderOutcome, string(answer.Outcome))
	if answer.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	if answer.Outcome == rudderstream.OutcomeMayHaveRun {
		header.Set(HeaderShouldRetry, "false")
	}
	c.Response().WriteHeader(answer.Status)
	_, err := c.Response().Write(answer.Body)
	return err
}

package rudderhttp

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/rudderstream"
)

// HeaderReplayed marks the stored response of an earlier call with the same idempotency key.
const HeaderReplayed = "Idempotent-Replayed"

// serviceCopies is the number of copies of a body that a call of a service holds: one of them is read again for each send.
const serviceCopies = 2

const (
	// responseCopies is the number of copies of a response's body that are held while it is read.
	responseCopies = 2
	// freeResponseBytes is what a response takes without memory of the budget, so that short ones never lack it.
	freeResponseBytes = 8 << 10
)

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
	if err := checkServicePath(c.Param("*")); err != nil {
		return err
	}
	memory := a.Bodies.Reservation(serviceCopies)
	defer memory.Release()
	body, err := a.readBody(c, memory)
	if err != nil {
		return err
	}
	response := a.Responses.ReservationAbove(freeResponseBytes, responseCopies)
	defer response.Release()
	request := c.Request()
	answer := a.Call(request.Context(), ServiceCall{
		RequestID: requestIDOf(c), Workspace: workspace, Service: declared,
		Method: request.Method, Path: "/" + strings.TrimPrefix(c.Param("*"), "/"), Query: request.URL.RawQuery,
		Header: request.Header, Body: body, IdempotencyKey: request.Header.Get(HeaderIdempotencyKey), Memory: response,
	})
	if answer.Refusal != nil {
		return answer.Refusal
	}
	return writeServiceResponse(c, answer)
}

// controlSegment is the first segment of the paths on which a host of a service accepts orders from planners.
const controlSegment = "control"

// checkServicePath refuses paths that would give a caller access to the control API of a host. It also refuses dot
// segments, which a service or a library may resolve to such a path. The path may be percent-encoded.
func checkServicePath(path string) error {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		decoded = path // echo has already decoded it
	}
	first := true
	for segment := range strings.FieldsFuncSeq(decoded, func(r rune) bool { return r == '/' || r == '\\' }) {
		if segment == "." || segment == ".." {
			return refuse(http.StatusBadRequest, "invalid_request", "the path has dot segments", "send the path in its short form")
		}
		if first && strings.EqualFold(segment, controlSegment) {
			return refuse(http.StatusNotFound, "not_found", "paths below /"+controlSegment+" of a service are not open to callers", "use a path of the service")
		}
		first = false
	}
	return nil
}

func writeServiceResponse(c echo.Context, answer ServiceResponse) error {
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

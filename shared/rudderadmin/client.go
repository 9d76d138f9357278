package rudderadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors of the client. Callers test them with errors.Is.
var (
	// ErrConflict reports that another change was made first. The error text names it.
	ErrConflict = errors.New("admin API: conflict")
	// ErrNoEntryHost reports that no entry host could be reached. Nothing was changed.
	ErrNoEntryHost = errors.New("admin API: no entry host can be reached")
)

// maxResponseBytes bounds a response.
const maxResponseBytes = 64 << 20

// Error is an error response of the admin API.
type Error struct {
	Status   int       `json:"-"`
	Code     string    `json:"code"`
	Message  string    `json:"message"`
	NextStep string    `json:"next_step"`
	Conflict *Conflict `json:"conflict,omitempty"`
	Findings []Finding `json:"findings,omitempty"`
}

// Error returns the message, the findings and the next step.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Message)
	for _, f := range e.Findings {
		b.WriteString("\n  " + f.Severity + ": " + f.Path + ": " + f.Message)
	}
	if e.NextStep != "" {
		b.WriteString("\n  next step: " + e.NextStep)
	}
	return b.String()
}

// Is reports whether target is ErrConflict and the response is a conflict.
func (e *Error) Is(target error) bool { return target == ErrConflict && e.Code == CodeConflict }

// Client calls the admin API of the first reachable entry host in a list.
type Client struct {
	// Addresses are the IP:PORT addresses of entry hosts' admin listeners, tried in order.
	Addresses []string
	Token     string
	HTTP      *http.Client
}

// Get reads a path below PathPrefix and decodes the response into result.
func (c *Client) Get(ctx context.Context, path string, query url.Values, result any) error {
	return c.Do(ctx, http.MethodGet, path, query, 0, nil, result)
}

// Do calls the API and decodes the response into result, which may be nil. A version above 0 is sent as If-Match. The
// body may be nil, a []byte that is sent unchanged, or a value that is sent as JSON. The next address is tried only if
// no connection could be opened, so that a change is never sent twice.
func (c *Client) Do(ctx context.Context, method, path string, query url.Values, version int64, body, result any) error {
	payload, err := encode(body)
	if err != nil {
		return err
	}
	lastErr := ErrNoEntryHost
	for _, address := range c.Addresses {
		target := url.URL{Scheme: "http", Host: address, Path: PathPrefix + path, RawQuery: query.Encode()}
		request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(payload))
		if err != nil {
			return errors.Wrap(err, "admin API")
		}
		request.Header.Set("Authorization", "Bearer "+c.Token)
		request.Header.Set("Content-Type", "application/json")
		if version > 0 {
			request.Header.Set("If-Match", strconv.FormatInt(version, 10))
		}
		err = c.call(request, result)
		if !isDialError(err) {
			return err
		}
		lastErr = errors.Mark(err, ErrNoEntryHost)
	}
	return lastErr
}

func (c *Client) call(request *http.Request, result any) error {
	response, err := c.HTTP.Do(request)
	if err != nil {
		return errors.Wrap(err, "admin API")
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response, result)
}

func encode(body any) ([]byte, error) {
	switch b := body.(type) {
	case nil:
		return nil, nil
	case []byte:
		return b, nil
	default:
		payload, err := json.Marshal(b)
		return payload, errors.Wrap(err, "encode request")
	}
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func decode(response *http.Response, result any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if len(text) > maxResponseBytes {
		return errors.New("the response of the entry host is too long")
	}
	if response.StatusCode >= http.StatusBadRequest {
		failure := &Error{Status: response.StatusCode}
		if json.Unmarshal(text, failure) != nil || failure.Message == "" {
			failure.Message = "the entry host answered " + response.Status
		}
		return failure
	}
	if result == nil || response.StatusCode == http.StatusNoContent {
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, result), "decode response")
}

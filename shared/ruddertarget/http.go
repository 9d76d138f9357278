package ruddertarget

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

// StatusPath is the path of the request for a target's status, which has no effect.
const StatusPath = "/control/status"

// maxResponseBytes limits the size of a control protocol response.
const maxResponseBytes = 4 << 20

// ErrorBody is the body of an error response of the control protocol.
type ErrorBody struct {
	// Code is CodeRefused, CodeStaleFencing or CodeNotFound.
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
	// Status is the target's state after it refused an order.
	Status *Status `json:"status,omitempty"`
}

// Codes of ErrorBody.
const (
	CodeRefused      = "refused"
	CodeStaleFencing = "stale_fencing"
	CodeNotFound     = "not_found"
)

// CancelRequest is the body of POST /control/requests/{id}/cancel.
type CancelRequest struct {
	// Attempt is the number of the attempt to cancel; 0 cancels all attempts.
	Attempt int `json:"attempt"`
}

// maxDrainBytes limits how much of a response is discarded after its JSON value so that the connection can be reused.
const maxDrainBytes = 4 << 10

// HTTP implements Control over HTTP. Fields must be set before Control is called.
type HTTP struct {
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
}

// Control returns a Control that calls targets over HTTP. Addresses are host:port.
func (h *HTTP) Control() *Control {
	return &Control{
		Status:        h.status,
		Send:          h.send,
		RequestStatus: h.requestStatus,
		Cancel:        h.cancel,
		CacheEvents:   h.cacheEvents,
	}
}

func (h *HTTP) status(ctx context.Context, address string) (Status, error) {
	var status Status
	_, err := h.call(ctx, http.MethodGet, address, StatusPath, nil, &status)
	return status, err
}

// send also returns the target's status along with ErrRefused and ErrStaleFencing if the response contains it.
func (h *HTTP) send(ctx context.Context, address string, order Order) (Status, error) {
	var status Status
	refusal, err := h.call(ctx, http.MethodPost, address, "/control/orders", order, &status)
	if refusal.Status != nil {
		status = *refusal.Status
	}
	return status, err
}

func (h *HTTP) requestStatus(ctx context.Context, address, requestID string) (RequestStatus, error) {
	var status RequestStatus
	_, err := h.call(ctx, http.MethodGet, address, requestPath(requestID), nil, &status)
	return status, err
}

func (h *HTTP) cancel(ctx context.Context, address, requestID string, attempt int) error {
	body := CancelRequest{Attempt: attempt}
	_, err := h.call(ctx, http.MethodPost, address, requestPath(requestID)+"/cancel", body, nil)
	return err
}

func (h *HTTP) cacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/control/cache_events?after=" + strconv.FormatInt(after, 10)
	_, err := h.call(ctx, http.MethodGet, address, path, nil, &events)
	return events, err
}

func requestPath(id string) string { return "/control/requests/" + url.PathEscape(id) }

func (h *HTTP) call(ctx context.Context, method, address, path string, body, result any) (ErrorBody, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return ErrorBody{}, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return ErrorBody{}, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	client := h.Client
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return ErrorBody{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() {
		// The transport reuses a connection only after the response body has been read to the end.
		_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
		_ = response.Body.Close()
	}()
	return decode(response, result)
}

func decode(response *http.Response, result any) (ErrorBody, error) {
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode == http.StatusOK {
		if result == nil {
			return ErrorBody{}, nil
		}
		if err := decoder.Decode(result); err != nil {
			return ErrorBody{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		return ErrorBody{}, nil
	}
	var refusal ErrorBody
	// A body that cannot be decoded leaves the code empty and is reported as ErrUnreachable below.
	_ = decoder.Decode(&refusal)
	switch refusal.Code {
	case CodeRefused:
		return refusal, errors.Wrap(ErrRefused, refusal.Message)
	case CodeStaleFencing:
		return refusal, errors.Wrap(ErrStaleFencing, refusal.Message)
	case CodeNotFound:
		return refusal, ErrNotFound
	}
	return refusal, errors.Wrapf(ErrUnreachable, "unexpected HTTP status %d", response.StatusCode)
}

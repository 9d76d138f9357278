package rudderstore

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// HTTP headers of the wire protocol.
const (
	// HeaderClient names the calling process, so that a simulated service can fail the calls of single processes.
	HeaderClient = "Rudder-Client"
	// HeaderRevision carries the store revision on every response.
	HeaderRevision = "Rudder-Store-Revision"
)

// Response is the body of every response of the key-value service. Fields that a call does not return are omitted.
type Response struct {
	Revision int64 `json:"revision"`
	// Era counts how often the service has been restored to an older state; 0 if the service does not count.
	Era int64 `json:"era,omitempty"`
	// Error is an error code as CodeOf returns it, or empty if the call succeeded.
	Error   string  `json:"error,omitempty"`
	Entry   *Entry  `json:"entry,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Events  []Event `json:"events,omitempty"`
	Lease   int64   `json:"lease,omitempty"`
}

// LeaseRequest is the body of POST /v1/leases.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

type wireError struct {
	err    error
	code   string
	status int
}

var wireErrors = []wireError{
	{ErrNotFound, "not_found", http.StatusNotFound},
	{ErrConflict, "conflict", http.StatusConflict},
	{ErrRateLimited, "rate_limited", http.StatusTooManyRequests},
	{ErrCompacted, "compacted", http.StatusGone},
	{ErrTooLarge, "too_large", http.StatusRequestEntityTooLarge},
	{ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
}

// CodeOf returns the error code and HTTP status that represent an error of this package on the wire.
func CodeOf(err error) (code string, status int) {
	for _, w := range wireErrors {
		if errors.Is(err, w.err) {
			return w.code, w.status
		}
	}
	return "internal", http.StatusInternalServerError
}

// errorOf returns the error for an error code, or nil for an unknown code.
func errorOf(code string) error {
	for _, w := range wireErrors {
		if w.code == code {
			return w.err
		}
	}
	return nil
}

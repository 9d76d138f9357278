package rudderstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxResponseBytes limits the size of a response; a list can contain several values of MaxValueBytes.
const maxResponseBytes = 256 << 20

// maxDrainBytes limits how much of a response is discarded after its JSON value so that the connection can be reused.
const maxDrainBytes = 4 << 10

// HTTP implements Store over HTTP, without ListStale. Fields must be set before Store is called.
type HTTP struct {
	// BaseURL is the service's URL without a trailing slash, for example "http://127.0.0.1:7000".
	BaseURL string
	// Client sends the requests; nil means http.DefaultClient. Its Timeout must exceed the longest watch.
	Client *http.Client
	// Name is sent in HeaderClient.
	Name string

	mu sync.Mutex
	// firstEra is the era of the first response, and watchedEras that of the last watch, by its prefixes.
	firstEra    *int64
	watchedEras map[string]int64
}

// Store returns a Store that calls the service over HTTP.
func (h *HTTP) Store() *Store {
	return &Store{
		Get:         h.get,
		List:        h.list,
		Put:         h.put,
		Delete:      h.delete,
		GrantLease:  h.grantLease,
		KeepAlive:   h.keepAlive,
		RevokeLease: h.revokeLease,
		Watch:       h.watch,
	}
}

func (h *HTTP) get(ctx context.Context, key string) (Entry, int64, error) {
	a, err := h.call(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(key), nil)
	if err != nil || a.Entry == nil {
		return Entry{}, a.Revision, err
	}
	return *a.Entry, a.Revision, nil
}

func (h *HTTP) list(ctx context.Context, prefix string) ([]Entry, int64, error) {
	a, err := h.call(ctx, http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil)
	return a.Entries, a.Revision, err
}

func (h *HTTP) put(ctx context.Context, request PutRequest) (int64, error) {
	if len(request.Value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	a, err := h.call(ctx, http.MethodPut, "/v1/kv/"+url.PathEscape(request.Key), request)
	return a.Revision, err
}

func (h *HTTP) delete(ctx context.Context, key string, expected int64) (int64, error) {
	path := "/v1/kv/" + url.PathEscape(key) + "?expected=" + strconv.FormatInt(expected, 10)
	a, err := h.call(ctx, http.MethodDelete, path, nil)
	return a.Revision, err
}

func (h *HTTP) grantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	a, err := h.call(ctx, http.MethodPost, "/v1/leases", LeaseRequest{TTLMillis: ttl.Milliseconds()})
	return a.Lease, err
}

func (h *HTTP) keepAlive(ctx context.Context, lease int64) error {
	_, err := h.call(ctx, http.MethodPost, leasePath(lease)+"/keepalive", nil)
	return err
}

func (h *HTTP) revokeLease(ctx context.Context, lease int64) error {
	_, err := h.call(ctx, http.MethodDelete, leasePath(lease), nil)
	return err
}

func leasePath(lease int64) string { return "/v1/leases/" + strconv.FormatInt(lease, 10) }

func (h *HTTP) watch(ctx context.Context, request WatchRequest) (WatchResult, error) {
	query := url.Values{
		"prefix":  request.Prefixes,
		"after":   {strconv.FormatInt(request.After, 10)},
		"wait_ms": {strconv.FormatInt(request.Wait.Milliseconds(), 10)},
	}
	a, err := h.call(ctx, http.MethodGet, "/v1/watch?"+query.Encode(), nil)
	if err == nil && h.restoredSince(strings.Join(request.Prefixes, "\x00"), a.Era) {
		return WatchResult{Revision: a.Revision}, ErrCompacted
	}
	return WatchResult{Events: a.Events, Revision: a.Revision}, err
}

// restoredSince reports whether the service has been restored since the last watch of the same prefixes, or since the
// first response before there was one: the revision that the watch continues from may have been given out again.
func (h *HTTP) restoredSince(prefixes string, era int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.watchedEras == nil {
		h.watchedEras = map[string]int64{}
	}
	known, watched := h.watchedEras[prefixes]
	if !watched && h.firstEra != nil {
		known = *h.firstEra
	}
	h.watchedEras[prefixes] = era
	return era != known
}

func (h *HTTP) observeEra(era int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstEra == nil {
		h.firstEra = &era
	}
}

// call sends one request. If a write may have been sent but got no valid response, the error is ErrUnknownOutcome.
// Every other transport failure is ErrUnavailable.
func (h *HTTP) call(ctx context.Context, method, path string, body any) (Response, error) {
	transportErr := ErrUnavailable
	if method != http.MethodGet {
		transportErr = ErrUnknownOutcome
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := h.request(httptrace.WithClientTrace(ctx, trace), method, path, body)
	if err != nil {
		return Response{}, err
	}
	response, err := h.client().Do(request)
	if err != nil {
		if !connected.Load() {
			transportErr = ErrUnavailable
		}
		return Response{}, fmt.Errorf("%w: %w", transportErr, err)
	}
	defer func() {
		// The transport reuses a connection only after the response body has been read to the end.
		_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
		_ = response.Body.Close()
	}()
	var a Response
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&a); err != nil {
		return Response{}, fmt.Errorf("%w: %w", transportErr, err)
	}
	h.observeEra(a.Era)
	if a.Error == "" && response.StatusCode == http.StatusOK {
		return a, nil
	}
	if err := errorOf(a.Error); err != nil {
		return a, err
	}
	return a, errors.Wrapf(transportErr, "unexpected HTTP status %d", response.StatusCode)
}

func (h *HTTP) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, h.BaseURL+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	if h.Name != "" {
		request.Header.Set(HeaderClient, h.Name)
	}
	return request, nil
}

func (h *HTTP) client() *http.Client {
	if h.Client != nil {
		return h.Client
	}
	return http.DefaultClient
}

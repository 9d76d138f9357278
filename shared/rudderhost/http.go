package rudderhost

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable reports that the host list could not be read. Callers keep using the last list that they read.
var ErrUnavailable = errors.New("host list: unavailable")

// maxListBytes limits the size of a host list response; a list of 730 hosts has about 300 KB.
const maxListBytes = 16 << 20

// maxDrainBytes limits how much of a response is discarded after its JSON value so that the connection can be reused.
const maxDrainBytes = 4 << 10

// HTTP implements List over HTTP. Fields must be set before List is called.
type HTTP struct {
	// BaseURL is the service's URL without a trailing slash.
	BaseURL string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
	// OnInvalid is called for each entry that is left out; optional.
	OnInvalid func(err error)
}

// List returns a List that reads from the service.
func (h *HTTP) List() *List { return &List{Hosts: h.hosts} }

func (h *HTTP) hosts(ctx context.Context) ([]Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.BaseURL+"/v1/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	client := h.Client
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() {
		// The transport reuses a connection only after the response body has been read to the end.
		_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "unexpected HTTP status %d", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	hosts, err := decodeHosts(text, func(err error) {
		if h.OnInvalid != nil {
			h.OnInvalid(err)
		}
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return hosts, nil
}

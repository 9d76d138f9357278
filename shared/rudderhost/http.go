package rudderhost

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable reports that the host list could not be read. Callers keep the last list.
var ErrUnavailable = errors.New("host list: unavailable")

// maxListBytes bounds an answer of the host list; 730 hosts take about 300 KB.
const maxListBytes = 16 << 20

// maxDrainBytes bounds what is read after an answer's JSON value.
const maxDrainBytes = 4 << 10

// HTTP is the client adapter to the host list. Set the fields before List is called.
type HTTP struct {
	// BaseURL is the service's URL without a trailing slash.
	BaseURL string
	// Client sends the requests; nil takes http.DefaultClient.
	Client *http.Client
}

// List returns the port that calls the service.
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
		// The connection is reused only after its answer has been read to the end.
		_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "status %d", response.StatusCode)
	}
	var hosts []Host
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&hosts); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return hosts, nil
}

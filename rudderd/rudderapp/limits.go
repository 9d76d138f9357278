package rudderapp

import (
	"net/http"
	"time"

	"comfreyrudder.example/shared/ruddertarget"
)

// observedTransport passes the headers of targets' responses to observeResponse.
type observedTransport struct {
	base http.RoundTripper
	app  *App
}

// RoundTrip implements http.RoundTripper.
func (t observedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sentAt := t.app.Clock.Now()
	response, err := t.base.RoundTrip(r)
	if err == nil {
		t.app.observeResponse(r.URL.Host, response.Header, sentAt)
	}
	return response, err
}

// observeResponse records the limit of requests that a target names in a response.
func (a *App) observeResponse(address string, header http.Header, sentAt time.Time) {
	a.owner.ObserveLimit(address, header.Values(ruddertarget.HeaderRequestLimit), sentAt)
}

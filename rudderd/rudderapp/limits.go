package rudderapp

import (
	"net/http"
	"time"

	"comfreyrudder.example/shared/ruddertarget"
)

// observeResponse records the limit of requests that a target names in a response.
func (a *App) observeResponse(address string, header http.Header, sentAt time.Time) {
	a.owner.ObserveLimit(address, header.Values(ruddertarget.HeaderRequestLimit), sentAt)
}

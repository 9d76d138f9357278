package rudderforward

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// bodyPauseTimeout is how long the body of a refused request may pause before its connection is closed: as long as TCP
	// waits at first before it repeats a lost packet.
	bodyPauseTimeout = time.Second
	// lastBodyTimeout is how long such a body may take when the request's time is over or the host stops: two round trips
	// within a region.
	lastBodyTimeout = 50 * time.Millisecond
	// dropBufferBytes is the size of the reads of a body that is dropped.
	dropBufferBytes = 4 << 10
)

// refuseUnread refuses a request whose body may still be in transit. The response is sent at once, and ServeHTTP drops the
// rest of the body afterwards: closing the connection would reset it when more of the body arrives, and the caller might lose
// the response.
func (f *Forwarder) refuseUnread(r *http.Request, j *job, reason refusal) {
	control := http.NewResponseController(j.writer)
	if r.ContentLength != 0 {
		// Without it the server reads the rest of the body before it sends the response.
		j.unread = control.EnableFullDuplex() == nil // not supported by test recorders
	}
	f.refuse(j, reason)
	if j.unread {
		_ = control.Flush() // a failed write means that the caller has left
	}
}

// bodyLimit returns the greatest size of a request body.
func (f *Forwarder) bodyLimit() int64 {
	if table := f.View.Snapshot().Table; table != nil && table.Limits().BodyBytes > 0 {
		return table.Limits().BodyBytes
	}
	return defaultBodyBytes
}

// bodyDeadline is the time by which the body of a refused request must have arrived.
type bodyDeadline struct {
	control *http.ResponseController
	mu      sync.Mutex
	until   time.Time
}

// extend allows the next read of the body, and reports whether there is time left for it.
func (d *bodyDeadline) extend() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	next := now.Add(bodyPauseTimeout)
	if d.until.Before(next) {
		next = d.until
	}
	return now.Before(d.until) && d.control.SetReadDeadline(next) == nil
}

// shorten ends the reading of the body after lastBodyTimeout.
func (d *bodyDeadline) shorten() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end := time.Now().Add(lastBodyTimeout); end.Before(d.until) {
		d.until = end
		_ = d.control.SetReadDeadline(end)
	}
}

// dropBody reads and drops the rest of the body of a refused request. It reports whether the body has ended, so that the
// connection can be used again.
func (f *Forwarder) dropBody(r *http.Request, j *job) (ended bool) {
	limit := j.limit
	if limit == 0 {
		limit = defaultTimeout
		if p := j.request.CallerTimeout; p > 0 {
			limit = p
		}
	}
	now := f.Uptime()
	left := j.begin + limit - now
	if f.shuttingDown() {
		left = min(left, time.Duration(f.shutdown.end.Load())-now)
	}
	deadline := &bodyDeadline{control: http.NewResponseController(j.writer), until: time.Now().Add(max(left, lastBodyTimeout))}
	defer f.trackBody(deadline.shorten)()
	buffer := make([]byte, dropBufferBytes)
	for size := f.bodyLimit(); size > 0 && deadline.extend(); {
		n, err := r.Body.Read(buffer)
		if errors.Is(err, io.EOF) {
			_ = deadline.control.SetReadDeadline(time.Time{})
			return true
		}
		if err != nil {
			return false
		}
		size -= int64(n)
	}
	return false
}

package rudderforward

import (
	"io"
	"net"
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
	// minDropBytes is how much of such a body is read even if the limit of the routing document is lower: as much as net/http
	// reads.
	minDropBytes = 256 << 10
	// resetDelay is how long a connection stays open after its sending side has ended if more of the body arrives than is
	// read: as long as net/http waits.
	resetDelay = 500 * time.Millisecond
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
	set   func(time.Time) error // sets the read deadline of the connection
	mu    sync.Mutex
	until time.Time
	next  time.Time // read deadline in force
}

// extend allows the next read of the body, and reports whether there is time left for it.
func (d *bodyDeadline) extend() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.next = now.Add(bodyPauseTimeout)
	if d.until.Before(d.next) {
		d.next = d.until
	}
	return now.Before(d.until) && d.set(d.next) == nil
}

// passed reports whether the read deadline in force has passed.
func (d *bodyDeadline) passed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !time.Now().Before(d.next)
}

// use makes the deadline apply to a connection.
func (d *bodyDeadline) use(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set = c.SetReadDeadline
}

// shorten ends the reading of the body after lastBodyTimeout.
func (d *bodyDeadline) shorten() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end := time.Now().Add(lastBodyTimeout); end.Before(d.until) {
		d.until, d.next = end, end
		_ = d.set(end)
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
	left := max(j.begin+limit-now, bodyPauseTimeout)
	if f.shuttingDown() {
		left = max(min(left, time.Duration(f.shutdown.end.Load())-now), lastBodyTimeout)
	}
	control := http.NewResponseController(j.writer)
	deadline := &bodyDeadline{set: control.SetReadDeadline, until: time.Now().Add(left)}
	defer f.trackBody(deadline.shorten)()
	size := max(f.bodyLimit(), minDropBytes)
	err := drop(r.Body, size, deadline)
	if errors.Is(err, io.EOF) {
		_ = control.SetReadDeadline(time.Time{})
		return true
	}
	if !deadline.passed() {
		// The body is too large, or its end can't be found: in chunks not after a read deadline has passed in them.
		dropConnection(control, size, deadline)
	}
	return false
}

// drop reads and drops a body of at most size bytes. It returns io.EOF at its end.
func drop(body io.Reader, size int64, deadline *bodyDeadline) error {
	buffer := make([]byte, dropBufferBytes)
	for size > 0 && deadline.extend() {
		n, err := body.Read(buffer)
		if err != nil {
			return err
		}
		size -= int64(n)
	}
	return nil
}

// dropConnection ends the sending side of a connection, drops what still arrives on it and closes it. If more than size bytes
// arrive, its caller gets resetDelay to read the response before the connection is reset.
func dropConnection(control *http.ResponseController, size int64, deadline *bodyDeadline) {
	connection, _, err := control.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	deadline.use(connection)
	if c, ok := connection.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	if drop(connection, size, deadline) == nil && !deadline.passed() {
		time.Sleep(resetDelay)
	}
}

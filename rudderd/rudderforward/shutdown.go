package rudderforward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// shutdownRetryAfter sends callers on at once: the other entry hosts can serve them now.
const shutdownRetryAfter = 10 * time.Millisecond

// errShutDown cancels the requests that are still in flight at the end of a shutdown.
var errShutDown = errors.New("forward: entry host shuts down")

// shutdown is the state of a planned stop.
type shutdown struct {
	began, end atomic.Int64 // uptimes in nanoseconds; 0 while no shutdown is in progress
	running    sync.Map     // set of *runningRequest
	once       sync.Once
	begun      chan struct{} // made by beginning
}

// beginning returns a channel that is closed when the shutdown begins.
func (s *shutdown) beginning() chan struct{} {
	s.once.Do(func() { s.begun = make(chan struct{}) })
	return s.begun
}

// runningRequest is an accepted request.
type runningRequest struct {
	kind   string // key of durations; empty while the body is arriving
	begin  time.Duration
	cancel context.CancelCauseFunc
	// answered is set when the head of the response has been sent.
	answered atomic.Bool

	// Progress of the current send.
	firstEvent atomic.Int64 // uptime in nanoseconds; 0 before it
	events     atomic.Int64
	// resumedAt is the uptime, in nanoseconds, at which a stream was last sent after it had delivered events; 0 before that.
	resumedAt atomic.Int64
}

// startSend resets the progress.
func (r *runningRequest) startSend(now time.Duration) {
	if r.events.Load() > 0 {
		r.resumedAt.Store(int64(now))
	}
	r.firstEvent.Store(0)
	r.events.Store(0)
}

// waitingSince returns the uptime at which the wait for the first event of the current send began.
func (r *runningRequest) waitingSince() time.Duration {
	if resumed := r.resumedAt.Load(); resumed > 0 {
		return time.Duration(resumed)
	}
	return r.begin
}

func (r *runningRequest) countEvent(now time.Duration) {
	r.firstEvent.CompareAndSwap(0, int64(now))
	r.events.Add(1)
}

// perEvent returns the mean time between the events of the current send; 0 while there are too few of them.
func (r *runningRequest) perEvent(now time.Duration) time.Duration {
	n := r.events.Load()
	if n < minPacedEvents {
		return 0
	}
	return (now - time.Duration(r.firstEvent.Load())) / time.Duration(n-1)
}

// BeginShutdown makes each response close its connection. From now on only requests are accepted that end before an
// uptime.
func (f *Forwarder) BeginShutdown(end time.Duration) {
	f.shutdown.end.Store(int64(end))
	if f.shutdown.began.CompareAndSwap(0, int64(f.Uptime())) {
		close(f.shutdown.beginning())
	}
}

func (f *Forwarder) shuttingDown() bool { return f.shutdown.began.Load() > 0 }

// Close makes the forwarder refuse new requests.
func (f *Forwarder) Close() { f.closed.Store(true) }

// CancelUnanswered cancels the requests in flight that have no response yet. They get an error that tells whether they may
// have run.
func (f *Forwarder) CancelUnanswered() {
	f.cancelRunning(func(r *runningRequest) bool { return !r.answered.Load() })
}

// CancelRunning cancels all requests in flight. Responses that have begun are truncated.
func (f *Forwarder) CancelRunning() { f.cancelRunning(func(*runningRequest) bool { return true }) }

func (f *Forwarder) cancelRunning(applies func(r *runningRequest) bool) {
	f.shutdown.running.Range(func(key, _ any) bool {
		if r := key.(*runningRequest); applies(r) {
			r.cancel(errShutDown)
		}
		return true
	})
}

// track registers an accepted request and returns its context, and the function to call at its end.
func (f *Forwarder) track(ctx context.Context, j *job) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, end := context.WithTimeout(ctx, max(j.remaining(f.Uptime()), 0))
	kind := f.durationKind(j)
	r := &runningRequest{kind: kind, begin: j.begin, cancel: cancel}
	j.running = r
	f.shutdown.running.Store(r, true)
	return ctx, func() {
		f.shutdown.running.Delete(r)
		end()
		cancel(nil)
		if j.code == "" && successful(j.status) {
			f.observeDuration(kind, j)
		}
	}
}

// trackBody registers a request whose body is still arriving, with the function that stops the reading of it. The result is to
// be called once the body has been read, and reports whether the reading was stopped.
func (f *Forwarder) trackBody(stop func()) (read func() (stopped bool)) {
	var mu sync.Mutex
	ended, stopped := false, false
	r := &runningRequest{cancel: func(error) {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			stopped = true
			stop()
		}
	}}
	f.shutdown.running.Store(r, true)
	return func() bool {
		f.shutdown.running.Delete(r)
		mu.Lock()
		defer mu.Unlock()
		ended = true
		return stopped
	}
}

func (f *Forwarder) durationKind(j *job) string { return j.service + "\x00" + f.modelOf(j) }

// observeDuration records a complete request. The time between the events of a stream that was resumed here, or the length
// of one that its caller has resumed, tells nothing about other streams.
func (f *Forwarder) observeDuration(kind string, j *job) {
	now := f.Uptime()
	s := durationSample{endedAt: max(now, 1), took: now - j.begin, firstByte: j.firstByte}
	if j.resumed == 0 && j.events > 1 {
		s.perEvent = (s.took - s.firstByte) / time.Duration(j.events-1)
	}
	f.durations.observe(kind, s)
	if j.request.ExpectedTokens > 0 && j.request.LastEvent == "" && j.events > 0 {
		f.lengths.observe(j.service, float64(j.events*f.tokensPerEvent(j))/float64(j.request.ExpectedTokens), now)
	}
}

// endsBeforeShutdown reports whether a request can be accepted: no shutdown is in progress, or the request will end
// before it, by its time limit or, unless it could go elsewhere, by what recent requests have taken.
func (f *Forwarder) endsBeforeShutdown(j *job) bool {
	if !f.shuttingDown() {
		return true
	}
	now := f.Uptime()
	left := time.Duration(f.shutdown.end.Load()) - now
	if j.remaining(now) <= left {
		return true
	}
	if f.arrivedLate(j) {
		return false
	}
	needed, known := f.timeNeeded(j, now)
	j.expectedTime = needed
	return known && needed <= left
}

// arrivedLate reports whether a request has arrived when its caller should have known of the shutdown, and other entry hosts can serve it.
// What it takes may exceed any estimate, and it would be cut off then.
func (f *Forwarder) arrivedLate(j *job) bool {
	return j.begin-time.Duration(f.shutdown.began.Load()) > f.AddressLifetime && f.ServedElsewhere != nil && f.ServedElsewhere()
}

// repeatInVain reports whether a shutdown will end before a request that is sent again gets the begin of a response, as far as
// the time until then is known.
func (f *Forwarder) repeatInVain(j *job) bool {
	if !f.shuttingDown() {
		return false
	}
	now := f.Uptime()
	recent := f.durations.recent(f.durationKind(j), now)
	return recent.known >= minDurationSamples && recent.typicalFirstByte > time.Duration(f.shutdown.end.Load())-now
}

func shutdownRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: "stopping", message: "entry host stops", retryAfter: shutdownRetryAfter}
}

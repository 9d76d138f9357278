package rudderforward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderroute"
)

const (
	// streamDurationMargin and callDurationMargin multiply the longest recent duration of a request whose time limit ends
	// after the shutdown. Calls are short, so that a queue at a target is a larger part of their duration.
	streamDurationMargin = 1.25
	callDurationMargin   = 2.5
	// targetSilence is how long a sound target may fall silent before it goes on. At least this time is left for a request
	// beyond its expected duration.
	targetSilence = 1200 * time.Millisecond
	// shutdownRetryAfter sends callers on at once: the other entry hosts can serve them now.
	shutdownRetryAfter = 10 * time.Millisecond
)

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
	kind   string // key of durations
	tokens int
	answer time.Duration // of an answer of the full length
	begin  time.Duration
	cancel context.CancelCauseFunc
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

// CancelRunning cancels the requests in flight. Those without a response get an error that tells whether they may have
// run; other responses are truncated.
func (f *Forwarder) CancelRunning() {
	f.shutdown.running.Range(func(key, _ any) bool {
		key.(*runningRequest).cancel(errShutDown)
		return true
	})
}

// track registers an accepted request and returns its context, and the function to call at its end.
func (f *Forwarder) track(ctx context.Context, j *job) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, end := context.WithTimeout(ctx, max(j.remaining(f.Uptime()), 0))
	r := &runningRequest{kind: f.durationKind(j), tokens: j.request.AnswerTokens, answer: f.answerTime(j), begin: j.begin, cancel: cancel}
	f.shutdown.running.Store(r, true)
	return ctx, func() {
		f.shutdown.running.Delete(r)
		end()
		cancel(nil)
		if j.code == "" && successful(j.status) {
			now := f.Uptime()
			f.durations.observe(r.kind, j.firstByte, now-j.begin, r.tokens, now)
		}
	}
}

func (f *Forwarder) durationKind(j *job) string { return j.service + "\x00" + f.modelOf(j) }

// endsBeforeShutdown reports whether a request can be accepted: no shutdown is in progress, or the request will end
// before it, by its time limit or by what recent requests have taken.
func (f *Forwarder) endsBeforeShutdown(j *job) bool {
	if !f.shuttingDown() {
		return true
	}
	now := f.Uptime()
	left := time.Duration(f.shutdown.end.Load()) - now
	if j.remaining(now) <= left {
		return true
	}
	margin := callDurationMargin
	if j.route.Kind == rudderroute.KindStream {
		margin = streamDurationMargin
	}
	expected, known := f.expectedDuration(j, now)
	needed := j.expectedWait + max(time.Duration(margin*float64(expected)), expected+targetSilence)
	j.expectedTime = needed
	return known && needed <= left
}

// expectedDuration returns the longest duration that is expected of a request; ok is false if too few are known. Requests in
// flight that take longer than expected scale it.
func (f *Forwarder) expectedDuration(j *job, now time.Duration) (expected time.Duration, ok bool) {
	kind := f.durationKind(j)
	slowest, known := f.durations.slowest(kind, now)
	if known < minDurationSamples {
		return 0, false
	}
	scale := 1.0
	f.shutdown.running.Range(func(key, _ any) bool {
		if r := key.(*runningRequest); r.kind == kind {
			scale = max(scale, float64(now-r.begin)/float64(max(slowest.of(r.tokens, r.answer), 1)))
		}
		return true
	})
	return time.Duration(scale * float64(slowest.of(j.request.AnswerTokens, f.answerTime(j)))), true
}

// answerTime returns how long an answer of the full length takes; 0 for a service without model engines.
func (f *Forwarder) answerTime(j *job) time.Duration {
	table := f.View.Snapshot().Table
	if table == nil {
		return 0
	}
	service := table.Service(j.service)
	if service == nil || service.Engine == nil {
		return 0
	}
	model, _ := service.Engine.Model(f.modelOf(j))
	return service.Engine.AnswerTime(model, j.request.AnswerTokens)
}

func shutdownRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: "stopping", message: "entry host stops", retryAfter: shutdownRetryAfter}
}

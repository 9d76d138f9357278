package rudderforward

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderroute"
)

const (
	// streamPaceMargin multiplies the recent time between the events of a stream, and callDurationMargin the duration of a
	// call, if the time limit of the request ends after the shutdown. Calls are short, so that a queue at a target is a larger
	// part of their duration.
	streamPaceMargin   = 1.5
	callDurationMargin = 2.5
	// lengthMargin multiplies the length that few recent answers have exceeded.
	lengthMargin = 1.5
	// maxAnswerTokens bounds the length that a caller may name, so that durations do not overflow.
	maxAnswerTokens = 1 << 24
	// minPacedEvents is the number of events after which the pace of a stream is known, and minPacedStreams the number of
	// streams in flight whose paces are used.
	minPacedEvents  = 8
	minPacedStreams = 3
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
	needed, known := f.timeNeeded(j, now)
	j.expectedTime = needed
	return known && needed <= left
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

// timeNeeded returns the time within which an answer of the greatest length should end; ok is false if too few durations are
// known.
func (f *Forwarder) timeNeeded(j *job, now time.Duration) (needed time.Duration, ok bool) {
	kind := f.durationKind(j)
	recent := f.durations.recent(kind, now)
	if recent.known < minDurationSamples {
		return 0, false
	}
	running := f.runningProgress(kind, now)
	expected := max(recent.took, running.longest, f.answerTime(j, j.request.AnswerTokens))
	if j.route.Kind != rudderroute.KindStream {
		// Streams of the same service tell how long the begin of a response takes.
		expected = max(recent.fixed, running.longestWait, f.answerTime(j, j.request.AnswerTokens))
	}
	slow := scaled(expected, streamPaceMargin)
	if events := time.Duration(f.maxEvents(j, now)); events > 0 && recent.perEvent > 0 {
		firstByte := max(recent.firstByte, running.longestWait)
		pace, fullBatch := max(recent.perEvent, running.perEvent), f.answerTime(j, f.tokensPerEvent(j))
		expected = firstByte + events*max(pace, fullBatch)
		slow = firstByte + events*max(scaled(pace, streamPaceMargin), fullBatch)
		if !j.movable() || len(f.View.Snapshot().Groups(j.service, j.request.Model)) < 2 {
			expected = max(expected, firstByte+events*recent.slowestPerEvent)
		}
	}
	if j.route.Kind != rudderroute.KindStream {
		slow = scaled(expected, callDurationMargin)
	}
	return j.expectedWait + max(slow, expected+targetSilence), true
}

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// runningProgress summarizes the requests of one kind in flight.
type runningProgress struct {
	longest     time.Duration // since the begin of a request
	longestWait time.Duration // since the begin, or the resumption, of a request without an event
	perEvent    time.Duration // median of the streams; 0 for too few
}

func (f *Forwarder) runningProgress(kind string, now time.Duration) runningProgress {
	var p runningProgress
	var paces []time.Duration
	f.shutdown.running.Range(func(key, _ any) bool {
		r := key.(*runningRequest)
		if r.kind != kind {
			return true
		}
		p.longest = max(p.longest, now-r.begin)
		if r.events.Load() == 0 {
			p.longestWait = max(p.longestWait, now-r.waitingSince())
		}
		if pace := r.perEvent(now); pace > 0 {
			paces = append(paces, pace)
		}
		return true
	})
	if len(paces) >= minPacedStreams {
		p.perEvent = median(paces)
	}
	return p
}

// maxEvents returns the greatest number of events that is expected of an answer: by the number of tokens that the caller
// allows, and by the caller's estimate, scaled by how far recent answers have exceeded theirs. It is 0 if neither is known.
func (f *Forwarder) maxEvents(j *job, now time.Duration) int {
	tokens := j.request.AnswerTokens
	estimate := lengthMargin * f.lengths.high(j.service, now) * float64(j.request.ExpectedTokens)
	if estimate > 0 && (tokens == 0 || estimate < float64(tokens)) {
		tokens = int(math.Ceil(estimate))
	}
	tokens = min(tokens, maxAnswerTokens)
	perEvent := f.tokensPerEvent(j)
	return (tokens + perEvent - 1) / perEvent
}

// engine returns the engine of the service of a request and the model of its groups; the engine is nil for a service without
// model engines.
func (f *Forwarder) engine(j *job) (*rudderroute.Engine, rudderroute.Model) {
	table := f.View.Snapshot().Table
	if table == nil {
		return nil, rudderroute.Model{}
	}
	service := table.Service(j.service)
	if service == nil || service.Engine == nil {
		return nil, rudderroute.Model{}
	}
	model, _ := service.Engine.Model(f.modelOf(j))
	return service.Engine, model
}

func (f *Forwarder) tokensPerEvent(j *job) int {
	if engine, _ := f.engine(j); engine != nil {
		return max(engine.TokensPerEvent, 1)
	}
	return 1
}

// answerTime returns how long tokens of an answer take at a full batch; 0 for a service without model engines.
func (f *Forwarder) answerTime(j *job, tokens int) time.Duration {
	engine, model := f.engine(j)
	if engine == nil {
		return 0
	}
	return engine.AnswerTime(model, tokens)
}

func shutdownRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: "stopping", message: "entry host stops", retryAfter: shutdownRetryAfter}
}

package rudderforward

import (
	"math"
	"time"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/ruddertarget"
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
	targetSilence = ruddertarget.MinSilence + 100*time.Millisecond
)

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

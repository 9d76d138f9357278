package rudderforward

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderview"
)

var (
	// errCutEvent reports a stream that ended inside an event, or with its connection before the first one.
	errCutEvent = errors.New("forward: stream ended inside an event")
	// errNoEvent reports bytes in a stream that are no event, such as the response to another request.
	errNoEvent = errors.New("forward: bytes in the stream are no event")
)

// resumeWait is how long a stream that has begun waits for a group that can resume it. The wait is short,
// because the caller can resume a truncated stream at another entry host.
const resumeWait = time.Second

// stream serves a request whose response is an event stream.
func (f *Forwarder) stream(ctx context.Context, j *job) {
	j.lastEvent = j.request.LastEvent
	for {
		g, refused := f.nextForStream(ctx, j)
		if refused != nil {
			f.finishFailed(ctx, j, *refused)
			return
		}
		j.group = g.ID
		if j.started {
			j.resumed++
			f.Metrics.Count("streams.resumed")
		}
		if f.streamOnce(ctx, j, g) {
			return
		}
		f.delaySuspect(ctx, j)
		if ctx.Err() != nil {
			f.finishFailed(ctx, j, refusal{status: http.StatusServiceUnavailable, code: "deadline", message: "time is up or the caller left"})
			return
		}
	}
}

// nextForStream chooses the next group. For a stream that has begun it waits up to resumeWait, because the
// caller can no longer get a retry response.
func (f *Forwarder) nextForStream(ctx context.Context, j *job) (*rudderview.Group, *refusal) {
	until := f.Uptime() + resumeWait
	for {
		changed := f.View.Changed()
		g, refused := f.nextGroup(ctx, j)
		left := until - f.Uptime()
		if refused == nil || !j.started || left <= 0 || !refused.mayClearWithin(left) {
			return g, refused
		}
		j.exclude = nil // prefer a group that failed before to none
		timer := time.NewTimer(min(left, resumeWait/5))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return g, refused
		}
	}
}

// mayClearWithin reports whether the reason for a refusal may go away within a time.
func (r *refusal) mayClearWithin(within time.Duration) bool {
	switch r.code {
	case "no_group", "groups_failed", "groups_full", "rate_limited", "targets_pause":
		return r.pausedFor <= within
	}
	return false
}

// streamOnce sends the request to one group and forwards its events. It returns true when the response has
// ended, and false when another group may resume it.
func (f *Forwarder) streamOnce(ctx context.Context, j *job, g *rudderview.Group) bool {
	sendContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.hang = f.guardSend(cancel, g, j)
	guard := f.watch(sendContext, cancel, g, j)
	f.watchdogs.Store(guard, true)
	f.loads.begin(g.Leader.Name, f.Uptime())
	defer func() {
		guard.stop()
		_ = j.hang.stop(nil)
		f.watchdogs.Delete(guard)
		f.loads.end(g.Leader.Name, f.Uptime())
	}()
	if f.checkParts(j) != nil {
		cancel(errPoisoned) // blocked since the group was chosen; later blocks cancel the watchdog
	}
	j.sendEvents, j.answeredAt, j.survived = 0, 0, false
	j.running.startSend(f.Uptime())
	answer, err := f.send(sendContext, j, g, j.lastEvent)
	if err != nil {
		err = j.hang.stop(err)
		f.recordFailure(ctx, j, g, err)
		return false
	}
	j.answeredAt = f.Uptime()
	guard.direct.Store(answer.connection != nil)
	defer func() { _ = answer.response.Body.Close() }()
	status := answer.response.StatusCode
	switch {
	case answer.NotRun:
		f.recordRefusal(j, g, answer)
		return false
	case status == http.StatusOK && answer.Sealed && (!j.started || mediaType(answer.response) == j.mediaType):
	case status == http.StatusOK && !answer.Sealed:
		answer.discard()
		f.recordFailure(ctx, j, g, errors.Mark(errors.New("stream without the seal header"), ErrWrongAnswer))
		return false
	case j.started || status >= 500 && j.route.Repeatable() && j.runs+1 < max(j.route.MaxAttempts, 1):
		f.recordFailure(ctx, j, g, errors.Newf("target %s answered %d of type %q", g.Leader.Name, status, mediaType(answer.response)))
		return false
	default:
		done := f.answerCall(ctx, j, g, answer)
		if !done {
			f.recordFailure(ctx, j, g, j.hang.stop(j.lastErr))
		}
		return done
	}
	return f.copyEvents(ctx, sendContext, j, g, answer, guard)
}

// copyEvents forwards complete events as they arrive.
func (f *Forwarder) copyEvents(ctx, sendContext context.Context, j *job, g *rudderview.Group, answer *reply, guard *watchdog) bool {
	events := &eventReader{source: answer.response.Body, memory: f.Responses.ReservationAbove(freeEventBytes, 1)}
	defer events.memory.Release()
	held := &heldEvents{memory: f.Responses.ReservationAbove(freeEventBytes, heldCopies)}
	defer held.memory.Release()
	control := http.NewResponseController(j.writer)
	reading := f.Uptime() // since when this entry host waits for the next event
	for {
		event, id, err := nextEvent(j, answer, events, held)
		if errors.Is(err, io.EOF) {
			err = cmp.Or(f.checkEnd(ctx, answer, g.Leader), err)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			answer.discard()
			f.recordFailure(ctx, j, g, j.hang.stop(f.streamError(ctx, sendContext, g, answer, err)))
			return false
		}
		fresh := newer(id, j.lastEvent)
		if fresh {
			f.recordEvent(j, g, answer, guard, reading)
		}
		if writeErr := f.deliver(j, answer, held, event, id); writeErr != nil {
			f.callerLeft(j, writeErr)
			return true
		}
		if err != nil {
			f.endStream(j, answer)
			return true
		}
		if fresh && f.leaveSlowGroup(ctx, j, g) {
			guard.cancel(errSlowGroup)
		}
		if !events.buffered() {
			if flushErr := control.Flush(); flushErr != nil {
				f.callerLeft(j, flushErr)
				return true
			}
		}
		if fresh {
			reading = f.Uptime()
		}
	}
}

// streamError returns the error of a stream that broke, with its cause.
func (f *Forwarder) streamError(ctx, sendContext context.Context, g *rudderview.Group, answer *reply, err error) error {
	if cause := context.Cause(sendContext); cause != nil {
		err = cause
	} else if answer.connection != nil && !errors.Is(err, rudderbody.ErrNoMemory) {
		err = f.blamePath(ctx, g.Leader, err)
	}
	return errors.Mark(errors.Wrap(err, "read event stream"), ErrBroken)
}

// recordEvent records an event that is new to the caller and was waited for since an uptime. A caller that reads slowly shortens
// that wait and does not make a group look slow.
func (f *Forwarder) recordEvent(j *job, g *rudderview.Group, answer *reply, guard *watchdog, waitedSince time.Duration) {
	if answer.connection != nil {
		f.Path.Heard(g.Service)
	}
	guard.event()
	f.loads.heard(g.Leader.Name, f.Uptime())
	if j.sendEvents > 0 {
		f.loads.observeGap(g.Leader.Name, f.Uptime()-waitedSince, f.Uptime())
		f.checkPace(g)
	}
	j.deliveredAt = f.Uptime()
	f.countEvent(j)
	j.running.countEvent(f.Uptime())
}

// deliver writes an event to the caller unless it has it. Before the first one it writes the head and what has been held.
func (f *Forwarder) deliver(j *job, answer *reply, held *heldEvents, event []byte, id string) error {
	if !j.started {
		f.beginStream(j, answer)
		if _, err := j.writer.Write(held.text); err != nil {
			return err
		}
		held.release()
	}
	if len(event) == 0 || older(id, j.lastEvent) {
		return nil
	}
	if _, err := j.writer.Write(event); err != nil {
		return err
	}
	if id != "" {
		j.lastEvent = id
	}
	return nil
}

// beginStream sends the head of a stream.
func (f *Forwarder) beginStream(j *job, answer *reply) {
	j.mediaType = mediaType(answer.response)
	f.writeHead(j, answer.response, false, 0)
	if j.pickedAt > 0 && j.sends == 0 {
		f.firstEvents.observe(j.service+"\x00"+j.pickedModel, j.expectedWait, f.Uptime()-j.pickedAt)
	}
}

// nextEvent returns the next event of a stream. Before the response has begun, it holds those without news. At the end of the
// stream, it returns io.EOF only if the stream may be complete.
func nextEvent(j *job, answer *reply, events *eventReader, held *heldEvents) (event []byte, id string, err error) {
	for {
		event, id, err = events.next()
		if errors.Is(err, io.EOF) && (len(bytes.TrimSpace(event)) > 0 || endsEmpty(j, answer)) {
			err = errCutEvent
		}
		if err == nil && !validEvent(event) {
			err = errNoEvent
		}
		begins := errors.Is(err, io.EOF) || err == nil && hasNews(event, id, j.lastEvent)
		if begins && !j.hang.answered(true) {
			err = errLateResponse
		}
		if err != nil || begins || j.started {
			return event, id, err
		}
		if err = held.add(event, id, j.lastEvent); err != nil {
			return nil, "", err
		}
	}
}

// mediaType returns the content type of a response without its parameters.
func mediaType(r *http.Response) string {
	value, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// endStream records the end of a stream that is complete.
func (f *Forwarder) endStream(j *job, answer *reply) {
	j.sends++
	j.runs++
	if answer.framed() {
		f.recordSurvival(j)
	}
}

// endsEmpty reports whether a stream that has just begun, or has just been resumed by this entry host, ended with its
// connection and without a new event, so that its end is no proof of a complete response.
func endsEmpty(j *job, answer *reply) bool {
	if answer.framed() {
		return false
	}
	return j.sendEvents == 0 && (j.lastEvent == "" || j.resumed > 0)
}

func (f *Forwarder) callerLeft(j *job, err error) {
	j.sends++
	j.runs++
	j.code, j.lastErr, j.abort = "caller_left", err, true
}

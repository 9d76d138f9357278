package rudderstream

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/ruddertarget"
)

var (
	errSilent    = errors.New("stream: connection silent")
	errStraggler = errors.New("stream: engine makes no progress")
	errAbandoned = errors.New("stream: no caller reads the answer")
)

// aheadShare of the silence limit is what a connection gets to deliver tokens that the engine has
// already produced.
const aheadShare = 8

// received is what the goroutine that reads a stream passes on.
type received struct {
	event Event
	err   error
}

// open opens the stream. An engine that does not answer within the silence limit is probed like one
// that stops in the middle: a pooled connection may have gone silent before the request was sent.
func (s *run) open(ctx context.Context, slot Slot, after int, text string) (*Stream, error) {
	extension := ruddertarget.WorkExtension{
		RequestID: s.request.ID, Attempt: s.attempt, Group: slot.Group,
		ResumeAfter: after, ResumeText: text, Priority: priority(s.request),
	}
	type opened struct {
		stream *Stream
		err    error
	}
	openContext, cancel := context.WithCancel(ctx)
	result := make(chan opened, 1)
	go func() {
		stream, err := s.Engine.Open(openContext, slot.Address, s.request.Body, extension)
		result <- opened{stream, err}
	}()
	waitStart := s.Clock.Now()
	for {
		timer := s.Clock.NewTimer(s.silenceLimit())
		select {
		case o := <-result:
			timer.Stop()
			if o.err != nil {
				cancel()
				return nil, o.err
			}
			closeStream := o.stream.Close
			o.stream.Close = func() { cancel(); closeStream() }
			return o.stream, nil
		case <-timer.Chan():
			if err := s.judgeSilence(ctx, slot, waitStart); err != nil {
				cancel()
				return nil, err
			}
		case <-ctx.Done():
			timer.Stop()
			cancel()
			return nil, errors.Mark(ctx.Err(), ErrBroken)
		}
	}
}

// read copies the stream's tokens into the answer until it is whole.
func (s *run) read(ctx context.Context, slot Slot, stream *Stream) error {
	events := make(chan received)
	go pump(ctx, stream, events)
	progress := s.Clock.Now()
	for {
		timer := s.Clock.NewTimer(s.silenceLimit())
		select {
		case r := <-events:
			timer.Stop()
			s.ahead = false
			if whole, err := s.accept(r); whole || err != nil {
				return err
			}
			progress = s.Clock.Now()
			if s.answer.abandoned(progress, s.AbandonAfter) {
				return errAbandoned
			}
		case <-timer.Chan():
			if s.finish != nil {
				s.finished(0)
				return nil
			}
			if err := s.judgeSilence(ctx, slot, progress); err != nil {
				return err
			}
		case <-ctx.Done():
			timer.Stop()
			return errors.Mark(ctx.Err(), ErrBroken)
		}
	}
}

// accept takes what was read. It returns whole when the answer has ended: with the usage, or without it
// when nothing more can be read after the last token.
func (s *run) accept(r received) (whole bool, err error) {
	err = r.err
	if err == nil {
		err = s.take(r.event)
	}
	if s.finish != nil && (err != nil || r.event.PromptTokens > 0) {
		s.finished(r.event.PromptTokens)
		return true, nil
	}
	return false, err
}

// silenceLimit is the time without an event after which the engine is probed.
func (s *run) silenceLimit() time.Duration {
	if s.ahead {
		return s.SilenceAfter / aheadShare
	}
	return s.SilenceAfter
}

// pump reads the stream until its end or until nobody takes its events.
func pump(ctx context.Context, stream *Stream, events chan<- received) {
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			// An end marker without a finish reason is a cut answer.
			err = errors.Mark(errors.New("stream ended without a finish reason"), ErrBroken)
		}
		select {
		case events <- received{event, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// take adds an event to the answer. With the last token it sets finish.
func (s *run) take(event Event) error {
	if event.RequestID != s.request.ID {
		return errors.Mark(errors.Newf("chunk of request %q", event.RequestID), ErrMalformed)
	}
	if event.Attempt != s.attempt {
		return nil // late chunk of an older attempt
	}
	if event.Text != "" {
		added, err := s.answer.Append(event.Attempt, event.Seq, event.Text)
		if err != nil {
			return err
		}
		if added {
			s.timeToken()
		}
	}
	if event.FinishReason == "" {
		return nil
	}
	if event.Seq > s.answer.Received() {
		return ErrGap
	}
	s.finish = &Result{Outcome: OutcomeComplete, FinishReason: event.FinishReason}
	return nil
}

// finished ends a whole answer. The usage comes in a chunk of its own after the last token; an answer
// whose usage is lost is whole all the same, with the estimated number of prompt tokens.
func (s *run) finished(promptTokens int) {
	s.finish.PromptTokens = promptTokens
	if promptTokens == 0 {
		s.finish.PromptTokens = s.request.PromptTokens
	}
	s.answer.Finish(*s.finish)
}

func (s *run) timeToken() {
	now := s.Clock.Now()
	if s.last.IsZero() {
		s.timing.FirstToken = now.Sub(s.request.Arrived)
	} else {
		gap := now.Sub(s.last)
		s.gaps += gap
		s.timing.MaxGap = max(s.timing.MaxGap, gap)
	}
	s.last = now
}

// judgeSilence probes an engine that has been silent, on a new connection. It returns nil when the
// engine is alive and merely slow: it queues the request or has produced no more than was received.
func (s *run) judgeSilence(ctx context.Context, slot Slot, progress time.Time) error {
	if s.answer.abandoned(s.Clock.Now(), s.AbandonAfter) {
		return errAbandoned
	}
	probeContext, cancel := context.WithTimeout(ctx, s.ProbeTimeout)
	defer cancel()
	status, err := s.Probe(probeContext, slot.Address, s.request.ID)
	switch {
	case err != nil:
		return errors.Mark(errors.Wrap(err, "probing the engine"), errSilent)
	case status.Attempt != s.attempt:
		return errors.Mark(errors.New("the engine runs another attempt"), errSilent)
	case status.Done || status.Generated > s.answer.Received():
		// A token may be under way just now, so the connection is given one short time more.
		if s.ahead {
			return errors.Mark(errors.New("the engine is ahead of the connection"), errSilent)
		}
		s.ahead = true
	case !status.Queued && s.Clock.Since(progress) > s.StragglerAfter:
		return errStraggler
	}
	return nil
}

package rudderstream

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/ruddertarget"
)

// readResult is an event or an error from the goroutine that reads a stream.
type readResult struct {
	event Event
	err   error
}

// open opens the stream. An engine that does not answer within the silence limit is probed like one that
// stops in the middle: a pooled connection may have been dead before the request was sent.
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
	silence := s.watchSilence(slot, true)
	defer silence.stop()
	for {
		select {
		case o := <-result:
			if o.err != nil {
				cancel()
				return nil, o.err
			}
			closeStream := o.stream.Close
			o.stream.Close = func() { cancel(); closeStream() }
			return o.stream, nil
		case <-silence.timer.Chan():
			silence.probe(ctx)
		case r := <-silence.results:
			if err := silence.judge(r); err != nil {
				cancel()
				return nil, err
			}
		case <-ctx.Done():
			cancel()
			return nil, errors.Mark(ctx.Err(), ErrBroken)
		}
	}
}

// read copies the stream's tokens into the answer until the answer is complete.
func (s *run) read(ctx context.Context, slot Slot, stream *Stream) error {
	events := make(chan readResult)
	go readEvents(ctx, stream, events)
	silence := s.watchSilence(slot, false)
	defer silence.stop()
	for {
		select {
		case r := <-events:
			received, ended := s.answer.Received(), s.pendingResult != nil
			if complete, err := s.handleRead(r); complete || err != nil {
				return err
			}
			if s.answer.Received() > received || s.pendingResult != nil && !ended {
				silence.event()
			}
			if s.answer.abandoned(s.Clock.Now(), s.AbandonAfter) {
				return errAbandoned
			}
		case <-silence.timer.Chan():
			if s.pendingResult != nil {
				s.completeAnswer(0)
				return nil
			}
			silence.probe(ctx)
		case r := <-silence.results:
			if err := silence.judge(r); err != nil {
				if !errors.Is(err, errUnresponsive) && s.readArrived(ctx, events) { // its connection breaks at once
					return nil
				}
				return err
			}
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), ErrBroken)
		}
	}
}

// readArrived reads what has arrived of a stream whose engine has ended, and reports whether that completes the answer.
func (s *run) readArrived(ctx context.Context, events <-chan readResult) bool {
	timer := s.Clock.NewTimer(arrivedTime)
	defer timer.Stop()
	for {
		select {
		case r := <-events:
			if complete, err := s.handleRead(r); complete || err != nil {
				return complete
			}
		case <-timer.Chan():
			if s.pendingResult != nil {
				s.completeAnswer(0)
			}
			return s.pendingResult != nil
		case <-ctx.Done():
			return false
		}
	}
}

// handleRead processes one event or error. It returns true when the answer is complete: after the usage, or
// without it if reading fails after the last token.
func (s *run) handleRead(r readResult) (complete bool, err error) {
	err = r.err
	if err == nil {
		err = s.applyEvent(r.event)
	}
	if s.pendingResult != nil && (err != nil || r.event.PromptTokens > 0) {
		s.completeAnswer(r.event.PromptTokens)
		return true, nil
	}
	return false, err
}

// readEvents reads the stream until it ends or the context does.
func readEvents(ctx context.Context, stream *Stream, events chan<- readResult) {
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			// An end marker without a finish reason means a truncated answer.
			err = errors.Mark(errors.New("stream ended without a finish reason"), ErrBroken)
		}
		select {
		case events <- readResult{event, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// applyEvent adds an event to the answer. With the last token it sets pendingResult.
func (s *run) applyEvent(event Event) error {
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
			s.recordToken()
		}
	}
	if event.FinishReason == "" {
		return nil
	}
	if event.Seq > s.answer.Received() {
		return ErrGap
	}
	s.pendingResult = &Result{Outcome: OutcomeComplete, FinishReason: event.FinishReason}
	return nil
}

// completeAnswer ends the answer. The usage comes in a separate chunk after the last token; an answer whose
// usage is lost is complete all the same, with the estimated number of prompt tokens.
func (s *run) completeAnswer(promptTokens int) {
	s.pendingResult.PromptTokens = promptTokens
	if promptTokens == 0 {
		s.pendingResult.PromptTokens = s.request.PromptTokens
	}
	s.answer.Finish(*s.pendingResult)
}

// recordToken updates the timing of the request for a new token.
func (s *run) recordToken() {
	now := s.Clock.Now()
	if s.lastToken.IsZero() {
		s.timing.FirstToken = now.Sub(s.request.Arrived)
	} else {
		gap := now.Sub(s.lastToken)
		s.totalGap += gap
		s.timing.MaxGap = max(s.timing.MaxGap, gap)
	}
	s.lastToken = now
	s.attemptTokens++
	if s.attemptTokens == survivalTokens && s.Survived != nil {
		s.Survived(s.request)
	}
}

package rudderstream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/shared/ruddertarget"
)

// ErrStopping is the cause with which the context of Run is cancelled when the entry host stops.
var ErrStopping = errors.New("stream: entry host is stopping")

// Runner runs model requests to completion. Set the exported fields before the first call to Run.
type Runner struct {
	Clock  clockwork.Clock
	Logger zerolog.Logger
	Engine *Engine

	// Permit returns an error if this entry host may not dispatch new work now.
	Permit func() error
	// Acquire waits for a slot on a group. It excludes the given groups on a best-effort basis, and returns a
	// *Refusal when the request is given up.
	Acquire func(ctx context.Context, q Request, exclude []string) (Slot, error)
	// Probe queries a group's leader for the state of a request, on a new connection.
	Probe func(ctx context.Context, address, requestID string) (ruddertarget.RequestStatus, error)
	// Cancel requests that a group's leader drop an attempt.
	Cancel func(ctx context.Context, address, requestID string, attempt int) error
	// GroupDied reports whether the process of one of the group's members has died since the slot was
	// acquired.
	GroupDied func(ctx context.Context, slot Slot) bool
	// GroupLost reports whether the planner has found that the group lost a member. Optional.
	GroupLost func(slot Slot) bool
	// ReportDeath shares the suspicion that a request killed a group. begun is set if the group had just begun the
	// answer. It returns when the other entry hosts have been notified, or after a bounded time.
	ReportDeath func(ctx context.Context, q Request, slot Slot, begun bool)
	// Poisoned reports whether the request is refused because targets died while running it, or requests that share
	// a part of its prompt.
	Poisoned func(q Request) bool
	// Survived records that a group has begun the answer and lives. Optional.
	Survived func(q Request)
	// TakeRetry takes one retry from the budget and reports whether one was left.
	TakeRetry func() bool

	MaxAttempts  int
	SilenceAfter time.Duration // time without a token after which the engine is probed
	// DeadAfter is the time without any response after which an engine that does not answer counts as dead.
	DeadAfter    time.Duration
	ProbeTimeout time.Duration // of requests to cancel an attempt
	// StragglerAfter is the time without progress after which an attempt at a live engine is cancelled.
	StragglerAfter time.Duration
	// AbandonAfter is how long a request keeps running after its last caller has left.
	AbandonAfter time.Duration
}

// survivalTokens is the number of tokens after which a group has survived the beginning of an answer.
const survivalTokens = 2

const (
	// resumeWait is how long an answer that has begun waits for a group with room, and a request that may have run for a
	// group. Its caller cannot get it elsewhere.
	resumeWait = 5 * time.Second
	// resumeInterval is the time between two tries.
	resumeInterval = 500 * time.Millisecond
	// groupInterval takes its place while no group may take the request.
	groupInterval = 100 * time.Millisecond
)

// run is the state of one request over its attempts.
type run struct {
	*Runner
	request       Request
	answer        *Answer
	attempt       int
	sent          bool    // a byte of the request may have reached a target
	sends         int     // attempts that may have reached a target, the current one included
	retryTaken    bool    // a retry was taken from the budget for the next attempt
	pendingResult *Result // set with the last token, until the usage arrives
	excluded      []string
	timing        Timing
	lastToken     time.Time     // time of the last token
	totalGap      time.Duration // sum of the times between tokens
	attemptTokens int           // new tokens of the current attempt
}

// Run runs the request until its answer has ended and returns the timing.
func (r *Runner) Run(ctx context.Context, q Request, a *Answer) Timing {
	state := &run{Runner: r, request: q, answer: a}
	for {
		state.attempt++
		state.request.Attempt, state.request.Sent = state.attempt, state.sent
		err := state.runAttempt(ctx)
		if result, ended := state.conclude(ctx, err); ended {
			a.Finish(result)
			break
		}
		if state.attempt >= r.MaxAttempts {
			select {
			case <-ctx.Done():
			case <-r.Clock.After(resumeInterval):
			}
		}
	}
	state.timing.Attempts = state.attempt
	state.timing.Tokens = a.Received()
	if state.timing.Tokens > 1 {
		state.timing.MeanGap = state.totalGap / time.Duration(state.timing.Tokens-1)
	}
	return state.timing
}

// runAttempt runs one attempt. It returns nil when the answer is complete.
func (s *run) runAttempt(ctx context.Context) error {
	if s.Poisoned(s.request) {
		return &Refusal{Code: CodePoison, Message: "targets died running this request"}
	}
	slot, err := s.acquire(ctx)
	if err != nil {
		return err
	}
	s.timing.Wait += slot.Wait
	s.timing.Group = slot.Group
	start, before := s.Clock.Now(), s.answer.Received()
	err = s.dispatch(ctx, slot)
	slot.Release(Usage{
		Tokens:    s.answer.Received() - before,
		Duration:  s.Clock.Since(start),
		Completed: err == nil,
		Failed:    groupFailed(err),
	})
	if err != nil && !isRefusal(err) {
		s.excluded = append(s.excluded, slot.Group)
		s.Logger.Warn().Err(err).Str("request_id", s.request.ID).Int("attempt", s.attempt).
			Str("group", slot.Group).Int("received", s.answer.Received()).Msg("attempt failed")
	}
	if mayHaveKilled(err) && s.GroupDied(ctx, slot) {
		s.request.Deaths++
		s.ReportDeath(ctx, s.request, slot, s.attemptTokens < survivalTokens)
	}
	return err
}

// acquire waits for a slot. For an answer that has begun it tries again while no group has room, and for a request that may
// have run while no group serves it: its caller could send it again only at the risk of a second run. An answer that has
// begun is not cut for being suspected.
func (s *run) acquire(ctx context.Context) (Slot, error) {
	until := s.Clock.Now().Add(resumeWait)
	s.request.Colocate = false
	for {
		slot, err := s.Acquire(ctx, s.request, s.excluded)
		if noGroupLeft(err) && len(s.excluded) > 0 {
			// A group that failed an attempt may have recovered, and no other group is left.
			s.excluded = nil
			slot, err = s.Acquire(ctx, s.request, nil)
		}
		waits := s.answer.Received() > 0 && lacksRoom(err) || s.sent && noGroupLeft(err)
		if !waits || s.request.Colocate {
			return slot, err
		}
		if !s.Clock.Now().Before(until) {
			if s.answer.Received() == 0 {
				return slot, err
			}
			s.request.Colocate = true
			continue
		}
		interval := resumeInterval
		if noGroupLeft(err) {
			interval = groupInterval
		}
		select {
		case <-ctx.Done():
			return slot, err
		case <-s.Clock.After(interval):
		}
	}
}

// lacksRoom reports whether a request was refused because no group has room for it now.
func lacksRoom(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && (refusal.Code == CodeNoCapacity || refusal.Code == CodeNoGroup || refusal.Code == CodeEvacuated)
}

// dispatch sends the request to the group's leader and reads the stream. The permit is checked right before
// sending, because it may have expired while the request waited for the slot. An answer that has begun is resumed
// without one: it was admitted, and its caller waits for the rest.
func (s *run) dispatch(ctx context.Context, slot Slot) error {
	if err := s.Permit(); err != nil && s.answer.Received() == 0 {
		return &Refusal{Code: CodeNotReady, Message: err.Error(), RetryAfter: time.Second}
	}
	s.pendingResult, s.attemptTokens, s.retryTaken = nil, 0, false
	received, text := s.answer.StartAttempt(s.attempt)
	attemptContext, cancel := context.WithCancel(ctx)
	defer cancel()
	s.sends++
	stream, err := s.open(attemptContext, slot, received, text)
	if err != nil {
		if isNotSent(err) {
			s.sends--
		} else {
			s.sent = true
		}
		return err
	}
	s.sent = true
	defer stream.Close()
	err = s.read(attemptContext, slot, stream)
	if err != nil {
		s.cancelAttempt(slot)
	}
	return err
}

// cancelAttempt requests that the engine drop the attempt, so that a stream that is no longer read does not occupy
// a place in the batch.
func (s *run) cancelAttempt(slot Slot) {
	ctx, cancel := context.WithTimeout(context.Background(), s.ProbeTimeout)
	attempt := s.attempt
	go func() {
		defer cancel()
		_ = s.Cancel(ctx, slot.Address, s.request.ID, attempt)
	}()
}

// conclude decides whether the request ends after an attempt, and with which result.
func (s *run) conclude(ctx context.Context, err error) (Result, bool) {
	if err == nil {
		result, _ := s.answer.Done()
		return result, true
	}
	var refusal *Refusal
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return s.failure(CodeNotReady, "the entry host stopped before the end of the answer", time.Second), true
	case errors.As(err, &refusal):
		return s.failure(refusal.Code, refusal.Message, refusal.RetryAfter), true
	case errors.Is(err, ErrBadRequest) && s.answer.Received() == 0: // else an engine has accepted the request before
		return s.failure(CodeBadRequest, err.Error(), 0), true
	case errors.Is(err, errAbandoned) || ctx.Err() != nil:
		return s.failure(CodeAbandoned, "the caller left and did not come back", 0), true
	case errors.Is(err, rudderbody.ErrNoMemory) && (s.attemptsSpent() || !errors.Is(err, ErrBroken)):
		return s.failure(CodeMemoryFull, "the answers to other requests leave no memory for this one", time.Second), true
	case s.attemptsSpent():
		return s.failure(CodeRetryExhausted, err.Error(), time.Second), true
	case !s.takeRetry(err):
		return s.failure(CodeTargetFailed, "retry budget spent: "+err.Error(), time.Second), true
	}
	return Result{}, false
}

// attemptsSpent reports whether no attempt is left after the current one. For an answer that has begun, attempts that did
// not reach a target do not count for some time: its caller cannot get the rest elsewhere.
func (s *run) attemptsSpent() bool {
	if s.answer.Received() == 0 || s.Clock.Since(s.lastToken) >= resumeWait {
		return s.attempt >= s.MaxAttempts
	}
	return s.sends >= s.MaxAttempts
}

// takeRetry takes a retry from the budget, unless it has been taken for the next attempt. A stream that has begun is resumed
// regardless of the budget: its caller waits for the rest. An attempt that did not reach a target is no load to repeat.
func (s *run) takeRetry(err error) bool {
	s.retryTaken = s.retryTaken || s.answer.Received() > 0 || errors.Is(err, ErrNotSent) || s.TakeRetry()
	return s.retryTaken
}

// failure returns a failed result. Its outcome depends on whether any byte may have reached a target.
func (s *run) failure(code, message string, retryAfter time.Duration) Result {
	outcome := OutcomeNotRun
	if s.sent {
		outcome = OutcomeMayHaveRun
	}
	return Result{Outcome: outcome, Code: code, Message: message, RetryAfter: retryAfter}
}

func noGroupLeft(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.NoGroup
}

func isRefusal(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal)
}

// isNotSent reports whether an error guarantees that the engine did not run the request.
func isNotSent(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) || errors.Is(err, ErrBadRequest)
}

// mayHaveKilled reports whether an attempt that ended with the error may have killed a member of its group.
func mayHaveKilled(err error) bool {
	return groupFailed(err) && !errors.Is(err, ErrNotSent) && !errors.Is(err, errUnresponsive)
}

// groupFailed reports whether the error is a fault of the group.
func groupFailed(err error) bool {
	for _, fault := range []error{ErrNotSent, ErrBroken, ErrMalformed, ErrGap, errSilent, errStraggler} {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}

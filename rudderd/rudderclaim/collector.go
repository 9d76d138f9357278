package rudderclaim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"comfreyrudder.example/shared/rudderstore"
)

// collector runs the state machine of one shard: it performs one step at a time and adds submitted operations
// in between.
type collector struct {
	core        *Shard
	store       rudderstore.Store
	clock       clockwork.Clock
	logger      zerolog.Logger
	submissions chan submission
	recall      func(ctx context.Context, shard int, after int64) Recall

	waiting map[uint64]chan<- Decision
}

// submission is an operation with the channel for its decision.
type submission struct {
	kind     opKind
	request  Request
	answer   *Answer
	seen     int64 // highest head sequence that the caller has seen
	deadline time.Time
	decided  chan<- Decision
}

// submit queues an operation and waits for its decision.
func (c *collector) submit(ctx context.Context, s submission) (Decision, error) {
	decided := make(chan Decision, 1)
	s.decided = decided
	s.deadline = c.clock.Now().Add(operationTimeout)
	if d, ok := ctx.Deadline(); ok {
		// The context's deadline is of the system clock, so it is converted to the collector's clock.
		s.deadline = c.clock.Now().Add(time.Until(d))
	}
	select {
	case c.submissions <- s:
	case <-ctx.Done():
		return Decision{}, errors.Wrapf(ErrUnavailable, "%v", ctx.Err())
	}
	select {
	case d := <-decided:
		return c.withAnswer(ctx, s.request, d), nil
	case <-ctx.Done():
		return Decision{}, errors.Wrapf(ErrUnavailable, "%v", ctx.Err())
	}
}

// withAnswer adds an answer that is stored in a segment only. If it cannot be read, the verdict is
// VerdictMayHaveRun.
func (c *collector) withAnswer(ctx context.Context, request Request, d Decision) Decision {
	if d.segment == "" || d.Answer != nil {
		return d
	}
	d.Verdict = VerdictMayHaveRun
	e, _, err := c.store.Get(ctx, segmentKey(request.Shard(), d.segment))
	if err != nil {
		return d
	}
	segment, err := DecodeSegment(e.Value)
	if err != nil {
		return d
	}
	for _, r := range segment.Records {
		if r.Key == request.key && r.Answer != nil {
			d.Verdict, d.Answer = VerdictStored, r.Answer
		}
	}
	return d
}

func (c *collector) run(ctx context.Context) {
	c.waiting = map[uint64]chan<- Decision{}
	restores := 0
	for ctx.Err() == nil {
		c.drainSubmissions()
		step, replies := c.core.Next(c.clock.Now())
		c.deliver(replies)
		switch step.Kind {
		case StepIdle:
			c.wait(ctx, nil)
		case StepWait:
			timer := c.clock.NewTimer(step.At.Sub(c.clock.Now()))
			c.wait(ctx, timer.Chan())
			timer.Stop()
		default:
			c.deliver(c.core.Finish(c.do(ctx, step), c.clock.Now()))
		}
		if n := c.core.Restores(); n > restores {
			restores = n
			c.logger.Warn().Msg("key-value service was restored to an older state, writing lost claims back")
		}
	}
}

// wait blocks until the timer fires, an operation is added or the context ends.
func (c *collector) wait(ctx context.Context, timer <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-timer:
	case s := <-c.submissions:
		c.add(s)
	}
}

func (c *collector) drainSubmissions() {
	for {
		select {
		case s := <-c.submissions:
			c.add(s)
		default:
			return
		}
	}
}

func (c *collector) add(s submission) {
	now := c.clock.Now()
	var id uint64
	switch s.kind {
	case opClaim:
		c.core.ObserveSeq(s.seen)
		id = c.core.Claim(s.request, now, s.deadline)
	case opSettle:
		id = c.core.Settle(s.request, s.answer, now, s.deadline)
	case opRelease:
		id = c.core.Release(s.request, now, s.deadline)
	}
	c.waiting[id] = s.decided
}

func (c *collector) deliver(replies []Reply) {
	for _, r := range replies {
		r.Decision.seq = c.core.Seq()
		c.waiting[r.ID] <- r.Decision
		delete(c.waiting, r.ID)
	}
}

// do performs one step.
func (c *collector) do(ctx context.Context, step Step) Result {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var r Result
	switch step.Kind {
	case StepGet:
		r.Entry, r.Revision, r.Err = c.store.Get(ctx, step.Key)
	case StepPut:
		r.Revision, r.Err = c.store.Put(ctx, step.Put)
	case StepDelete:
		r.Revision, r.Err = c.store.Delete(ctx, step.Key, rudderstore.AnyRevision)
	case StepRecall:
		r.Recall = c.recall(ctx, c.core.index, step.After)
		if !r.Recall.Complete {
			c.logger.Warn().Msg("claim recall is incomplete, a live entry host did not answer; granting claims without its records")
		}
	}
	if r.Err != nil && !errors.Is(r.Err, rudderstore.ErrNotFound) {
		c.logger.Debug().Err(r.Err).Str("step", string(step.Kind)).Msg("step of a claims shard failed")
	}
	return r
}

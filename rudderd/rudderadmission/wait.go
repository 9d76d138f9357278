package rudderadmission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/shared/rudderconfig"
)

const (
	// defaultSlotRate is the assumed tokens per second of a slot before any run has finished: one token each
	// 63 ms, the slowest rate that the design goals allow.
	defaultSlotRate = 16.0
	minRetryAfter   = 200 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
)

// drainRate estimates the tokens per second that leave the queue for a class of work.
func (s *Shard) drainRate(class rudderconfig.WorkClass, policy Policy) float64 {
	rate := s.slotRate
	if rate <= 0 {
		rate = defaultSlotRate
	}
	slots := 0
	for _, g := range s.groups {
		if g.Draining {
			continue
		}
		if class == rudderconfig.ClassLong {
			slots += max(0, s.free(g, class, policy)) + g.long
		} else {
			slots += max(0, s.effectiveSlots(g)-g.long)
		}
	}
	return float64(max(1, slots)) * rate
}

// expectedWait estimates the time in the queue from the tokens queued ahead and the drain rate.
func (s *Shard) expectedWait(work Work, policy Policy) time.Duration {
	ahead := 0
	own := &lane{priority: work.Priority, class: work.Class}
	for _, l := range s.lanes {
		switch order := compareLanes(l, own); {
		case order < 0 && (l.class == work.Class || work.Class == rudderconfig.ClassLong):
			ahead += l.tokens
		case order == 0:
			ahead += l.tokensAhead(work.Workspace, work.weight())
		}
	}
	wait := seconds(float64(ahead) / s.drainRate(work.Class, policy))
	if rate := s.limitedRate(work); rate > 0 {
		wait = max(wait, seconds(float64(s.QueueLength()+1)/rate))
	}
	return wait
}

// retryAfter returns the time until half of the queue has drained, or until the expected wait fits the
// deadline if that is later. A jitter of up to a quarter, derived from the request ID, keeps refused callers
// from retrying at the same time.
func (s *Shard) retryAfter(work Work, policy Policy, excess time.Duration) time.Duration {
	queued := 0
	for _, l := range s.lanes {
		if l.class == work.Class {
			queued += l.tokens
		}
	}
	after := max(seconds(float64(queued)/2/s.drainRate(work.Class, policy)), excess)
	after = min(max(after, minRetryAfter), maxRetryAfter)
	spread := float64(xxhash.Sum64String(work.RequestID)%1024) / 1024
	return time.Duration(float64(after) * (1 + spread/4))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

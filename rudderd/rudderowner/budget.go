package rudderowner

import "time"

const (
	// retryShare is the share of requests that may be retried, in addition to retriesPerSecond.
	retryShare       = 0.1
	retriesPerSecond = 1.0
	// maxRetryCredit bounds the burst of retries after a period without any.
	maxRetryCredit = 10.0
)

// retryBudget limits retries to a share of the requests plus a constant rate.
type retryBudget struct {
	credit float64
	at     time.Time
}

func (b *retryBudget) addRequest(now time.Time) {
	b.addTime(now)
	b.credit = min(b.credit+retryShare, maxRetryCredit)
}

func (b *retryBudget) addTime(now time.Time) {
	if b.at.IsZero() {
		b.credit, b.at = retriesPerSecond, now
	}
	b.credit = min(b.credit+retriesPerSecond*max(0, now.Sub(b.at).Seconds()), maxRetryCredit)
	b.at = now
}

func (b *retryBudget) take() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

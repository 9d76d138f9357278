package rudderview

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

const (
	// listTimeout bounds a read of all records. While a process has none, firstListTimeout bounds the wait for the first part of the
	// answer and doubles with each read that gets none, so that a short return of the service is not missed.
	listTimeout      = 3 * time.Second
	firstListTimeout = 400 * time.Millisecond
	// retryPause is the longest pause after the first failed call. It doubles with each further failure, up
	// to maxRetryPause: without backoff an overloaded service that refuses calls would get hundreds of calls
	// a second from a hundred entry hosts.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
	// shortRetryPause bounds the pause on an entry host that has followers, of which there are few, and on one that has no records
	// and gets no answer: an outage that comes and goes may end for less than a second.
	shortRetryPause = 300 * time.Millisecond
)

// errReadTimeout is the cause of the end of a read of all records that took too long.
var errReadTimeout = errors.New("view: the key-value service has not sent all records in time")

// RetryAfter returns the pause after a number of consecutive failed calls to the key-value service. jitter, 0
// to 1, spreads the calls of the entry hosts over the second half of the longest pause.
func RetryAfter(failures int, jitter float64) time.Duration {
	longest := min(retryPause<<min(failures-1, 8), maxRetryPause)
	return longest/2 + time.Duration(jitter*float64(longest)/2)
}

// retryAfter is RetryAfter, bounded by shortRetryPause where that applies.
func (v *View) retryAfter(failures int) time.Duration {
	pause := RetryAfter(failures, rand.Float64())
	if v.hasFollowers() || v.unanswered > 0 && v.AwaitsRecords() {
		return min(pause, shortRetryPause)
	}
	return pause
}

// RetryNow ends the current or the next pause after a failed call, and a first read that gets no answer. It is called when the service has
// answered another call.
func (v *View) RetryNow() {
	if !v.failing.Load() && !v.AwaitsRecords() {
		return
	}
	select {
	case v.retryChannel() <- struct{}{}:
	default:
	}
}

func (v *View) retryChannel() chan struct{} {
	v.retryOnce.Do(func() { v.retry = make(chan struct{}, 1) })
	return v.retry
}

func (v *View) pauseUntilRetry(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-v.retryChannel():
	}
}

// readContext bounds a read of all records. While the process has none, the read also ends if no part of the answer arrives in time, or if
// the service answers another call but not this one within firstListTimeout.
func (v *View) readContext(ctx context.Context, stale bool) (context.Context, context.CancelFunc) {
	ctx, end := context.WithTimeoutCause(ctx, listTimeout, errReadTimeout)
	if stale || v.hasRecords.Load() { // a stale read is that of all entry hosts at once, which may take long
		return ctx, end
	}
	ctx, cancel := context.WithCancelCause(ctx)
	begun, begin := context.WithCancel(ctx)
	limit := min(firstListTimeout<<min(v.unanswered, 8), listTimeout)
	go func() {
		defer begin()
		if sleep(begun, firstListTimeout); begun.Err() != nil {
			return
		}
		rest := time.NewTimer(limit - firstListTimeout)
		defer rest.Stop()
		select {
		case <-begun.Done():
			return
		case <-rest.C:
		case <-v.retryChannel():
			v.RetryNow()
		}
		cancel(errReadTimeout)
	}()
	return rudderstore.WithProgress(ctx, begin), func() { cancel(nil); end() }
}

// noteRead counts the reads of all records that took too long.
func (v *View) noteRead(ctx context.Context, err error) {
	if err != nil && errors.Is(context.Cause(ctx), errReadTimeout) {
		v.unanswered++
		return
	}
	v.unanswered = 0
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

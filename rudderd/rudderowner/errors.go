package rudderowner

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Acquire. In each case the request did not run.
var (
	// ErrRefused reports that the work would wait too long. RetryAfter returns when to try again.
	ErrRefused = errors.New("admission: refused")
	// ErrNoGroup reports that no group serves the work.
	ErrNoGroup = errors.New("admission: no group serves the work")
	// ErrDeadline reports that the deadline passed before a slot was free.
	ErrDeadline = errors.New("admission: deadline passed in the queue")
)

type refusedError struct {
	after  time.Duration
	reason string
	// unconfirmed is set when the only groups for the work are not confirmed at this entry host.
	unconfirmed bool
	// notOwner is set when the owner answered at once that it does not serve the shard.
	notOwner bool
}

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("admission: refused, retry after %s: %s", e.after, e.reason)
}

// Is makes errors.Is(err, ErrRefused) true.
func (e *refusedError) Is(target error) bool { return target == ErrRefused }

// RetryAfter returns when refused work may be sent again, or 0 for other errors.
func RetryAfter(err error) time.Duration {
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.after
	}
	return 0
}

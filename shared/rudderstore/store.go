// Package rudderstore is the port to the platform's key-value service: single-key compare-and-swap,
// leases and long-polled watches.
package rudderstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Errors that a Store returns. Callers test them with errors.Is.
var (
	// ErrNotFound reports that the key or the lease does not exist.
	ErrNotFound = errors.New("key-value service: not found")
	// ErrConflict reports that the key's revision differs from the expected one. Nothing was written.
	ErrConflict = errors.New("key-value service: revision conflict")
	// ErrUnavailable reports that the request cannot have reached the service, or that the service
	// refused it. Nothing was written.
	ErrUnavailable = errors.New("key-value service: unavailable")
	// ErrUnknownOutcome reports that a write was sent but got no answer: it may have taken effect now
	// or may still take effect later.
	ErrUnknownOutcome = errors.New("key-value service: outcome unknown")
	// ErrRateLimited reports that the service refused the call because of its rate. Nothing was written.
	ErrRateLimited = errors.New("key-value service: rate limited")
	// ErrCompacted reports that a watch asked for revisions that the service no longer has, or that
	// are newer than the service's state (it was restored to an older one). List again.
	ErrCompacted = errors.New("key-value service: watch revision not available")
	// ErrIncomplete reports an answer that began and did not arrive whole in time: the service is there, but its answer
	// is too long for the link or this host too slow. It comes beside ErrUnavailable or ErrUnknownOutcome.
	ErrIncomplete = errors.New("key-value service: answer incomplete")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("key-value service: value too large")
)

// AnyRevision in PutRequest.Expected writes whatever the key's revision is.
const AnyRevision int64 = -1

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store revision of the last write to this key; 0 means that the key is absent.
	Revision int64 `json:"revision"`
	// Lease is the lease that the key is attached to, or 0. The key is deleted when the lease ends.
	Lease int64 `json:"lease,omitempty"`
}

// PutRequest is one conditional write.
type PutRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expected is the revision the key must have: 0 for "absent", AnyRevision for "any".
	Expected int64 `json:"expected"`
	// Lease attaches the key to a lease, or 0.
	Lease int64 `json:"lease,omitempty"`
}

// Event is one change seen by a watch. A deleted key has Deleted set and no value.
type Event struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// WatchRequest asks for changes after a store revision, waiting up to Wait for the first one.
type WatchRequest struct {
	Prefixes []string
	After    int64
	Wait     time.Duration
}

// WatchResult holds the changes in revision order and the store revision they lead to. It is empty
// but for the revision when Wait passed without a change.
type WatchResult struct {
	Events   []Event `json:"events"`
	Revision int64   `json:"revision"`
}

// Store is the port to the key-value service. Reads are linearizable. Every call returns the store
// revision, which lets callers notice that the service was restored to an older state.
type Store struct {
	// Get returns ErrNotFound, with a valid store revision, when the key is absent.
	Get func(ctx context.Context, key string) (Entry, int64, error)
	// List returns the entries under a prefix in key order.
	List func(ctx context.Context, prefix string) ([]Entry, int64, error)
	// ListStale is List for a snapshot that may be seconds old, at a part of the price. A watch from the returned revision
	// repeats every change that the snapshot may miss. Optional.
	ListStale func(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Put returns the new revision of the key.
	Put func(ctx context.Context, request PutRequest) (int64, error)
	// Delete removes the key if it has the expected revision (AnyRevision for any).
	Delete func(ctx context.Context, key string, expected int64) (int64, error)
	// GrantLease creates a lease and returns its identifier.
	GrantLease func(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease for its full time-to-live. ErrNotFound means that it has ended.
	KeepAlive func(ctx context.Context, lease int64) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease func(ctx context.Context, lease int64) error
	// Watch waits for changes. ErrCompacted asks the caller to list again.
	Watch func(ctx context.Context, request WatchRequest) (WatchResult, error)
}

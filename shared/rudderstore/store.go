// Package rudderstore defines the interface to the platform's key-value service: single-key compare-and-swap, leases
// and long-polled watches.
package rudderstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the service's limit on the size of a value.
const MaxValueBytes = 1 << 20

// Errors that a Store returns. Callers test them with errors.Is.
var (
	// ErrNotFound reports that the key or the lease does not exist.
	ErrNotFound = errors.New("key-value service: not found")
	// ErrConflict reports that the key's revision differs from the expected one. Nothing was written.
	ErrConflict = errors.New("key-value service: revision conflict")
	// ErrUnavailable reports that the request cannot have reached the service, or that the service refused it.
	// Nothing was written.
	ErrUnavailable = errors.New("key-value service: unavailable")
	// ErrUnknownOutcome reports that a write was sent but got no valid response: it may have taken effect or may
	// still take effect later.
	ErrUnknownOutcome = errors.New("key-value service: outcome unknown")
	// ErrRateLimited reports that the service refused the call because of its rate limit. Nothing was written.
	ErrRateLimited = errors.New("key-value service: rate limited")
	// ErrCompacted reports that a watch asked for revisions that the service no longer has, or that are newer than
	// the service's state because it was restored to an older one. The caller must list again.
	ErrCompacted = errors.New("key-value service: watch revision not available")
	// ErrIncomplete reports a response that started but did not arrive completely in time: the service is reachable,
	// but the response is too large for the link or this host is too slow. An error that matches it also matches
	// ErrUnavailable or ErrUnknownOutcome.
	ErrIncomplete = errors.New("key-value service: response incomplete")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("key-value service: value too large")
)

// AnyRevision as the expected revision makes a write or delete unconditional.
const AnyRevision int64 = -1

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store revision of the last write to this key; 0 means that the key is absent.
	Revision int64 `json:"revision"`
	// Lease is the lease to which the key is attached, or 0. The key is deleted when the lease ends.
	Lease int64 `json:"lease,omitempty"`
}

// PutRequest is one conditional write.
type PutRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expected is the revision that the key must have: 0 for an absent key, AnyRevision for any.
	Expected int64 `json:"expected"`
	// Lease is the lease to attach the key to, or 0.
	Lease int64 `json:"lease,omitempty"`
}

// Event is one change that a watch reports. For a deleted key, Deleted is set and the value is empty.
type Event struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// WatchRequest asks for the changes after a store revision and waits up to Wait for the first one.
type WatchRequest struct {
	Prefixes []string
	After    int64
	Wait     time.Duration
}

// WatchResult holds the changes in revision order and the store revision after them. If there was no change within
// Wait, only the revision is set.
type WatchResult struct {
	Events   []Event `json:"events"`
	Revision int64   `json:"revision"`
}

// Store is the interface to the key-value service. Reads are linearizable, except ListStale. Reads, writes and
// watches return the store revision, which lets callers detect that the service was restored to an older state.
type Store struct {
	// Get returns ErrNotFound, along with a valid store revision, if the key is absent.
	Get func(ctx context.Context, key string) (Entry, int64, error)
	// List returns the entries with a key prefix, sorted by key.
	List func(ctx context.Context, prefix string) ([]Entry, int64, error)
	// ListStale is a cheaper List of a snapshot that may be some seconds old. A watch from the returned revision
	// reports every change that the snapshot may lack. It may be nil.
	ListStale func(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Put returns the new revision of the key.
	Put func(ctx context.Context, request PutRequest) (int64, error)
	// Delete removes the key if it has the expected revision (AnyRevision for any).
	Delete func(ctx context.Context, key string, expected int64) (int64, error)
	// GrantLease creates a lease and returns its identifier.
	GrantLease func(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease for its full time to live. It returns ErrNotFound if the lease has ended.
	KeepAlive func(ctx context.Context, lease int64) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease func(ctx context.Context, lease int64) error
	// Watch waits for changes. After ErrCompacted the caller must list again.
	Watch func(ctx context.Context, request WatchRequest) (WatchResult, error)
}

package rudderchange

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderpermit"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderstore"
)

// State is the progress of a change.
type State string

// States of a change.
const (
	// StateAccepted: the change is in force; no entry host serves under an older version.
	StateAccepted State = "accepted"
	// StatePending: the change is written but not known to be in force. Call Await to continue waiting.
	StatePending State = "pending"
	// StateConflict: another change took the version. Nothing was written.
	StateConflict State = "conflict"
	// StateRefused: nothing was written.
	StateRefused State = "refused"
)

// writeAttempts limits the attempts to write a document, and those to reach a majority before.
const writeAttempts = 5

// Result is the outcome of a change. In a conflict Version, ChangedBy, ChangedAt and Summary are those of the
// change that won.
type Result struct {
	Version   int64
	State     State
	ChangedBy string
	ChangedAt time.Time
	Summary   string
	// Missing lists the members that have not acknowledged the version.
	Missing []string
	// Slowest is one of the members whose acknowledgement was missing last.
	Slowest string
	// InForceAfter is the time from the call until the change was in force.
	InForceAfter time.Duration
}

// Change writes a document as the version after expected and waits until it is in force. If the context ends
// after the write, the change is pending.
func (c *Controller) Change(ctx context.Context, expected int64, document *rudderconfig.Document, author, summary string) (Result, error) {
	began := c.Clock.Now()
	raw, result, err := c.prepare(expected, document, author, summary)
	if err != nil {
		return result, err
	}
	if missing, err := c.checkMajority(ctx); err != nil {
		result.Missing = missing
		return result, err
	}
	winner, err := c.write(ctx, expected, raw)
	if err != nil {
		if winner != nil {
			return conflictWith(winner), err
		}
		if errors.Is(err, rudderstore.ErrUnknownOutcome) {
			result.State, result.Missing = StatePending, c.Node.Registry().Names()
		}
		return result, err
	}
	if err := c.adopt(raw, true); err != nil {
		return result, err
	}
	c.report(c.writeHistory(ctx, result.Version, raw))
	_, version, _ := parse(raw)
	return c.await(ctx, began, version, result)
}

func (c *Controller) prepare(expected int64, document *rudderconfig.Document, author, summary string) ([]byte, Result, error) {
	d := *document
	d.Version, d.ChangedBy, d.ChangedAt, d.Summary = expected+1, author, c.Clock.Now().UTC(), summary
	result := Result{
		Version: d.Version, State: StateRefused, ChangedBy: author, ChangedAt: d.ChangedAt, Summary: summary,
	}
	if c.Validate != nil {
		if err := c.Validate(&d); err != nil {
			return nil, result, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	raw, err := json.Marshal(&d)
	if err != nil {
		return nil, result, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(raw) > rudderstore.MaxValueBytes {
		return nil, result, fmt.Errorf("%w: %w", ErrInvalid, rudderstore.ErrTooLarge)
	}
	return raw, result, nil
}

// checkMajority implements step 1 of a change: a majority confirms the newest accepted version, which reveals
// a platform that has reverted to an older state. Before the first configuration, a majority must confirm
// that it has none. It returns the members that did not answer.
func (c *Controller) checkMajority(ctx context.Context) (missing []string, err error) {
	for range writeAttempts {
		r := c.directRound(ctx)
		_, hasConfig := c.version()
		switch {
		case r.verdict.Behind:
			if err := c.adoptFrom(ctx, r.verdict); err != nil {
				return nil, err
			}
			continue
		case r.verdict.Majority, !hasConfig && r.answered && len(r.acks) == 0:
			return nil, nil
		}
		for _, name := range c.Node.Registry().Names() {
			if !r.answers[name] {
				missing = append(missing, name)
			}
		}
		return missing, ErrNoMajority
	}
	return nil, ErrNoMajority
}

// write implements step 2 of a change: the compare-and-swap on the platform. With ErrConflict it returns the
// document of the change that won.
func (c *Controller) write(ctx context.Context, expected int64, raw []byte) (*rudderconfig.Document, error) {
	_, own, _ := parse(raw)
	var unknown error
	for range writeAttempts {
		seen, err := c.readForWrite(ctx)
		if err != nil {
			return nil, platformError(err, unknown)
		}
		if seen.version == own {
			return nil, nil // the write whose answer was lost took effect
		}
		if adopted := c.Version(); seen.version.Number != expected || adopted.Number > expected {
			winner, _, err := parse(c.newest(seen))
			return winner, errors.CombineErrors(ErrConflict, err)
		}
		_, err = c.put(ctx, raw, seen.revision)
		switch {
		case err == nil:
			return nil, nil
		case errors.Is(err, rudderstore.ErrUnknownOutcome):
			// Repeat the same compare-and-swap: it cannot take effect twice, and once it has, the lost one
			// cannot any more.
			unknown = err
		case !errors.Is(err, rudderstore.ErrConflict):
			return nil, platformError(err, unknown)
		}
	}
	if unknown != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlatform, unknown)
	}
	return nil, errors.Wrap(ErrPlatform, "the configuration key changed during every attempt to write it")
}

// platformError returns the error of a failed write. If the outcome of an earlier attempt is unknown, the
// error is also rudderstore.ErrUnknownOutcome.
func platformError(err, unknown error) error {
	if unknown != nil {
		return fmt.Errorf("%w: %w, then: %w", ErrPlatform, unknown, err)
	}
	return fmt.Errorf("%w: %w", ErrPlatform, err)
}

func (c *Controller) put(ctx context.Context, raw []byte, revision int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.storeTimeout())
	defer cancel()
	return c.Store.Put(ctx, rudderstore.PutRequest{Key: rudderconfig.Key, Value: raw, Expected: revision})
}

// readForWrite reads the configuration key. If the platform has reverted to an older state, it first writes
// the adopted configuration back.
func (c *Controller) readForWrite(ctx context.Context) (storedConfig, error) {
	ctx, cancel := context.WithTimeout(ctx, c.storeTimeout())
	defer cancel()
	seen, err := c.getConfig(ctx)
	if err != nil || seen.version.Number >= c.Version().Number {
		return seen, err
	}
	if err := c.writeBack(ctx, seen); err != nil {
		return seen, err
	}
	return c.getConfig(ctx)
}

// newest returns the newer of the platform's and the adopted document.
func (c *Controller) newest(seen storedConfig) []byte {
	if adopted, raw := c.stored(); adopted > seen.version.Number {
		return raw
	}
	return seen.raw
}

func conflictWith(d *rudderconfig.Document) Result {
	return Result{
		Version: d.Version, State: StateConflict, ChangedBy: d.ChangedBy, ChangedAt: d.ChangedAt, Summary: d.Summary,
	}
}

// covers reports whether an acknowledged version shows that a member no longer serves a version older than
// the given one.
func covers(acked, version rudderpermit.Version) bool {
	return acked.Number > version.Number || acked == version
}

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

// State is how far a change has come.
type State string

// States of a change.
const (
	// StateAccepted: no entry host serves under an older version any more.
	StateAccepted State = "accepted"
	// StatePending: written, but not known to be in force. Await can be asked again.
	StatePending State = "pending"
	// StateConflict: another change has the version. Nothing was written.
	StateConflict State = "conflict"
	// StateRefused: nothing was written.
	StateRefused State = "refused"
)

// writeAttempts bounds the retries of a write whose outcome is unknown.
const writeAttempts = 5

// Result says what became of a change. In a conflict, the version and who, when and what are those of
// the winner.
type Result struct {
	Version   int64
	State     State
	ChangedBy string
	ChangedAt time.Time
	Summary   string
	// Missing names the members that did not acknowledge.
	Missing []string
	// Slowest is the member that was waited for last.
	Slowest string
	// InForceAfter is the time from the call until the change was accepted.
	InForceAfter time.Duration
}

// Change writes a document as the version after expected and waits until it is in force. The
// context's end makes a written change pending.
func (k *Controller) Change(ctx context.Context, expected int64, document *rudderconfig.Document, author, summary string) (Result, error) {
	began := k.Clock.Now()
	raw, result, err := k.prepare(expected, document, author, summary)
	if err != nil {
		return result, err
	}
	if missing, err := k.checkMajority(ctx); err != nil {
		result.Missing = missing
		return result, err
	}
	winner, err := k.write(ctx, expected, raw)
	if err != nil {
		if winner != nil {
			return conflictWith(winner), err
		}
		if errors.Is(err, rudderstore.ErrUnknownOutcome) {
			result.State, result.Missing = StatePending, k.Node.Registry().Names()
		}
		return result, err
	}
	if err := k.adopt(raw, true); err != nil {
		return result, err
	}
	k.report(k.writeHistory(ctx, result.Version, raw))
	_, version, _ := parse(raw)
	return k.await(ctx, began, version, result)
}

func (k *Controller) prepare(expected int64, document *rudderconfig.Document, author, summary string) ([]byte, Result, error) {
	d := *document
	d.Version, d.ChangedBy, d.ChangedAt, d.Summary = expected+1, author, k.Clock.Now().UTC(), summary
	result := Result{
		Version: d.Version, State: StateRefused, ChangedBy: author, ChangedAt: d.ChangedAt, Summary: summary,
	}
	if k.Validate != nil {
		if err := k.Validate(&d); err != nil {
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

// checkMajority is step 1: a majority shows the newest accepted version, so that a platform that went
// back to an older state is noticed. Before the first configuration a majority must have none.
func (k *Controller) checkMajority(ctx context.Context) (missing []string, err error) {
	for range writeAttempts {
		r := k.directRound(ctx)
		_, hasConfig := k.version()
		switch {
		case r.verdict.Behind:
			if err := k.adoptFrom(ctx, r.verdict); err != nil {
				return nil, err
			}
			continue
		case r.verdict.Majority, !hasConfig && r.answered && len(r.acks) == 0:
			return nil, nil
		}
		for _, name := range k.Node.Registry().Names() {
			if !r.answers[name] {
				missing = append(missing, name)
			}
		}
		return missing, ErrNoMajority
	}
	return nil, ErrNoMajority
}

// write is step 2: the CAS. It returns the winner's document with ErrConflict.
func (k *Controller) write(ctx context.Context, expected int64, raw []byte) (*rudderconfig.Document, error) {
	_, own, _ := parse(raw)
	var unknown error
	for range writeAttempts {
		seen, err := k.readForWrite(ctx)
		if err != nil {
			return nil, platformError(err, unknown)
		}
		if seen.version == own {
			return nil, nil // the write whose answer was lost took effect
		}
		if adopted := k.Version(); seen.version.Number != expected || adopted.Number > expected {
			winner, _, err := parse(k.newest(seen))
			return winner, errors.CombineErrors(ErrConflict, err)
		}
		_, err = k.put(ctx, raw, seen.revision)
		switch {
		case err == nil:
			return nil, nil
		case errors.Is(err, rudderstore.ErrUnknownOutcome):
			// The same CAS again: it cannot take effect twice, and after it the lost one cannot either.
			unknown = err
		case !errors.Is(err, rudderstore.ErrConflict):
			return nil, platformError(err, unknown)
		}
	}
	if unknown != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlatform, unknown)
	}
	return nil, errors.Wrap(ErrPlatform, "the configuration key changes too often")
}

// platformError is the error of a failed write. After an unknown outcome it stays unknown.
func platformError(err, unknown error) error {
	if unknown != nil {
		return fmt.Errorf("%w: %w, then: %w", ErrPlatform, unknown, err)
	}
	return fmt.Errorf("%w: %w", ErrPlatform, err)
}

func (k *Controller) put(ctx context.Context, raw []byte, revision int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.storeTimeout())
	defer cancel()
	return k.Store.Put(ctx, rudderstore.PutRequest{Key: rudderconfig.Key, Value: raw, Expected: revision})
}

// readForWrite reads the key, after repairing a platform with an older state.
func (k *Controller) readForWrite(ctx context.Context) (found, error) {
	ctx, cancel := context.WithTimeout(ctx, k.storeTimeout())
	defer cancel()
	seen, err := k.getConfig(ctx)
	if err != nil || seen.version.Number >= k.Version().Number {
		return seen, err
	}
	if err := k.writeBack(ctx, seen); err != nil {
		return seen, err
	}
	return k.getConfig(ctx)
}

// newest is the later of the platform's and the adopted document.
func (k *Controller) newest(seen found) []byte {
	if adopted, raw := k.stored(); adopted > seen.version.Number {
		return raw
	}
	return seen.raw
}

func conflictWith(d *rudderconfig.Document) Result {
	return Result{
		Version: d.Version, State: StateConflict, ChangedBy: d.ChangedBy, ChangedAt: d.ChangedAt, Summary: d.Summary,
	}
}

// covers reports whether an acknowledgement shows that a member no longer serves below a version.
func covers(acked, version rudderpermit.Version) bool {
	return acked.Number > version.Number || acked == version
}

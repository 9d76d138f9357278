// Package rudderchange keeps the configuration in force on this entry host: it reads and watches the
// platform, renews the permit to serve, accepts operators' changes, and writes the known
// configuration back to a platform that went back to an older state.
package rudderchange

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderpermit"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderstore"
)

// Errors of the keeper.
var (
	// ErrConflict reports that another change took the version. The Result names it.
	ErrConflict = errors.New("configuration: conflict with another change")
	// ErrNoMajority reports that no majority of the entry hosts answered before the write. Nothing was
	// written. The Result names the missing ones.
	ErrNoMajority = errors.New("configuration: no majority of entry hosts")
	// ErrInvalid reports a document that was refused by Validate or is too large.
	ErrInvalid = errors.New("configuration: invalid document")
	// ErrPlatform reports that the platform cannot be read or written. Nothing was written, unless the
	// error is also rudderstore.ErrUnknownOutcome.
	ErrPlatform = errors.New("configuration: platform unavailable")
)

// Keeper holds the configuration of this entry host. Exported fields are set before Connect.
type Keeper struct {
	Node      *ruddermember.Node
	Registrar *ruddermember.Registrar // told of registry values found by the watch; may be nil
	Store     rudderstore.Store
	Clock     clockwork.Clock
	// PermitTTL is T of the design's section "Configuration in force".
	PermitTTL time.Duration
	// Validate checks a document before it is written; may be nil.
	Validate func(*rudderconfig.Document) error
	// OnChange is told of each adopted document, in order; may be nil. It must not block.
	OnChange func(*rudderconfig.Document)
	// OnError is told of failures that are tried again; may be nil.
	OnError func(error)

	// WatchPrefixes are watched along with the configuration, so that an entry host needs one watch.
	WatchPrefixes []string
	// OnEvents is told of what the watch found, OnRelist that changes may have been missed and all must
	// be listed, as before the first watch and after a broken one; may be nil.
	OnEvents func([]rudderstore.Event)
	OnRelist func()

	adopting sync.Mutex // serializes adoption and OnChange
	mu       sync.Mutex
	permit   *rudderpermit.Permit
	document *rudderconfig.Document
	raw      []byte
	wakeup   chan struct{} // asks for a round
	fetching map[string]bool
	lifetime context.Context // of Run, for work begun by callbacks
	lastFail time.Time       // of a direct round
	watched  int64           // revision up to which events were told; belongs to runPlatform
}

// Connect prepares the keeper and sets the callbacks of Node. Call it before Node or Keeper run.
func (k *Keeper) Connect() {
	k.permit = rudderpermit.New(k.PermitTTL)
	k.wakeup = make(chan struct{}, 1)
	k.fetching = map[string]bool{}
	k.Node.Config = k.version
	k.Node.Document = k.stored
	k.Node.OnConfigSeen = k.seen
}

// Run keeps the configuration and the permit current until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.lifetime = ctx
	k.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.runPlatform(ctx) })
	group.Go(func() error { return k.runRounds(ctx) })
	return group.Wait()
}

// Current is the adopted configuration, nil before the first. It must not be modified.
func (k *Keeper) Current() *rudderconfig.Document {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.document
}

// Permit returns nil if this entry host may serve under Current at the time now. Check it at each
// dispatch.
func (k *Keeper) Permit(now time.Time) error {
	_, err := k.Serving(now)
	return err
}

// Serving returns the configuration to serve under at the time now, or why none may be served.
func (k *Keeper) Serving(now time.Time) (*rudderconfig.Document, error) {
	admitted := k.Node.Registry().Admits(k.Node.Self.Name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.permit.Check(now); err != nil {
		return nil, err
	}
	if !admitted {
		return nil, rudderpermit.ErrNotAdmitted
	}
	return k.document, nil
}

// Rule is the way in which the permit was last renewed.
func (k *Keeper) Rule() rudderpermit.Rule {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.permit.Rule()
}

// Version is the adopted version.
func (k *Keeper) Version() rudderpermit.Version {
	v, _ := k.version()
	return v
}

func (k *Keeper) version() (rudderpermit.Version, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.permit.Adopted(), k.document != nil
}

func (k *Keeper) stored() (int64, []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.permit.Adopted().Number, k.raw
}

// parse reads a stored document and its version.
func parse(raw []byte) (*rudderconfig.Document, rudderpermit.Version, error) {
	document := &rudderconfig.Document{}
	if err := json.Unmarshal(raw, document); err != nil {
		return nil, rudderpermit.Version{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return document, rudderpermit.Version{Number: document.Version, Hash: xxhash.Sum64(raw)}, nil
}

// adopt takes a stored document over, unless it is older than the adopted one.
func (k *Keeper) adopt(raw []byte, replace bool) error {
	document, v, err := parse(raw)
	if err != nil {
		return err
	}
	k.adopting.Lock()
	defer k.adopting.Unlock()
	k.mu.Lock()
	adopted := k.permit.Adopt(v, replace)
	if adopted {
		k.document, k.raw = document, raw
	}
	k.mu.Unlock()
	if !adopted {
		return nil
	}
	k.Node.AdvanceHeartbeat()
	if k.OnChange != nil {
		k.OnChange(document)
	}
	return nil
}

// seen fetches a newer configuration that a peer has, in the background.
func (k *Keeper) seen(_ rudderpermit.Version, address string) {
	k.mu.Lock()
	ctx := k.lifetime
	if ctx == nil || k.fetching[address] || len(k.fetching) >= 2 {
		k.mu.Unlock()
		return
	}
	k.fetching[address] = true
	k.mu.Unlock()
	go func() {
		defer func() {
			k.mu.Lock()
			delete(k.fetching, address)
			k.mu.Unlock()
		}()
		k.report(k.fetch(ctx, address, false))
	}()
}

// fetch adopts the configuration of a peer.
func (k *Keeper) fetch(ctx context.Context, address string, replace bool) error {
	ctx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	d, err := k.Node.Peer.ConfigDocument(ctx, address)
	if err != nil {
		return errors.Wrapf(err, "fetch the configuration from %s", address)
	}
	return k.adopt(d.Document, replace)
}

func (k *Keeper) callTimeout() time.Duration { return min(k.PermitTTL/4, 2*time.Second) }

func (k *Keeper) report(err error) {
	if err != nil && k.OnError != nil {
		k.OnError(err)
	}
}

// wait returns after the duration, or earlier with the context's error.
func (k *Keeper) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-k.Clock.After(d):
		return nil
	}
}

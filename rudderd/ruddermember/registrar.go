package ruddermember

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/shared/rudderstore"
)

// Times of the reconciliation of the registry.
const (
	// RemoveAfter is the heartbeat age after which any member may remove an entry from the registry. It is longer
	// than the partitions between regions, which can last an hour.
	RemoveAfter       = 2 * time.Hour
	reconcileInterval = time.Second
	// rankDelay staggers the attempts of members to write the same change.
	rankDelay = time.Second
	// maxRankDelays limits the wait, so that other changes are not delayed for long.
	maxRankDelays = 10
	storeTimeout  = 3 * time.Second
	maxAttempts   = 8
)

// ErrContended reports that every attempt to write the registry failed because of a concurrent or lost write.
var ErrContended = errors.New("member registry: gave up after repeated conflicting or unconfirmed writes")

// Registrar maintains the member registry in the store: it adds this member at the start and removes it at
// shutdown, commits changes, removes expired members, and writes the known registry back if the store has
// reverted to an older one. Set the exported fields before Run.
type Registrar struct {
	Node  *Node
	Store rudderstore.Store
	Clock clockwork.Clock
	// PermitTTL is how long a removed member may continue to serve.
	PermitTTL time.Duration
	// RemoveAfter overrides the constant of the same name if it is not 0.
	RemoveAfter time.Duration
	// OnError is called with each failed write, which is retried; may be nil.
	OnError func(error)

	storeBehind atomic.Bool // the store has an older registry than this node
	majorityFor int64       // registry version that a majority has acknowledged since majorityAt
	majorityAt  time.Time
}

// Run adds this member to the registry and reconciles the registry until the context ends. Failures are retried.
func (rg *Registrar) Run(ctx context.Context) error {
	for {
		if err := rg.reconcile(ctx); err != nil && rg.OnError != nil {
			rg.OnError(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rg.Clock.After(reconcileInterval):
		}
	}
}

// Leave removes this member from the registry.
func (rg *Registrar) Leave(ctx context.Context) error {
	return rg.change(ctx, func(r Registry) (Registry, bool) { return r.Without(rg.Node.Self.Name) })
}

// reconcile writes the change that the registry needs, if any.
func (rg *Registrar) reconcile(ctx context.Context) error {
	n := rg.Node
	r := n.Registry()
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	if own, found := r.Member(n.Self.Name); !leaving && (!found || own != n.Self) {
		return rg.change(ctx, func(r Registry) (Registry, bool) { return r.With(n.Self) })
	}
	if rg.storeBehind.Swap(false) {
		if err := rg.change(ctx, func(r Registry) (Registry, bool) { return r, false }); err != nil {
			rg.storeBehind.Store(true)
			return err
		}
	}
	if rg.commitReady(r) {
		return rg.changeByRank(ctx, func(now Registry) (Registry, bool) { return now.Committed(), now.Version == r.Version })
	}
	if expired := rg.expired(r); len(expired) > 0 {
		return rg.changeByRank(ctx, func(r Registry) (Registry, bool) { return r.Without(expired...) })
	}
	return nil
}

// expired returns the members to remove. A host that has recent heartbeats of less than a majority removes
// none, because it may itself be partitioned off.
func (rg *Registrar) expired(r Registry) []string {
	bound := rg.RemoveAfter
	if bound == 0 {
		bound = RemoveAfter
	}
	n := rg.Node
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	recent := map[string]bool{n.Self.Name: true}
	v := n.view()
	for _, m := range r.Members {
		switch {
		case m.Name == n.Self.Name:
		case v.heartbeatAge(m) > bound:
			names = append(names, m.Name)
		case !v.suspected(m):
			recent[m.Name] = true
		}
	}
	if !r.Quorum(recent) {
		return nil
	}
	return names
}

// changeByRank waits in proportion to this member's rank, then makes the change unless the registry has
// changed by then.
func (rg *Registrar) changeByRank(ctx context.Context, edit func(Registry) (Registry, bool)) error {
	before := rg.Node.Registry().Version
	for i, m := range Rank(RegistryKey, rg.Node.Live()) {
		if m.Name != rg.Node.Self.Name {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rg.Clock.After(time.Duration(min(i, maxRankDelays)) * rankDelay):
		}
	}
	if rg.Node.Registry().Version != before {
		return nil
	}
	return rg.change(ctx, edit)
}

// change applies an edit to the newest registry by compare-and-swap.
func (rg *Registrar) change(ctx context.Context, edit func(Registry) (Registry, bool)) error {
	for range maxAttempts {
		done, err := rg.tryChange(ctx, edit)
		if done || err != nil && !errors.Is(err, rudderstore.ErrConflict) &&
			!errors.Is(err, rudderstore.ErrUnknownOutcome) {
			return err
		}
		// After a conflict or an unknown outcome the next attempt starts from what the store has.
	}
	return ErrContended
}

func (rg *Registrar) tryChange(ctx context.Context, edit func(Registry) (Registry, bool)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	current, revision, behind, err := rg.read(ctx)
	if err != nil {
		return false, err
	}
	changed, differs := edit(current)
	if !differs && !behind {
		return true, nil
	}
	raw := changed.Encode()
	_, err = rg.Store.Put(ctx, rudderstore.PutRequest{Key: RegistryKey, Value: raw, Expected: revision})
	if err != nil {
		return false, err
	}
	rg.Node.AdoptRegistry(raw)
	return true, nil
}

// read returns the newest registry that the store or this node knows, the key's revision, and whether
// the store is behind.
func (rg *Registrar) read(ctx context.Context) (Registry, int64, bool, error) {
	entry, _, err := rg.Store.Get(ctx, RegistryKey)
	if err != nil && !errors.Is(err, rudderstore.ErrNotFound) {
		return Registry{}, 0, false, err
	}
	stored, err := ParseRegistry(entry.Value)
	if err != nil {
		return Registry{}, 0, false, err
	}
	rg.Node.AdoptRegistry(entry.Value)
	known := rg.Node.Registry()
	return known, entry.Revision, stored.Version < known.Version, nil
}

// Observe receives the registry value that a read or a watch of the store returned, nil if absent. If it is
// older than the known registry, the next reconcile writes the known one back.
func (rg *Registrar) Observe(raw []byte) {
	if rg.Node.AdoptRegistry(raw) {
		return
	}
	stored, err := ParseRegistry(raw)
	if err != nil || stored.Version < rg.Node.Registry().Version {
		rg.storeBehind.Store(true)
	}
}

// commitReady reports whether the uncommitted registry may be committed: a majority has acknowledged it and,
// if it removed members, their permits have expired since.
func (rg *Registrar) commitReady(r Registry) bool {
	if !r.Uncommitted || !r.Quorum(rg.Node.acknowledged(r.Version)) {
		rg.majorityFor = 0
		return false
	}
	now := rg.Clock.Now()
	if rg.majorityFor != r.Version {
		rg.majorityFor, rg.majorityAt = r.Version, now
	}
	for _, name := range r.Base {
		if _, kept := r.Member(name); !kept {
			return now.Sub(rg.majorityAt) > rg.PermitTTL+rg.PermitTTL/20
		}
	}
	return true
}

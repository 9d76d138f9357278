package ruddermember

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/shared/rudderstore"
)

// Times of the registry's upkeep.
const (
	// RemoveAfter is the silence after which any member may take an entry off the registry. It is
	// longer than the hour for which regions lose each other now and then.
	RemoveAfter = 2 * time.Hour
	upkeepEvery = time.Second
	// rankDelay separates the attempts of members to write the same change.
	rankDelay = time.Second
	// maxRankDelays keeps the wait short enough that other upkeep is not held up.
	maxRankDelays = 10
	storeTimeout  = 3 * time.Second
	maxAttempts   = 8
)

// ErrContended reports that other writers changed the registry in each attempt.
var ErrContended = errors.New("member registry: too many concurrent changes")

// Registrar writes the registry: it joins at the start, leaves at the stop, commits changes, removes
// silent entries and repairs a registry that went back to an older state. Fields are set before Run.
type Registrar struct {
	Node  *Node
	Store rudderstore.Store
	Clock clockwork.Clock
	// PermitTTL is how long a removed member may still serve.
	PermitTTL time.Duration
	// RemoveAfter replaces the constant of the same name if not 0.
	RemoveAfter time.Duration
	// OnError is told of failed writes, which are tried again; may be nil.
	OnError func(error)

	behind      atomic.Bool // the store has an older registry than this node
	majorityFor int64       // registry version that a majority acknowledged, at majorityAt
	majorityAt  time.Time
}

// Run joins, with retry, and keeps the registry up until the context ends.
func (e *Registrar) Run(ctx context.Context) error {
	for {
		if err := e.upkeep(ctx); err != nil && e.OnError != nil {
			e.OnError(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.Clock.After(upkeepEvery):
		}
	}
}

// Leave takes this member off the registry.
func (e *Registrar) Leave(ctx context.Context) error {
	return e.change(ctx, func(r Registry) (Registry, bool) { return r.Without(e.Node.Self.Name) })
}

// upkeep writes the change that the registry needs, if it needs one.
func (e *Registrar) upkeep(ctx context.Context) error {
	n := e.Node
	r := n.Registry()
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	if own, found := r.Member(n.Self.Name); !leaving && (!found || own != n.Self) {
		return e.change(ctx, func(r Registry) (Registry, bool) { return r.With(n.Self) })
	}
	if e.behind.Swap(false) {
		if err := e.change(ctx, func(r Registry) (Registry, bool) { return r, false }); err != nil {
			e.behind.Store(true)
			return err
		}
	}
	if e.changeReady(r) {
		return e.inTurn(ctx, func(now Registry) (Registry, bool) { return now.Committed(), now.Version == r.Version })
	}
	if silent := e.silent(r); len(silent) > 0 {
		return e.inTurn(ctx, func(r Registry) (Registry, bool) { return r.Without(silent...) })
	}
	return nil
}

// silent lists the members to remove. A host that hears of less than a majority removes none: it may
// be the one that is cut off.
func (e *Registrar) silent(r Registry) []string {
	bound := e.RemoveAfter
	if bound == 0 {
		bound = RemoveAfter
	}
	n := e.Node
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	heard := map[string]bool{n.Self.Name: true}
	v := n.view()
	for _, m := range r.Members {
		switch {
		case m.Name == n.Self.Name:
		case v.silence(m) > bound:
			names = append(names, m.Name)
		case !v.suspected(m):
			heard[m.Name] = true
		}
	}
	if !r.Quorum(heard) {
		return nil
	}
	return names
}

// inTurn waits according to this member's rank, then makes the change unless another has.
func (e *Registrar) inTurn(ctx context.Context, edit func(Registry) (Registry, bool)) error {
	before := e.Node.Registry().Version
	for i, m := range Rank(RegistryKey, e.Node.Live()) {
		if m.Name != e.Node.Self.Name {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.Clock.After(time.Duration(min(i, maxRankDelays)) * rankDelay):
		}
	}
	if e.Node.Registry().Version != before {
		return nil
	}
	return e.change(ctx, edit)
}

// change applies an edit to the newest registry by CAS.
func (e *Registrar) change(ctx context.Context, edit func(Registry) (Registry, bool)) error {
	for range maxAttempts {
		done, err := e.attempt(ctx, edit)
		if done || err != nil && !errors.Is(err, rudderstore.ErrConflict) &&
			!errors.Is(err, rudderstore.ErrUnknownOutcome) {
			return err
		}
		// After a conflict or an unknown outcome the next attempt reads what the store has.
	}
	return ErrContended
}

func (e *Registrar) attempt(ctx context.Context, edit func(Registry) (Registry, bool)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	current, revision, behind, err := e.read(ctx)
	if err != nil {
		return false, err
	}
	changed, differs := edit(current)
	if !differs && !behind {
		return true, nil
	}
	raw := changed.Encode()
	_, err = e.Store.Put(ctx, rudderstore.PutRequest{Key: RegistryKey, Value: raw, Expected: revision})
	if err != nil {
		return false, err
	}
	e.Node.AdoptRegistry(raw)
	return true, nil
}

// read returns the newest registry that the store or this node knows, the key's revision, and whether
// the store is behind.
func (e *Registrar) read(ctx context.Context) (Registry, int64, bool, error) {
	entry, _, err := e.Store.Get(ctx, RegistryKey)
	if err != nil && !errors.Is(err, rudderstore.ErrNotFound) {
		return Registry{}, 0, false, err
	}
	stored, err := ParseRegistry(entry.Value)
	if err != nil {
		return Registry{}, 0, false, err
	}
	e.Node.AdoptRegistry(entry.Value)
	known := e.Node.Registry()
	return known, entry.Revision, stored.Version < known.Version, nil
}

// Observe takes the registry's value as a read or a watch of the store found it; nil if absent. If it
// is older than the known one, the next upkeep writes the known one back.
func (e *Registrar) Observe(raw []byte) {
	if e.Node.AdoptRegistry(raw) {
		return
	}
	stored, err := ParseRegistry(raw)
	if err != nil || stored.Version < e.Node.Registry().Version {
		e.behind.Store(true)
	}
}

// changeReady reports whether the uncommitted registry may be committed: a majority acknowledged it,
// and if it removed members, their permits have ended since.
func (e *Registrar) changeReady(r Registry) bool {
	if !r.Uncommitted || !r.Quorum(e.Node.acknowledged(r.Version)) {
		e.majorityFor = 0
		return false
	}
	now := e.Clock.Now()
	if e.majorityFor != r.Version {
		e.majorityFor, e.majorityAt = r.Version, now
	}
	for _, name := range r.Base {
		if _, kept := r.Member(name); !kept {
			return now.Sub(e.majorityAt) > e.PermitTTL+e.PermitTTL/20
		}
	}
	return true
}

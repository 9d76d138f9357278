package rudderchange

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderpermit"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// rereadEvery bounds how long a watch is trusted. A platform that went back to an older state and
	// then moved past the watched revision would hide a difference from the watch. The document can be
	// 1 MB, so reads are kept rare.
	rereadEvery = 5 * time.Minute
	// maxStoreTimeout bounds a call to the platform, beside the wait of a watch.
	maxStoreTimeout = 2 * time.Second
)

// runPlatform reads and watches the platform until the context ends.
func (k *Keeper) runPlatform(ctx context.Context) error {
	for {
		err := k.followPlatform(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, rudderstore.ErrCompacted) {
			continue
		}
		k.report(err)
		if err := k.wait(ctx, k.PermitTTL/16); err != nil {
			return err
		}
	}
}

// found is the configuration key as last seen on the platform.
type found struct {
	raw      []byte
	version  rudderpermit.Version
	revision int64
}

// followPlatform reads the configuration and the registry, then watches them.
func (k *Keeper) followPlatform(ctx context.Context) error {
	read := k.Clock.Now()
	seen, revision, err := k.readPlatform(ctx)
	if err != nil {
		return err
	}
	// The read tells nothing about the other watched prefixes, so what lies between the last watch and
	// this one must be listed; before the first watch that is everything.
	if revision != k.watched && k.OnRelist != nil {
		k.OnRelist()
	}
	k.watched = revision
	for rudderpermit.Elapsed(read, k.Clock.Now()) < rereadEvery {
		started := k.Clock.Now()
		result, err := k.watch(ctx, revision)
		if err != nil {
			return err
		}
		if result.Revision < revision {
			return rudderstore.ErrCompacted
		}
		if seen, err = k.takeEvents(seen, result.Events); err != nil {
			return err
		}
		if err := k.platformHas(ctx, started, seen); err != nil {
			return err
		}
		revision, k.watched = result.Revision, result.Revision
	}
	return nil
}

// storeTimeout leaves time to renew the permit after a watch whose connection went silent: with its wait
// of a quarter of the permit's time it ends before two thirds of that time have passed.
func (k *Keeper) storeTimeout() time.Duration { return min(maxStoreTimeout, k.PermitTTL*2/5) }

func (k *Keeper) watch(ctx context.Context, after int64) (rudderstore.WatchResult, error) {
	wait := k.PermitTTL / 4
	ctx, cancel := context.WithTimeout(ctx, wait+k.storeTimeout())
	defer cancel()
	prefixes := append([]string{rudderconfig.Key, ruddermember.RegistryKey}, k.WatchPrefixes...)
	return k.Store.Watch(ctx, rudderstore.WatchRequest{Prefixes: prefixes, After: after, Wait: wait})
}

// readPlatform reads the registry and the configuration, and returns the revision to watch from.
func (k *Keeper) readPlatform(ctx context.Context) (found, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.storeTimeout())
	defer cancel()
	started := k.Clock.Now()
	registry, revision, err := k.Store.Get(ctx, ruddermember.RegistryKey)
	if err != nil && !errors.Is(err, rudderstore.ErrNotFound) {
		return found{}, 0, err
	}
	k.observeRegistry(registry.Value)
	seen, err := k.getConfig(ctx)
	if err != nil {
		return found{}, 0, err
	}
	return seen, revision, k.platformHas(ctx, started, seen)
}

func (k *Keeper) getConfig(ctx context.Context) (found, error) {
	entry, _, err := k.Store.Get(ctx, rudderconfig.Key)
	if errors.Is(err, rudderstore.ErrNotFound) {
		return found{}, nil
	}
	if err != nil {
		return found{}, err
	}
	_, v, err := parse(entry.Value)
	return found{raw: entry.Value, version: v, revision: entry.Revision}, err
}

func (k *Keeper) takeEvents(seen found, events []rudderstore.Event) (found, error) {
	for _, event := range events {
		switch event.Key {
		case rudderconfig.Key:
			if event.Deleted {
				seen = found{}
				continue
			}
			_, v, err := parse(event.Value)
			if err != nil {
				return seen, err
			}
			seen = found{raw: event.Value, version: v, revision: event.Revision}
		case ruddermember.RegistryKey:
			k.observeRegistry(event.Value)
		}
	}
	if len(events) > 0 && k.OnEvents != nil {
		k.OnEvents(events)
	}
	return seen, nil
}

func (k *Keeper) observeRegistry(raw []byte) {
	if k.Registrar != nil {
		k.Registrar.Observe(raw)
		return
	}
	k.Node.AdoptRegistry(raw)
}

// platformHas renews the permit by what the platform had in a call that began at started, adopts a
// newer configuration and repairs an older one.
func (k *Keeper) platformHas(ctx context.Context, started time.Time, seen found) error {
	if seen.version.Number == 0 && k.Version().Number == 0 {
		return nil
	}
	switch k.recordRead(started, seen.version) {
	case rudderpermit.ReadNewer:
		if err := k.adopt(seen.raw, false); err != nil {
			return err
		}
		if k.recordRead(started, seen.version) == rudderpermit.ReadUnconfirmed {
			k.askForRound()
		}
	case rudderpermit.ReadUnconfirmed:
		k.askForRound()
	case rudderpermit.ReadOlder:
		return k.writeBack(ctx, seen)
	case rudderpermit.ReadDiffers:
		return k.resolve(ctx, seen)
	}
	return nil
}

func (k *Keeper) recordRead(started time.Time, v rudderpermit.Version) rudderpermit.ReadOutcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.permit.PlatformRead(started, v)
}

// writeBack puts the adopted document, with its own version, in place of what the platform has.
// Another write in between is left alone: the next read judges it.
func (k *Keeper) writeBack(ctx context.Context, seen found) error {
	version, raw := k.stored()
	ctx, cancel := context.WithTimeout(ctx, k.storeTimeout())
	defer cancel()
	_, err := k.Store.Put(ctx, rudderstore.PutRequest{Key: rudderconfig.Key, Value: raw, Expected: seen.revision})
	if errors.Is(err, rudderstore.ErrConflict) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "write the configuration back to a platform with an older state")
	}
	// The older state has no history of this version either.
	k.report(k.writeHistory(ctx, version, raw))
	return nil
}

// resolve chooses between two documents with the same version, of which at most one was accepted. The
// one that a majority may have acknowledged stays; otherwise the platform's is taken.
func (k *Keeper) resolve(ctx context.Context, seen found) error {
	r := k.directRound(ctx)
	switch {
	case r.verdict.Majority:
		return k.writeBack(ctx, seen)
	case r.verdict.Behind:
		return k.adoptFrom(ctx, r.verdict)
	case r.answered:
		return k.adopt(seen.raw, true)
	}
	return errors.Wrap(ErrNoMajority, "two configurations have the same version")
}

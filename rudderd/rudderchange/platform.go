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
	// rereadInterval limits how long events alone are relied on. If the platform reverts to an older state
	// and then moves past the watched revision, the watch does not show the difference. Reads are
	// rare, because the document can be 1 MB.
	rereadInterval = 5 * time.Minute
	// maxStoreTimeout limits a call to the platform, not counting the wait of a watch.
	maxStoreTimeout = 2 * time.Second
)

// runPlatform reads and watches the platform until the context ends.
func (c *Controller) runPlatform(ctx context.Context) error {
	for {
		err := c.followPlatform(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, rudderstore.ErrCompacted) {
			continue
		}
		c.report(err)
		if err := c.wait(ctx, c.PermitTTL/16); err != nil {
			return err
		}
	}
}

// storedConfig is the value of the configuration key as last read from the platform.
type storedConfig struct {
	raw      []byte
	version  rudderpermit.Version
	revision int64
}

// followPlatform reads the configuration and the registry, then watches them.
func (c *Controller) followPlatform(ctx context.Context) error {
	read := c.Clock.Now()
	seen, revision, err := c.readPlatform(ctx)
	if err != nil {
		return err
	}
	// The read does not cover the other watched prefixes, so their changes between the last watch and this
	// one must be listed. Before the first watch everything must be listed.
	if revision != c.watchedRevision && c.OnRelist != nil {
		c.OnRelist()
	}
	c.watchedRevision = revision
	for rudderpermit.Elapsed(read, c.Clock.Now()) < rereadInterval {
		started := c.Clock.Now()
		result, err := c.watch(ctx, revision)
		if err != nil {
			return err
		}
		if result.Revision < revision {
			return rudderstore.ErrCompacted
		}
		if seen, err = c.applyEvents(seen, result.Events); err != nil {
			return err
		}
		if err := c.reconcile(ctx, started, seen); err != nil {
			return err
		}
		revision, c.watchedRevision = result.Revision, result.Revision
	}
	return nil
}

// storeTimeout leaves time to renew the permit after a watch on a hanging connection: together with the wait
// of a quarter of PermitTTL, the watch ends before two thirds of PermitTTL have passed.
func (c *Controller) storeTimeout() time.Duration { return min(maxStoreTimeout, c.PermitTTL*2/5) }

func (c *Controller) watch(ctx context.Context, after int64) (rudderstore.WatchResult, error) {
	wait := c.PermitTTL / 4
	ctx, cancel := context.WithTimeout(ctx, wait+c.storeTimeout())
	defer cancel()
	prefixes := append([]string{rudderconfig.Key, ruddermember.RegistryKey}, c.WatchPrefixes...)
	return c.Store.Watch(ctx, rudderstore.WatchRequest{Prefixes: prefixes, After: after, Wait: wait})
}

// readPlatform reads the registry and the configuration, and returns the revision to watch from.
func (c *Controller) readPlatform(ctx context.Context) (storedConfig, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.storeTimeout())
	defer cancel()
	started := c.Clock.Now()
	registry, revision, err := c.Store.Get(ctx, ruddermember.RegistryKey)
	if err != nil && !errors.Is(err, rudderstore.ErrNotFound) {
		return storedConfig{}, 0, err
	}
	c.observeRegistry(registry.Value)
	seen, err := c.getConfig(ctx)
	if err != nil {
		return storedConfig{}, 0, err
	}
	return seen, revision, c.reconcile(ctx, started, seen)
}

func (c *Controller) getConfig(ctx context.Context) (storedConfig, error) {
	entry, _, err := c.Store.Get(ctx, rudderconfig.Key)
	if errors.Is(err, rudderstore.ErrNotFound) {
		return storedConfig{}, nil
	}
	if err != nil {
		return storedConfig{}, err
	}
	_, v, err := parse(entry.Value)
	return storedConfig{raw: entry.Value, version: v, revision: entry.Revision}, err
}

func (c *Controller) applyEvents(seen storedConfig, events []rudderstore.Event) (storedConfig, error) {
	for _, event := range events {
		switch event.Key {
		case rudderconfig.Key:
			if event.Deleted {
				seen = storedConfig{}
				continue
			}
			_, v, err := parse(event.Value)
			if err != nil {
				return seen, err
			}
			seen = storedConfig{raw: event.Value, version: v, revision: event.Revision}
		case ruddermember.RegistryKey:
			c.observeRegistry(event.Value)
		}
	}
	if len(events) > 0 && c.OnEvents != nil {
		c.OnEvents(events)
	}
	return seen, nil
}

func (c *Controller) observeRegistry(raw []byte) {
	if c.Registrar != nil {
		c.Registrar.Observe(raw)
		return
	}
	c.Node.AdoptRegistry(raw)
}

// reconcile compares the adopted configuration with what the platform returned in a call that began at
// started. It renews the permit, adopts a newer configuration, or writes the adopted one back over an older
// one.
func (c *Controller) reconcile(ctx context.Context, started time.Time, seen storedConfig) error {
	if seen.version.Number == 0 && c.Version().Number == 0 {
		return nil
	}
	switch c.recordRead(started, seen.version) {
	case rudderpermit.ReadNewer:
		if err := c.adopt(seen.raw, false); err != nil {
			return err
		}
		if c.recordRead(started, seen.version) == rudderpermit.ReadUnconfirmed {
			c.requestRound()
		}
	case rudderpermit.ReadUnconfirmed:
		c.requestRound()
	case rudderpermit.ReadOlder:
		return c.writeBack(ctx, seen)
	case rudderpermit.ReadDiffers:
		return c.resolveSameVersion(ctx, seen)
	}
	return nil
}

func (c *Controller) recordRead(started time.Time, v rudderpermit.Version) rudderpermit.ReadOutcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permit.PlatformRead(started, v)
}

// writeBack replaces the platform's document with the adopted one, which keeps its version. If the key has
// changed in the meantime, nothing is written and the next read decides.
func (c *Controller) writeBack(ctx context.Context, seen storedConfig) error {
	version, raw := c.stored()
	ctx, cancel := context.WithTimeout(ctx, c.storeTimeout())
	defer cancel()
	_, err := c.Store.Put(ctx, rudderstore.PutRequest{Key: rudderconfig.Key, Value: raw, Expected: seen.revision})
	if errors.Is(err, rudderstore.ErrConflict) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "write the configuration back to a platform that reverted to an older state")
	}
	// The older state lacks this version in its history too.
	c.report(c.writeHistory(ctx, version, raw))
	return nil
}

// resolveSameVersion decides between the adopted and the platform's document when they differ but have the
// same version number. At most one of them was accepted. The one that a majority may have acknowledged wins;
// otherwise the platform's is adopted.
func (c *Controller) resolveSameVersion(ctx context.Context, seen storedConfig) error {
	r := c.directRound(ctx)
	switch {
	case r.verdict.Majority:
		return c.writeBack(ctx, seen)
	case r.verdict.Behind:
		return c.adoptFrom(ctx, r.verdict)
	case r.answered:
		return c.adopt(seen.raw, true)
	}
	return errors.Wrap(ErrNoMajority, "two different configurations have the same version")
}

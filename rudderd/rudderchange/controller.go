// Package rudderchange maintains the configuration in force on an entry host: it reads and watches the
// platform, renews the permit to serve, accepts changes from operators, and writes the known configuration
// back to a platform that has reverted to an older state.
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

// Errors of Controller.
var (
	// ErrConflict reports that another change took the version. The Result describes that change.
	ErrConflict = errors.New("configuration: conflict with another change")
	// ErrNoMajority reports that no majority of the entry hosts answered before the write. Nothing was
	// written. The Result lists the missing members.
	ErrNoMajority = errors.New("configuration: no majority of entry hosts")
	// ErrInvalid reports a document that Validate rejected, that cannot be encoded or decoded, or that is too
	// large.
	ErrInvalid = errors.New("configuration: invalid document")
	// ErrPlatform reports that the platform could not be read or written. Nothing was written, unless the
	// error is also rudderstore.ErrUnknownOutcome.
	ErrPlatform = errors.New("configuration: platform unavailable")
)

// Controller maintains the configuration of this entry host and its permit to serve. Set the exported fields
// before Connect.
type Controller struct {
	Node      *ruddermember.Node
	Registrar *ruddermember.Registrar // receives the registry values that the watch returns; may be nil
	Store     rudderstore.Store
	Clock     clockwork.Clock
	// PermitTTL is how long a permit is valid after its renewal; T in the section "Configuration in force" of
	// the design.
	PermitTTL time.Duration
	// Validate checks a document before it is written; may be nil.
	Validate func(*rudderconfig.Document) error
	// OnChange is called with each adopted document, in order; may be nil. It must not block.
	OnChange func(*rudderconfig.Document)
	// OnError is called with failures that are retried; may be nil.
	OnError func(error)

	// WatchPrefixes are further prefixes to watch together with the configuration, so that an entry host
	// needs only one watch.
	WatchPrefixes []string
	// OnEvents is called with the events of the watch. OnRelist is called when events may have been missed,
	// so that the prefixes must be listed: before the first watch and after an interrupted one. Both may be
	// nil.
	OnEvents func([]rudderstore.Event)
	OnRelist func()

	adopting         sync.Mutex // serializes adoption and OnChange
	mu               sync.Mutex
	permit           *rudderpermit.Permit
	document         *rudderconfig.Document
	raw              []byte
	wakeup           chan struct{}   // requests a majority round
	fetching         map[string]bool // addresses of peers whose configuration is being fetched
	runContext       context.Context // context of Run, for work that callbacks start
	lastRoundFailure time.Time       // last direct round without a majority; used only by runRounds
	watchedRevision  int64           // revision up to which events were delivered; used only by runPlatform
}

// Connect initialises the controller and sets the callbacks of Node. Call it before Node.Run and Run.
func (c *Controller) Connect() {
	c.permit = rudderpermit.New(c.PermitTTL)
	c.wakeup = make(chan struct{}, 1)
	c.fetching = map[string]bool{}
	c.Node.Config = c.version
	c.Node.Document = c.stored
	c.Node.OnConfigSeen = c.fetchInBackground
}

// Run keeps the configuration and the permit up to date until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.runContext = ctx
	c.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.runPlatform(ctx) })
	group.Go(func() error { return c.runRounds(ctx) })
	return group.Wait()
}

// Current returns the adopted configuration, or nil before the first one. It must not be modified.
func (c *Controller) Current() *rudderconfig.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Permit returns nil if this entry host may serve under Current at the time now, or else the reason. Check it
// before each dispatch of a request whose answer has not begun.
func (c *Controller) Permit(now time.Time) error {
	_, err := c.Serving(now)
	return err
}

// Serving returns the configuration to serve under at the time now, or an error if this entry host may not serve.
func (c *Controller) Serving(now time.Time) (*rudderconfig.Document, error) {
	admitted := c.Node.Registry().Admits(c.Node.Self.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.permit.Check(now); err != nil {
		return nil, err
	}
	if !admitted {
		return nil, rudderpermit.ErrNotAdmitted
	}
	return c.document, nil
}

// Rule returns the rule by which the permit was last renewed.
func (c *Controller) Rule() rudderpermit.Rule {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permit.Rule()
}

// Version returns the adopted version, or the zero value if there is none.
func (c *Controller) Version() rudderpermit.Version {
	v, _ := c.version()
	return v
}

func (c *Controller) version() (rudderpermit.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permit.Adopted(), c.document != nil
}

func (c *Controller) stored() (int64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permit.Adopted().Number, c.raw
}

// parse decodes a stored document and computes its version.
func parse(raw []byte) (*rudderconfig.Document, rudderpermit.Version, error) {
	document := &rudderconfig.Document{}
	if err := json.Unmarshal(raw, document); err != nil {
		return nil, rudderpermit.Version{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return document, rudderpermit.Version{Number: document.Version, Hash: xxhash.Sum64(raw)}, nil
}

// adopt replaces the adopted document with a stored one, unless that is older. replace also permits another
// document with the same version number.
func (c *Controller) adopt(raw []byte, replace bool) error {
	document, v, err := parse(raw)
	if err != nil {
		return err
	}
	c.adopting.Lock()
	defer c.adopting.Unlock()
	c.mu.Lock()
	adopted := c.permit.Adopt(v, replace)
	if adopted {
		c.document, c.raw = document, raw
	}
	c.mu.Unlock()
	if !adopted {
		return nil
	}
	c.Node.AdvanceHeartbeat()
	if c.OnChange != nil {
		c.OnChange(document)
	}
	return nil
}

// fetchInBackground fetches the newer configuration of a peer in the background, from at most two peers at a
// time.
func (c *Controller) fetchInBackground(_ rudderpermit.Version, address string) {
	c.mu.Lock()
	ctx := c.runContext
	if ctx == nil || c.fetching[address] || len(c.fetching) >= 2 {
		c.mu.Unlock()
		return
	}
	c.fetching[address] = true
	c.mu.Unlock()
	go func() {
		defer func() {
			c.mu.Lock()
			delete(c.fetching, address)
			c.mu.Unlock()
		}()
		c.report(c.fetch(ctx, address, false))
	}()
}

// fetch fetches the configuration of a peer and adopts it.
func (c *Controller) fetch(ctx context.Context, address string, replace bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout())
	defer cancel()
	d, err := c.Node.Peer.ConfigDocument(ctx, address)
	if err != nil {
		return errors.Wrapf(err, "fetch the configuration from %s", address)
	}
	return c.adopt(d.Document, replace)
}

func (c *Controller) callTimeout() time.Duration { return min(c.PermitTTL/4, 2*time.Second) }

func (c *Controller) report(err error) {
	if err != nil && c.OnError != nil {
		c.OnError(err)
	}
}

// wait returns nil after the duration, or the context's error if the context ends earlier.
func (c *Controller) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.Clock.After(d):
		return nil
	}
}

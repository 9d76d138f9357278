// Package rudderreport collects the counts of service levels from all entry hosts, and keeps those of
// this one in the key-value service, so that they survive its loss.
package rudderreport

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderburn"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// storeInterval keeps 330 entry hosts at 11 writes a second; a lost host loses at most this much.
	storeInterval = 30 * time.Second
	callTimeout   = 2 * time.Second
	// keptFor is how long the counts of an entry host that is gone are kept; reports look back a day.
	keptFor = 24 * time.Hour
)

// Collector keeps and collects counts. Set the exported fields before Run.
type Collector struct {
	Self       string
	Recorder   *rudderburn.Recorder
	Store      *rudderstore.Store
	Members    func() []ruddermember.Member
	HTTPClient *http.Client
	Clock      clockwork.Clock
	// OnError is told of failures that are tried again.
	OnError func(error)
}

// Handler serves the calls of other entry hosts.
func (c *Collector) Handler() rudderpeer.TwirpServer { return rudderpeer.NewReportsServer(c) }

// BurnCounters implements the twirp service.
func (c *Collector) BurnCounters(context.Context, *rudderpeer.BurnCountersRequest) (*rudderpeer.BurnCountersResponse, error) {
	raw, err := json.Marshal(c.Recorder.Snapshot(c.Self, c.Clock.Now()))
	if err != nil {
		return nil, errors.Wrap(err, "encoding the counts")
	}
	return &rudderpeer.BurnCountersResponse{Snapshot: raw}, nil
}

// Run takes over the counts of an earlier process of this entry host and stores the counts from time
// to time until the context ends, and once more then.
func (c *Collector) Run(ctx context.Context) error {
	c.restore(ctx)
	ticker := c.Clock.NewTicker(storeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			c.StoreSnapshot(ctx)
		}
	}
}

func (c *Collector) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, _, err := c.Store.Get(ctx, rudderburn.SnapshotKeyPrefix+c.Self)
	if errors.Is(err, rudderstore.ErrNotFound) {
		return
	}
	var snapshot rudderburn.Snapshot
	if err == nil {
		err = json.Unmarshal(entry.Value, &snapshot)
	}
	if err != nil {
		c.OnError(errors.Wrap(err, "reading the stored counts"))
		return
	}
	c.Recorder.Restore(snapshot)
}

// StoreSnapshot stores the counts now. A planned stop calls it last.
func (c *Collector) StoreSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := json.Marshal(c.Recorder.Snapshot(c.Self, c.Clock.Now()))
	if err == nil {
		_, err = c.Store.Put(ctx, rudderstore.PutRequest{Key: rudderburn.SnapshotKeyPrefix + c.Self, Value: raw, Expected: rudderstore.AnyRevision})
	}
	if err != nil {
		c.OnError(errors.Wrap(err, "storing the counts"))
	}
}

// Collect returns the counts of all entry hosts: from themselves, or as they were stored when they
// cannot be asked, and says for each where they come from.
func (c *Collector) Collect(ctx context.Context) ([]rudderburn.Snapshot, []rudderadmin.EntrySource) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := c.Clock.Now()
	stored := c.stored(ctx, now)
	members := c.Members()
	live := c.askAll(ctx, members)
	var snapshots []rudderburn.Snapshot
	var sources []rudderadmin.EntrySource
	add := func(name string, source rudderadmin.Source, s rudderburn.Snapshot) {
		snapshots = append(snapshots, s)
		age := now.Sub(time.UnixMilli(s.TakenUnixMS))
		sources = append(sources, rudderadmin.EntrySource{Entry: name, Source: source, AgeMS: max(0, age.Milliseconds())})
	}
	for i, m := range members {
		kept, isStored := stored[m.Name]
		delete(stored, m.Name)
		switch {
		case live[i] != nil:
			add(m.Name, rudderadmin.SourceLive, *live[i])
		case isStored:
			add(m.Name, rudderadmin.SourceStored, kept)
		default:
			sources = append(sources, rudderadmin.EntrySource{Entry: m.Name, Source: rudderadmin.SourceMissing})
		}
	}
	for name, kept := range stored { // entry hosts that left the registry
		add(name, rudderadmin.SourceStored, kept)
	}
	return snapshots, sources
}

// stored reads the kept counts that are young enough to matter.
func (c *Collector) stored(ctx context.Context, now time.Time) map[string]rudderburn.Snapshot {
	snapshots := make(map[string]rudderburn.Snapshot)
	entries, _, err := c.Store.List(ctx, rudderburn.SnapshotKeyPrefix)
	if err != nil {
		c.OnError(errors.Wrap(err, "reading the stored counts"))
		return snapshots
	}
	for _, e := range entries {
		var s rudderburn.Snapshot
		if err := json.Unmarshal(e.Value, &s); err != nil {
			c.OnError(errors.Wrapf(err, "stored counts %s", e.Key))
			continue
		}
		if now.Sub(time.UnixMilli(s.TakenUnixMS)) < keptFor {
			snapshots[strings.TrimPrefix(e.Key, rudderburn.SnapshotKeyPrefix)] = s
		}
	}
	return snapshots
}

// askAll asks all members at once. The answer of one that cannot be asked is nil.
func (c *Collector) askAll(ctx context.Context, members []ruddermember.Member) []*rudderburn.Snapshot {
	answers := make([]*rudderburn.Snapshot, len(members))
	var waiting sync.WaitGroup
	for i, m := range members {
		waiting.Go(func() {
			client := rudderpeer.NewReportsProtobufClient("http://"+m.PeerAddress, c.HTTPClient)
			response, err := client.BurnCounters(ctx, &rudderpeer.BurnCountersRequest{})
			if err != nil {
				return
			}
			var s rudderburn.Snapshot
			if json.Unmarshal(response.GetSnapshot(), &s) == nil {
				answers[i] = &s
			}
		})
	}
	waiting.Wait()
	return answers
}

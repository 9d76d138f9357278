// Package rudderreport collects the service level counts of all entry hosts. It stores those of its own entry
// host in the key-value service, so that they survive the loss of the host.
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
	// storeInterval is the time between two writes of the counts, so a lost host loses at most the counts of
	// this time. At 330 entry hosts it results in 11 writes per second.
	storeInterval = 30 * time.Second
	callTimeout   = 2 * time.Second
	// maxSnapshotAge is the age up to which stored counts are part of a report, which covers one day.
	maxSnapshotAge = 24 * time.Hour
)

// Collector stores the counts of its entry host and collects those of all entry hosts. Set the exported fields
// before Run.
type Collector struct {
	Self       string
	Recorder   *rudderburn.Recorder
	Store      *rudderstore.Store
	Members    func() []ruddermember.Member
	HTTPClient *http.Client
	Clock      clockwork.Clock
	// OnError is called with errors of operations that are retried.
	OnError func(error)
}

// Handler returns the twirp handler for calls from other entry hosts.
func (c *Collector) Handler() rudderpeer.TwirpServer { return rudderpeer.NewReportsServer(c) }

// BurnCounters implements the RPC of the twirp service Reports.
func (c *Collector) BurnCounters(context.Context, *rudderpeer.BurnCountersRequest) (*rudderpeer.BurnCountersResponse, error) {
	raw, err := json.Marshal(c.Recorder.Snapshot(c.Self, c.Clock.Now()))
	if err != nil {
		return nil, errors.Wrap(err, "encode counts")
	}
	return &rudderpeer.BurnCountersResponse{Snapshot: raw}, nil
}

// Run loads the counts that an earlier process of this entry host stored, and then stores the counts every
// storeInterval until the context ends. It does not store them at the end; see StoreSnapshot.
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
		c.OnError(errors.Wrap(err, "read stored counts"))
		return
	}
	c.Recorder.Restore(snapshot)
}

// StoreSnapshot stores the current counts. A graceful shutdown calls it last.
func (c *Collector) StoreSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := json.Marshal(c.Recorder.Snapshot(c.Self, c.Clock.Now()))
	if err == nil {
		_, err = c.Store.Put(ctx, rudderstore.PutRequest{Key: rudderburn.SnapshotKeyPrefix + c.Self, Value: raw, Expected: rudderstore.AnyRevision})
	}
	if err != nil {
		c.OnError(errors.Wrap(err, "store counts"))
	}
}

// Collect returns the counts of all entry hosts and the source of each: live from the entry host, or the stored
// ones when it does not respond.
func (c *Collector) Collect(ctx context.Context) ([]rudderburn.Snapshot, []rudderadmin.EntrySource) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := c.Clock.Now()
	stored := c.readStored(ctx, now)
	members := c.Members()
	live := c.fetchAll(ctx, members)
	var snapshots []rudderburn.Snapshot
	var sources []rudderadmin.EntrySource
	add := func(name string, source rudderadmin.Source, s rudderburn.Snapshot) {
		snapshots = append(snapshots, s)
		age := now.Sub(time.UnixMilli(s.TakenUnixMS))
		sources = append(sources, rudderadmin.EntrySource{Entry: name, Source: source, AgeMS: max(0, age.Milliseconds())})
	}
	for i, m := range members {
		snapshot, isStored := stored[m.Name]
		delete(stored, m.Name)
		switch {
		case live[i] != nil:
			add(m.Name, rudderadmin.SourceLive, *live[i])
		case isStored:
			add(m.Name, rudderadmin.SourceStored, snapshot)
		default:
			sources = append(sources, rudderadmin.EntrySource{Entry: m.Name, Source: rudderadmin.SourceMissing})
		}
	}
	for name, snapshot := range stored { // entry hosts that are no longer registered
		add(name, rudderadmin.SourceStored, snapshot)
	}
	return snapshots, sources
}

// readStored returns the stored counts that are younger than maxSnapshotAge, by entry host.
func (c *Collector) readStored(ctx context.Context, now time.Time) map[string]rudderburn.Snapshot {
	snapshots := make(map[string]rudderburn.Snapshot)
	entries, _, err := c.Store.List(ctx, rudderburn.SnapshotKeyPrefix)
	if err != nil {
		c.OnError(errors.Wrap(err, "list stored counts"))
		return snapshots
	}
	for _, e := range entries {
		var s rudderburn.Snapshot
		if err := json.Unmarshal(e.Value, &s); err != nil {
			c.OnError(errors.Wrapf(err, "decode stored counts %s", e.Key))
			continue
		}
		if now.Sub(time.UnixMilli(s.TakenUnixMS)) < maxSnapshotAge {
			snapshots[strings.TrimPrefix(e.Key, rudderburn.SnapshotKeyPrefix)] = s
		}
	}
	return snapshots
}

// fetchAll fetches the counts of all members concurrently. The snapshot of a member that does not respond is
// nil.
func (c *Collector) fetchAll(ctx context.Context, members []ruddermember.Member) []*rudderburn.Snapshot {
	snapshots := make([]*rudderburn.Snapshot, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			client := rudderpeer.NewReportsProtobufClient("http://"+m.PeerAddress, c.HTTPClient)
			response, err := client.BurnCounters(ctx, &rudderpeer.BurnCountersRequest{})
			if err != nil {
				return
			}
			var s rudderburn.Snapshot
			if json.Unmarshal(response.GetSnapshot(), &s) == nil {
				snapshots[i] = &s
			}
		})
	}
	wg.Wait()
	return snapshots
}

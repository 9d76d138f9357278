package rudderedge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// followersPerWatcher is the number of entry hosts of a data centre that follow one watcher.
	followersPerWatcher = 24
	// relayTimeout bounds a call to a watcher beyond the time that it may be held.
	relayTimeout = 300 * time.Millisecond
)

// errNoWatcher reports that no other entry host of the data centre is known.
var errNoWatcher = errors.New("edge: no watcher is known")

// watchers returns the entry hosts of a data centre that watch the key-value service for the others.
func watchers(entries []rudderview.Entry, dataCentre string) []rudderview.Entry {
	near := slices.DeleteFunc(slices.Clone(entries), func(x rudderview.Entry) bool { return x.DataCentre != dataCentre || x.Peer == "" })
	slices.SortFunc(near, func(a, b rudderview.Entry) int {
		return cmp.Compare(xxhash.Sum64String("watcher/"+a.Name), xxhash.Sum64String("watcher/"+b.Name))
	})
	return near[:min(len(near), 1+len(near)/followersPerWatcher)]
}

// follow implements rudderview.View.Follow.
func (e *Edge) follow(ctx context.Context, after int64, wait time.Duration) (rudderview.Changes, error) {
	list := watchers(e.view.Snapshot().Entries, e.Settings.DataCentre)
	if len(list) == 0 || slices.ContainsFunc(list, func(x rudderview.Entry) bool { return x.Name == e.Settings.Name }) {
		return rudderview.Changes{}, rudderview.ErrWatcher
	}
	watcher := list[xxhash.Sum64String(e.Settings.Name)%uint64(len(list))]
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	answer, err := rudderpeer.NewRelayProtobufClient("http://"+watcher.Peer, e.peers.client).Changes(ctx, &rudderpeer.ChangesRequest{
		After: after, WaitMs: wait.Milliseconds(),
	})
	if err != nil {
		return rudderview.Changes{}, errors.Mark(err, errNoWatcher)
	}
	changes := rudderview.Changes{
		Serving: answer.GetServing(), Gap: answer.GetGap(), Revision: answer.GetRevision(),
		Age: time.Duration(answer.GetAgeMs()) * time.Millisecond, Held: time.Duration(answer.GetHeldMs()) * time.Millisecond,
	}
	for _, c := range answer.GetChanges() {
		changes.Events = append(changes.Events, rudderstore.Event{
			Entry: rudderstore.Entry{Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision()}, Deleted: c.GetDeleted(),
		})
	}
	return changes, nil
}

// relayServer answers followers.
type relayServer struct{ edge *Edge }

// maxRelayWait bounds how long a follower's call is held.
const maxRelayWait = 5 * time.Second

// Changes implements rudderpeer.Relay.
func (s relayServer) Changes(ctx context.Context, r *rudderpeer.ChangesRequest) (*rudderpeer.ChangesResponse, error) {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxRelayWait)
	c := s.edge.view.Changes(ctx, r.GetAfter(), wait)
	// The age is rounded up: a look must not seem younger than it is.
	answer := &rudderpeer.ChangesResponse{
		Serving: c.Serving, Gap: c.Gap, Revision: c.Revision, AgeMs: c.Age.Milliseconds() + 1, HeldMs: c.Held.Milliseconds(),
	}
	for _, x := range c.Events {
		answer.Changes = append(answer.Changes, &rudderpeer.Change{Key: x.Key, Value: x.Value, Revision: x.Revision, Deleted: x.Deleted})
	}
	return answer, nil
}

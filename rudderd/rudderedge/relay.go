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
)

const (
	// followersPerWatcher is the number of entry hosts of a data centre that follow one watcher.
	followersPerWatcher = 48
	// relayTransferTime is how long a watcher's link may take to send one set of changes to all of its followers.
	// defaultLink is the assumed bandwidth of the link if it is unknown, in bits per second.
	relayTransferTime = 900 * time.Millisecond
	defaultLink       = 28e6
	// packMinBytes is the size from which on changes are compressed.
	packMinBytes = 2 << 10
	// maxRelayPlainBytes bounds a set of changes before compression; the memory of a small host sets it.
	maxRelayPlainBytes = 4 << 20
	// maxRelayBytes bounds a set of changes after compression; the memory of a small host sets it.
	maxRelayBytes = 512 << 10
	// followAttempts is the number of watchers that are tried for one read of changes. A dead one costs the wait and
	// relayTimeout, and the last successful read must not become too old.
	followAttempts = 2
	// watcherBackoff is how long a watcher that did not serve is skipped.
	watcherBackoff = 3 * time.Second
	// maxUnavailable bounds the number of skipped watchers that are remembered.
	maxUnavailable = 256
	// relayTimeout bounds a call to a watcher, in addition to the time for which the watcher may hold it.
	relayTimeout = 300 * time.Millisecond
)

// errNoWatcher reports that no watcher is known or that a call to one failed.
var errNoWatcher = errors.New("edge: no reachable watcher")

// relayBytes returns the largest compressed size of the changes that an entry host sends to one follower. A follower that
// lacks larger changes copies a whole snapshot instead.
func relayBytes(link float64) int {
	if link <= 0 {
		link = defaultLink
	}
	return min(int(link/8*relayTransferTime.Seconds()/followersPerWatcher), maxRelayBytes)
}

// watchers returns the entry hosts of a data centre that watch the key-value service on behalf of the others. Hosts with
// enough capacity are preferred.
func watchers(entries []rudderview.EntryHost, dataCentre string) []rudderview.EntryHost {
	near := slices.DeleteFunc(slices.Clone(entries), func(x rudderview.EntryHost) bool { return x.DataCentre != dataCentre || x.Peer == "" })
	count := min(len(near), 1+len(near)/followersPerWatcher)
	list := rudderview.HighCapacity(near)
	if len(list) < count {
		list = near
	}
	slices.SortFunc(list, func(a, b rudderview.EntryHost) int {
		return cmp.Compare(xxhash.Sum64String("watcher/"+a.Name), xxhash.Sum64String("watcher/"+b.Name))
	})
	return list[:count]
}

// candidates returns the watchers that an entry host may follow, in the order in which it tries them: those of its own
// data centre, then those of the others. It returns nil for an entry host that is itself a watcher.
func candidates(entries []rudderview.EntryHost, self, dataCentre string) []rudderview.EntryHost {
	near := watchers(entries, dataCentre)
	if len(near) == 0 || slices.ContainsFunc(near, func(x rudderview.EntryHost) bool { return x.Name == self }) {
		return nil
	}
	var far []rudderview.EntryHost
	seen := map[string]bool{dataCentre: true}
	for _, x := range entries {
		if !seen[x.DataCentre] {
			seen[x.DataCentre] = true
			far = append(far, watchers(entries, x.DataCentre)...)
		}
	}
	for _, list := range [][]rudderview.EntryHost{near, far} {
		slices.SortFunc(list, func(a, b rudderview.EntryHost) int {
			return cmp.Compare(xxhash.Sum64String(self+"/"+a.Name), xxhash.Sum64String(self+"/"+b.Name))
		})
	}
	return append(near, far...)
}

// follow implements rudderview.View.FetchChanges. If the watcher does not serve, another one is tried at once: otherwise
// hundreds of entry hosts would watch the key-value service themselves, and make most of its calls in a day.
func (e *Edge) follow(ctx context.Context, after int64, wait time.Duration, inOutage bool) (rudderview.Changes, error) {
	list := candidates(e.view.Snapshot().EntryHosts, e.Settings.Name, e.Settings.DataCentre)
	if len(list) == 0 {
		return rudderview.Changes{}, rudderview.ErrWatcher
	}
	now := e.uptime()
	list = slices.DeleteFunc(list, func(x rudderview.EntryHost) bool { return now < e.unavailable[x.Peer] })
	err, allAway := errNoWatcher, len(list) > 0
	var away rudderview.Changes
	for i, watcher := range list[:min(len(list), followAttempts)] {
		if i > 0 {
			wait = max(wait-(e.uptime()-now), 0) // the last successful read grows old, so the call must not be held for longer
		}
		var changes rudderview.Changes
		changes, err = e.followWatcher(ctx, watcher, after, wait, inOutage)
		if err == nil && (changes.Serving || inOutage && changes.Unavailable) {
			return changes, nil
		}
		if err == nil && changes.Unavailable {
			if away.Revision == 0 || changes.Revision > 0 && changes.Age-changes.Held < away.Age-away.Held {
				away = changes
			}
			continue // not skipped later, so that it can report the end of the outage
		}
		allAway = false
		if ctx.Err() != nil {
			break
		}
		e.Logger.Info().Err(err).Str("watcher", watcher.Name).Msg("watcher unavailable; trying another one")
		if len(e.unavailable) > maxUnavailable {
			clear(e.unavailable)
		}
		e.unavailable[watcher.Peer] = e.uptime() + watcherBackoff
	}
	away.Unavailable = allAway
	return away, err
}

// followWatcher requests changes from one watcher.
func (e *Edge) followWatcher(ctx context.Context, watcher rudderview.EntryHost, after int64, wait time.Duration, inOutage bool) (rudderview.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	answer, err := rudderpeer.NewRelayProtobufClient("http://"+watcher.Peer, e.peers.client).Changes(ctx, &rudderpeer.ChangesRequest{
		After: after, WaitMs: wait.Milliseconds(), Away: inOutage,
	})
	if err != nil {
		return rudderview.Changes{}, errors.Mark(err, errNoWatcher)
	}
	changes := rudderview.Changes{
		Serving: answer.GetServing(), Unavailable: answer.GetAway(), Gap: answer.GetGap(), Revision: answer.GetRevision(),
		Age: time.Duration(answer.GetAgeMs()) * time.Millisecond, Held: time.Duration(answer.GetHeldMs()) * time.Millisecond,
	}
	if len(answer.GetPacked()) == 0 {
		changes.Events = eventsOf(answer.GetChanges())
		return changes, nil
	}
	changes.Events, err = unpack(answer.GetPacked(), e.Account.Budgets.Replies)
	return changes, err
}

// relayServer serves the Relay calls of followers.
type relayServer struct{ edge *Edge }

// maxRelayWait bounds how long a follower's call is held.
const maxRelayWait = 5 * time.Second

// Changes implements rudderpeer.Relay.
func (s relayServer) Changes(ctx context.Context, r *rudderpeer.ChangesRequest) (*rudderpeer.ChangesResponse, error) {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxRelayWait)
	c := s.edge.view.Changes(ctx, r.GetAfter(), wait, r.GetAway())
	// The age is rounded up, so that the data never appears newer than it is.
	answer := &rudderpeer.ChangesResponse{
		Serving: c.Serving, Away: c.Unavailable, Gap: c.Gap, Revision: c.Revision, AgeMs: c.Age.Milliseconds() + 1, HeldMs: c.Held.Milliseconds(),
	}
	size := 0
	for _, x := range c.Events {
		size += len(x.Value)
	}
	if size < packMinBytes {
		answer.Changes = changesOf(c.Events)
		return answer, nil
	}
	packed, err := s.edge.packer.pack(packKey{r.GetAfter(), c.Revision}, func() []*rudderpeer.Change { return changesOf(c.Events) })
	if err != nil {
		return nil, err
	}
	answer.Packed = packed
	if len(packed) > relayBytes(s.edge.Settings.LinkBandwidth) {
		answer.Packed, answer.Gap = nil, true
	}
	return answer, nil
}

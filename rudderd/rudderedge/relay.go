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
	// relayTime is how long a watcher's link may take to pass one set of changes on to all of its followers, and
	// defaultLink the link where it is not known, in bits a second.
	relayTime   = 900 * time.Millisecond
	defaultLink = 28e6
	// packFrom is the size from which on changes are compressed.
	packFrom = 2 << 10
	// relayPlainBytes bounds a set of changes before it is compressed, by the memory of a small host.
	relayPlainBytes = 4 << 20
	// mostRelayBytes bounds a set of changes by the memory of a small host.
	mostRelayBytes = 512 << 10
	// followTries is the number of watchers that are asked for one look. A dead one costs relayTimeout and the wait, and
	// the look must not grow too old.
	followTries = 2
	// unavailableFor is how long a watcher that did not serve is not asked.
	unavailableFor = 3 * time.Second
	// maxUnavailable bounds the memory of such watchers.
	maxUnavailable = 256
	// relayTimeout bounds a call to a watcher beyond the time that it may be held.
	relayTimeout = 300 * time.Millisecond
)

// errNoWatcher reports that no other entry host of the data centre is known.
var errNoWatcher = errors.New("edge: no watcher is known")

// relayBytes is the compressed size of the changes that an entry host passes on to one follower. A follower that misses
// larger ones copies a whole snapshot.
func relayBytes(link float64) int {
	if link <= 0 {
		link = defaultLink
	}
	return min(int(link/8*relayTime.Seconds()/followersPerWatcher), mostRelayBytes)
}

// watchers returns the entry hosts of a data centre that watch the key-value service for the others, those that can
// carry it first.
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
// data centre, then those of the others. It returns nothing for a watcher.
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

// follow implements rudderview.View.FetchChanges. Where the watcher does not serve, another one is asked at once: hundreds of
// entry hosts that watch the key-value service themselves instead are most of its calls in a day.
func (e *Edge) follow(ctx context.Context, after int64, wait time.Duration, away bool) (rudderview.Changes, error) {
	list := candidates(e.view.Snapshot().EntryHosts, e.Settings.Name, e.Settings.DataCentre)
	if len(list) == 0 {
		return rudderview.Changes{}, rudderview.ErrWatcher
	}
	now := e.uptime()
	list = slices.DeleteFunc(list, func(x rudderview.EntryHost) bool { return now < e.unavailable[x.Peer] })
	err, allAway := errNoWatcher, len(list) > 0
	for i, watcher := range list[:min(len(list), followTries)] {
		if i > 0 {
			wait = 0 // the look is old by now
		}
		var changes rudderview.Changes
		changes, err = e.followOne(ctx, watcher, after, wait, away)
		if err == nil && (changes.Serving || away && changes.Unavailable) {
			return changes, nil
		}
		if err == nil && changes.Unavailable {
			continue // it is asked again, for the end of the outage
		}
		allAway = false
		if ctx.Err() != nil {
			break
		}
		e.Logger.Info().Err(err).Str("watcher", watcher.Name).Msg("watcher does not serve; trying another one")
		if len(e.unavailable) > maxUnavailable {
			clear(e.unavailable)
		}
		e.unavailable[watcher.Peer] = e.uptime() + unavailableFor
	}
	return rudderview.Changes{Unavailable: allAway}, err
}

// followOne asks one watcher for changes.
func (e *Edge) followOne(ctx context.Context, watcher rudderview.EntryHost, after int64, wait time.Duration, away bool) (rudderview.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	answer, err := rudderpeer.NewRelayProtobufClient("http://"+watcher.Peer, e.peers.client).Changes(ctx, &rudderpeer.ChangesRequest{
		After: after, WaitMs: wait.Milliseconds(), Away: away,
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
	changes.Events, err = unpack(answer.GetPacked())
	return changes, err
}

// relayServer answers followers.
type relayServer struct{ edge *Edge }

// maxRelayWait bounds how long a follower's call is held.
const maxRelayWait = 5 * time.Second

// Changes implements rudderpeer.Relay.
func (s relayServer) Changes(ctx context.Context, r *rudderpeer.ChangesRequest) (*rudderpeer.ChangesResponse, error) {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxRelayWait)
	c := s.edge.view.Changes(ctx, r.GetAfter(), wait, r.GetAway())
	// The age is rounded up: a look must not seem younger than it is.
	answer := &rudderpeer.ChangesResponse{
		Serving: c.Serving, Away: c.Unavailable, Gap: c.Gap, Revision: c.Revision, AgeMs: c.Age.Milliseconds() + 1, HeldMs: c.Held.Milliseconds(),
	}
	size := 0
	for _, x := range c.Events {
		size += len(x.Value)
	}
	if size < packFrom {
		answer.Changes = changesOf(c.Events)
		return answer, nil
	}
	packed, err := s.edge.packer.pack(packKey{r.GetAfter(), c.Revision}, func() []*rudderpeer.Change { return changesOf(c.Events) })
	if err != nil {
		return nil, err
	}
	answer.Packed = packed
	if len(packed) > relayBytes(s.edge.Settings.Link) {
		answer.Packed, answer.Gap = nil, true
	}
	return answer, nil
}

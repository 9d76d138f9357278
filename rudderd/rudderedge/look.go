package rudderedge

import (
	"context"
	"math/rand/v2"
	"slices"

	"comfreyrudder.example/rudderd/rudderview"
)

// lookPeers is the number of watchers that are asked for a younger look at the key-value service while it does not answer.
const lookPeers = 3

// fetchLook implements rudderview.View.FetchLook.
func (e *Edge) fetchLook(ctx context.Context, after int64) (rudderview.Changes, error) {
	list := e.otherWatchers()
	type answer struct {
		changes rudderview.Changes
		err     error
	}
	answers := make(chan answer, len(list))
	for _, x := range list {
		go func() {
			c, err := e.followWatcher(ctx, x, after, 0, true)
			answers <- answer{c, err}
		}()
	}
	var youngest rudderview.Changes
	err := errNoWatcher
	for range list {
		a := <-answers
		if a.err != nil || a.changes.Gap || a.changes.Revision == 0 {
			continue
		}
		if err != nil || a.changes.Age-a.changes.Held < youngest.Age-youngest.Held {
			youngest, err = a.changes, nil
		}
	}
	youngest.Serving = false // what one watcher reaches this entry host may not
	return youngest, err
}

// otherWatchers returns up to lookPeers watchers of any data centre, without this entry host.
func (e *Edge) otherWatchers() []rudderview.EntryHost {
	entries := e.view.Snapshot().EntryHosts
	var list []rudderview.EntryHost
	seen := map[string]bool{}
	for _, x := range entries {
		if !seen[x.DataCentre] {
			seen[x.DataCentre] = true
			list = append(list, watchers(entries, x.DataCentre)...)
		}
	}
	list = slices.DeleteFunc(list, func(x rudderview.EntryHost) bool { return x.Name == e.Settings.Name })
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list[:min(len(list), lookPeers)]
}

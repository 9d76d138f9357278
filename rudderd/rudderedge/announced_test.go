package rudderedge

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbalance"
	"comfreyrudder.example/rudderd/rudderforward"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

// A target announces to one entry host that it is leaving, and the key-value service is slow to publish its record.
// Guards against other entry hosts, including the planner, that learn of it only after they have sent it work themselves.
func TestAnnouncedLeaveSpreadsWithCallsToOwners(t *testing.T) {
	store := newMemoryStore()
	put := func(key string, value any) {
		text, err := json.Marshal(value)
		require.NoError(t, err)
		_, err = store.Put(t.Context(), rudderstore.PutRequest{Key: key, Value: text})
		require.NoError(t, err)
	}
	put("routing", rudderroute.Document{Version: 1, Services: []rudderroute.Service{{Name: "llm", Engine: &rudderroute.Engine{
		Slots: 4, Models: []rudderroute.Model{{Name: "m", Size: 1}},
	}}}})
	put("targets/x", rudderview.Target{Host: rudderhost.Host{Name: "x", Address: "127.0.0.1:1", State: rudderhost.StateLive}, Service: "plain", Born: 7})
	var writes atomic.Int32 // except registrations of entry hosts, the shared secret and the planner's record
	counted := *store
	counted.Put = func(ctx context.Context, r rudderstore.PutRequest) (int64, error) {
		if r.Key != rudderview.PlannerKey && r.Key != rudderview.SecretKey && !strings.HasPrefix(r.Key, rudderview.EntryPrefix) {
			writes.Add(1)
		}
		return store.Put(ctx, r)
	}
	hosts := make([]*Edge, 3)
	for i := range hosts {
		e := edge(fmt.Sprint("e", i), &counted)
		e.Settings.PeerListen = freeAddress(t)
		e.Ports.DecodeTarget = func(_ string, value []byte) (x rudderview.Target, err error) { return x, json.Unmarshal(value, &x) }
		ctx, stop := context.WithCancel(t.Context())
		e.Prepare()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = e.Run(ctx)
		}()
		t.Cleanup(func() { stop(); <-ended })
		hosts[i] = e
	}
	for _, e := range hosts {
		require.Eventually(t, func() bool {
			return len(e.view.Snapshot().EntryHosts) == len(hosts) && isClosed(e.peers.secretKnown) && e.view.Snapshot().Targets["x"] != nil
		}, 10*time.Second, 5*time.Millisecond)
	}
	leaving := func(e *Edge) bool { return e.view.Snapshot().Targets["x"].Leaving() }
	own, found := hosts[0].balance.owners.of(hosts[0].view.Snapshot(), ledgerKey{"llm", "m", 0})
	require.True(t, found)
	var owner *Edge
	var others []*Edge
	for _, e := range hosts {
		if e.Settings.Name == own.Name {
			owner = e
		} else {
			others = append(others, e)
		}
	}
	ask := func(e *Edge) {
		_ = e.balance.askOwner(t.Context(), e.view.Snapshot(), rudderforward.PickQuery{Service: "llm", Model: "m", Limit: time.Second}, rudderbalance.PartitionQuery{})
	}
	require.True(t, others[0].view.MarkLeaving(rudderview.Announcement{Target: "x", Born: 7}))
	require.False(t, leaving(owner))
	ask(others[0])
	require.True(t, leaving(owner), "the call passes the announcement to the owner")
	require.False(t, leaving(others[1]))
	ask(others[1])
	require.True(t, leaving(others[1]), "the response passes the announcement to the caller")
	require.Zero(t, writes.Load(), "nothing is written to the key-value service")
}

// Guards against a faulty peer that sends an unbounded list of announcements.
func TestAnnouncementsOfOneCallAreBounded(t *testing.T) {
	e := edge("a", newMemoryStore())
	e.Prepare()
	list := make([]*rudderpeer.LeavingTarget, 10*maxAnnouncedPerCall)
	for i := range list {
		list[i] = &rudderpeer.LeavingTarget{Name: fmt.Sprint("t", i), Born: 1}
	}
	e.applyAnnounced("b", list)
	require.False(t, e.view.MarkLeaving(rudderview.Announcement{Target: "t0", Born: 1}))
	require.True(t, e.view.MarkLeaving(rudderview.Announcement{Target: fmt.Sprint("t", maxAnnouncedPerCall), Born: 1}))
	require.LessOrEqual(t, len(e.announced()), maxAnnouncedPerCall)
}

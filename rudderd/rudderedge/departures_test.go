package rudderedge

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderentry"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

// storeFaults says which calls to a key-value service get no answer.
type storeFaults struct{ all, leases atomic.Bool }

// wrap wraps a key-value service.
func (f *storeFaults) wrap(store *rudderstore.Store) *rudderstore.Store {
	wait := func(ctx context.Context, leases bool) error {
		if f.all.Load() || leases && f.leases.Load() {
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	}
	faulty := *store
	faulty.Get = func(ctx context.Context, key string) (rudderstore.Entry, int64, error) {
		if err := wait(ctx, false); err != nil {
			return rudderstore.Entry{}, 0, err
		}
		return store.Get(ctx, key)
	}
	faulty.List = func(ctx context.Context, prefix string) ([]rudderstore.Entry, int64, error) {
		if err := wait(ctx, false); err != nil {
			return nil, 0, err
		}
		return store.List(ctx, prefix)
	}
	faulty.Watch = func(ctx context.Context, r rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
		if err := wait(ctx, false); err != nil {
			return rudderstore.WatchResult{}, err
		}
		return store.Watch(ctx, r)
	}
	faulty.Put = func(ctx context.Context, r rudderstore.PutRequest) (int64, error) {
		if err := wait(ctx, r.Lease != 0); err != nil {
			return 0, err
		}
		return store.Put(ctx, r)
	}
	faulty.GrantLease = func(ctx context.Context, ttl time.Duration) (int64, error) {
		if err := wait(ctx, true); err != nil {
			return 0, err
		}
		return store.GrantLease(ctx, ttl)
	}
	faulty.KeepAlive = func(ctx context.Context, lease int64) error {
		if err := wait(ctx, true); err != nil {
			return err
		}
		return store.KeepAlive(ctx, lease)
	}
	faulty.RevokeLease = func(ctx context.Context, lease int64) error {
		if err := wait(ctx, true); err != nil {
			return err
		}
		return store.RevokeLease(ctx, lease)
	}
	return &faulty
}

// fleetHost is a process of an entry host.
type fleetHost struct {
	*Edge
	stop  context.CancelFunc
	ended chan struct{}
}

// startHost starts a process that serves other entry hosts at the address.
func startHost(t *testing.T, name, peer string, store *rudderstore.Store) *fleetHost {
	t.Helper()
	return startHostAt(t, name, peer, store, nil)
}

// startHostAt is startHost with a clock, nil for the usual one.
func startHostAt(t *testing.T, name, peer string, store *rudderstore.Store, uptime func() time.Duration) *fleetHost {
	t.Helper()
	dead := &storeFaults{} // what goes on after Run ends with a process
	e := edge(name, dead.wrap(store))
	e.uptime = uptime
	e.Settings.CallerListen, e.Settings.PeerListen, e.Settings.StopGrace = freeAddress(t), peer, 2*time.Second
	ctx, stop := context.WithCancel(t.Context())
	e.Prepare()
	h := &fleetHost{e, stop, make(chan struct{})}
	go func() {
		defer close(h.ended)
		defer dead.all.Store(true)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-h.ended })
	return h
}

// startFleet starts entry hosts that know each other and have a routing document.
func startFleet(t *testing.T, count int, faults *storeFaults) (store *rudderstore.Store, hosts []*fleetHost) {
	t.Helper()
	store = newMemoryStore()
	document, err := json.Marshal(rudderroute.Document{Version: 1})
	require.NoError(t, err)
	_, err = store.Put(t.Context(), rudderstore.PutRequest{Key: "routing", Value: document})
	require.NoError(t, err)
	for i := range count {
		hosts = append(hosts, startHost(t, fmt.Sprint("e", i), freeAddress(t), faults.wrap(store)))
	}
	for _, h := range hosts {
		require.Eventually(t, func() bool {
			return len(h.view.Snapshot().EntryHosts) == count && isClosed(h.peers.secretKnown) && h.Ready()
		}, 10*time.Second, 5*time.Millisecond)
	}
	return store, hosts
}

// instances returns the processes of an entry host that another one lists.
func (h *fleetHost) instances(name string) []string {
	list := []string{}
	for _, x := range h.view.Snapshot().EntryHosts {
		if x.Name == name {
			list = append(list, x.Instance)
		}
	}
	return list
}

func (h *fleetHost) lists(address string) bool {
	addresses, _ := h.Addresses(rudderentry.Caller{Key: "c"}, 64)
	for _, a := range addresses {
		if a == address {
			return true
		}
	}
	return false
}

// An entry host stops while the key-value service is silent. Guards against a fleet that lists it until its registration expires:
// callers came until it had ended, and then found no connection.
func TestFleetLearnsOfAStopWhileTheStoreIsSilent(t *testing.T) {
	faults := &storeFaults{}
	store, hosts := startFleet(t, 5, faults)
	stopped, restarted, others := hosts[0], hosts[1], hosts[2:]
	gone := func(h *fleetHost) func() bool {
		return func() bool { return len(h.instances("e0")) == 0 && !h.lists(stopped.Settings.CallerListen) }
	}
	faults.all.Store(true)
	// Another host stops too. It still answers callers that look for entry hosts.
	restarted.stop()
	require.Eventually(t, func() bool { return len(stopped.instances("e1")) == 0 }, 10*time.Second, 5*time.Millisecond)
	stopped.stop()
	for _, h := range hosts[1:] {
		require.Eventually(t, gone(h), 10*time.Second, 5*time.Millisecond, h.Settings.Name)
	}
	_, lifetime := others[0].Addresses(rudderentry.Caller{Key: "c"}, 64)
	require.Less(t, lifetime, others[0].Settings.DirectoryLifetime, "others may follow")

	// A host that starts meanwhile reads the registrations when the service answers again. They have not expired.
	<-restarted.ended
	successor := startHost(t, "e1", restarted.Settings.PeerListen, faults.wrap(store))
	<-stopped.ended
	faults.all.Store(false)
	require.Eventually(t, func() bool { return len(successor.instances("e2")) == 1 && successor.Ready() }, 10*time.Second, 5*time.Millisecond)
	require.Eventually(t, gone(successor), 10*time.Second, 5*time.Millisecond)
	records, _, err := store.List(t.Context(), "")
	require.NoError(t, err)
	require.Contains(t, keys(records), rudderview.EntryPrefix+"e0")

	// The departure does not hide the next process of the host.
	next := startHost(t, "e0", stopped.Settings.PeerListen, faults.wrap(store))
	for _, h := range append(others, successor, next) {
		require.Eventually(t, func() bool {
			return fmt.Sprint(h.instances("e0"), h.instances("e1")) == fmt.Sprint([]string{next.session.entry.Instance}, []string{successor.session.entry.Instance})
		}, 10*time.Second, 5*time.Millisecond, h.Settings.Name)
	}
}

func keys(records []rudderstore.Entry) []string {
	var list []string
	for _, e := range records {
		list = append(list, e.Key)
	}
	return list
}

// An entry host restarts while it cannot register. Guards against a fleet that shrinks with each restart, until few hosts take all
// requests, and against a host that is listed twice or longer than it runs.
func TestHostThatCannotRegisterIsListed(t *testing.T) {
	faults, own := &storeFaults{}, &storeFaults{}
	store, hosts := startFleet(t, 3, faults)
	hosts[0].stop()
	<-hosts[0].ended
	own.leases.Store(true)
	next := startHost(t, "e0", hosts[0].Settings.PeerListen, own.wrap(store))
	want := fmt.Sprint([]string{next.session.entry.Instance})
	for _, h := range append(hosts[1:], next) {
		require.Eventually(t, func() bool { return fmt.Sprint(h.instances("e0")) == want }, 10*time.Second, 5*time.Millisecond, h.Settings.Name)
	}
	own.leases.Store(false)
	require.Eventually(t, next.session.registered, 10*time.Second, 5*time.Millisecond)
	for _, h := range append(hosts[1:], next) {
		require.Eventually(t, func() bool { return len(h.view.Arrivals()) == 0 }, 5*time.Second, 5*time.Millisecond)
		require.Equal(t, want, fmt.Sprint(h.instances("e0")))
	}
	faults.all.Store(true)
	own.all.Store(true)
	next.stop()
	for _, h := range hosts[1:] {
		require.Eventually(t, func() bool { return len(h.instances("e0")) == 0 }, 10*time.Second, 5*time.Millisecond)
	}
}

// Guards against a host that keeps calling entry hosts of an earlier version, which do not serve the call, and against one that
// gives up those that do not answer at once.
func TestAnnouncementsAreRepeatedWhereTheyMayHelp(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request, call int32)
		want   int32
	}{
		{"earlier version", func(w http.ResponseWriter, r *http.Request, _ int32) { http.NotFound(w, r) }, 1},
		{"restarting", func(w http.ResponseWriter, _ *http.Request, call int32) {
			if call < 3 {
				w.WriteHeader(http.StatusUnauthorized)
			} else {
				w.Header().Set("Content-Type", "application/protobuf")
			}
		}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int32
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := rudderpeer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { test.answer(w, r, calls.Add(1)) }))
			t.Cleanup(func() { _ = server.Close() })
			go func() { _ = server.Serve(listener) }()
			e := edge("a", newMemoryStore())
			e.Prepare()
			e.setSecret([]byte("secret"))
			e.view.MarkArrived(rudderview.EntryHost{Name: "b", Instance: "1", Peer: listener.Addr().String()})
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			e.announce(ctx, &rudderpeer.AnnounceRequest{Departure: &rudderpeer.Departure{}})
			require.True(t, errors.Is(ctx.Err(), context.DeadlineExceeded))
			require.Equal(t, test.want, calls.Load())
		})
	}
}

// A process starts while the key-value service is silent. Guards against a directory that sends callers to it, although it rejects
// everything and others serve: up to 900 requests of a day were rejected for want of a configuration.
func TestDirectoryOfAHostThatKnowsNothing(t *testing.T) {
	faults := &storeFaults{}
	faults.all.Store(true)
	h := startHost(t, "a", freeAddress(t), faults.wrap(newMemoryStore()))
	require.Eventually(t, h.view.AwaitsRecords, time.Second, time.Millisecond)
	require.Never(t, func() bool { return !h.view.AwaitsRecords() || h.lists(h.Settings.CallerListen) }, 300*time.Millisecond, 5*time.Millisecond)
	faults.all.Store(false)
	// Nobody else is there: callers that come early are told when to come back.
	require.Eventually(t, func() bool { return h.lists(h.Settings.CallerListen) }, 10*time.Second, 5*time.Millisecond)
}

// All entry hosts stop one after the other, with a grace time longer than that takes. Guards against a directory that lists none of
// them, although they still serve, and against one that lists those that are about to end.
func TestDirectoryWhileAllEntryHostsStop(t *testing.T) {
	e := edge("a", newMemoryStore())
	e.Settings.StopGrace = 8 * time.Second
	now := time.Minute
	e.uptime = func() time.Duration { return now }
	e.Prepare()
	addresses := func() []string {
		list, _ := e.Addresses(rudderentry.Caller{Key: "c"}, 64)
		return list
	}
	b := rudderview.EntryHost{Name: "b", Instance: "1", Address: "b:1"}
	require.True(t, e.view.MarkArrived(b))
	require.Equal(t, []string{"b:1"}, addresses())
	require.True(t, e.view.MarkDeparted(rudderview.Departure{EntryHost: b}))
	e.stop.flag.Store(true)
	require.True(t, e.view.MarkDeparted(rudderview.Departure{EntryHost: e.session.entry, Age: 2 * time.Second}))
	require.ElementsMatch(t, []string{"b:1", e.Settings.CallerListen}, addresses())
	now += 3 * time.Second
	require.Equal(t, []string{"b:1"}, addresses())
	now += 2 * time.Second
	require.Empty(t, addresses())
}

// A host was frozen for longer than knownAge while another one stopped, and the key-value service is silent when it wakes. Guards
// against a host that lists the other one until the service answers again.
func TestHostThatWasFrozenLearnsOfEarlierStops(t *testing.T) {
	faults := &storeFaults{}
	store, hosts := startFleet(t, 1, faults)
	begin, frozen := time.Now(), atomic.Int64{}
	h := startHostAt(t, "e1", freeAddress(t), faults.wrap(store), func() time.Duration {
		return time.Since(begin) + time.Second + time.Duration(frozen.Load())
	})
	gone := rudderview.EntryHost{Name: "e2", Instance: "1", Peer: "127.0.0.1:1"}
	registration, err := json.Marshal(gone)
	require.NoError(t, err)
	_, err = store.Put(t.Context(), rudderstore.PutRequest{Key: rudderview.EntryPrefix + "e2", Value: registration})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(h.view.Snapshot().EntryHosts) == 3 && h.session.registered() && h.Ready() }, 10*time.Second, 5*time.Millisecond)
	time.Sleep(2 * knownInterval) // it has asked what the other one knows
	faults.all.Store(true)
	require.Eventually(t, h.view.Unreachable, 10*time.Second, 5*time.Millisecond)
	require.Len(t, h.instances("e2"), 1)
	require.True(t, hosts[0].view.MarkDeparted(rudderview.Departure{EntryHost: gone, Age: knownAge + 5*time.Second}))
	frozen.Store(int64(knownAge + 6*time.Second))
	require.Eventually(t, func() bool { return len(h.instances("e2")) == 0 }, 5*time.Second, 5*time.Millisecond)
}

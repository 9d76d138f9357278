package rudderedge

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

// countLists wraps a store and counts the calls that list all records.
func countLists(store *rudderstore.Store) (*rudderstore.Store, *atomic.Int32) {
	var lists atomic.Int32
	counted := *store
	counted.List = func(ctx context.Context, prefix string) ([]rudderstore.Entry, int64, error) {
		if prefix == "" {
			lists.Add(1)
		}
		all, revision, err := store.List(ctx, prefix)
		var found []rudderstore.Entry
		for _, e := range all {
			if len(e.Key) >= len(prefix) && e.Key[:len(prefix)] == prefix {
				found = append(found, e)
			}
		}
		return found, revision, err
	}
	counted.ListStale = counted.List
	return &counted, &lists
}

// reservedAddresses is the set of addresses that freeAddress has returned.
var reservedAddresses sync.Map

// freeAddress returns an address that nothing listens on, and that no other test gets. Its port is below those that the kernel
// chooses, which may be in use again before a test listens on them.
func freeAddress(t *testing.T) string {
	t.Helper()
	const firstPort, ports, attempts = 12000, 8000, 100
	for range attempts {
		address := net.JoinHostPort("127.0.0.2", strconv.Itoa(firstPort+rand.IntN(ports)))
		if _, reserved := reservedAddresses.LoadOrStore(address, true); reserved {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
	t.Fatal("no free address")
	return ""
}

// Hundreds of entry hosts restart together. Guards against a list of all records for each of them, which saturates the
// link of the key-value service for seconds, and against a copied snapshot that counts as newer than its source.
func TestEntryHostsCopyTheFirstSnapshot(t *testing.T) {
	store := newMemoryStore()
	document, err := json.Marshal(rudderroute.Document{Version: 3})
	require.NoError(t, err)
	_, err = store.Put(t.Context(), rudderstore.PutRequest{Key: "routing", Value: document})
	require.NoError(t, err)
	for i := range copyMinEntries { // dead hosts of a large fleet, without a peer address, in another data centre
		value, err := json.Marshal(rudderview.EntryHost{Name: fmt.Sprint("dead", i), DataCentre: "other"})
		require.NoError(t, err)
		_, err = store.Put(t.Context(), rudderstore.PutRequest{Key: rudderview.EntryPrefix + fmt.Sprint("dead", i), Value: value})
		require.NoError(t, err)
	}
	run := func(name string) (*Edge, *atomic.Int32) {
		counted, lists := countLists(store)
		e := edge(name, counted)
		e.Settings.PeerListen = freeAddress(t)
		ctx, stop := context.WithCancel(t.Context())
		e.Prepare()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = e.Run(ctx)
		}()
		t.Cleanup(func() { stop(); <-ended })
		return e, lists
	}
	first, firstLists := run("a")
	require.Eventually(t, func() bool {
		return len(first.view.Snapshot().EntryHosts) == copyMinEntries+1 && isClosed(first.peers.secretKnown)
	}, 5*time.Second, 5*time.Millisecond)
	require.Positive(t, firstLists.Load())
	for _, name := range []string{"b", "c"} {
		other, lists := run(name)
		require.Eventually(t, func() bool { return other.Ready() && len(other.view.Snapshot().EntryHosts) > 0 }, 5*time.Second, 5*time.Millisecond)
		require.Equal(t, int64(3), other.view.Snapshot().Table.Version())
		require.Zero(t, lists.Load(), "entry host %s read all records", name)
		age, _ := other.view.Staleness()
		require.Less(t, age, 2*time.Second)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// A small fleet restarts together. Guards against a first snapshot that waits for a watcher, which may be dead, although
// a list of all records takes hardly any time. In the umuvumu-tap scale-2 run the wait lowered the worth from 0.644 to
// 0.547.
func TestSmallFleetReadsItsFirstSnapshot(t *testing.T) {
	for _, test := range []struct {
		hosts int
		want  bool // whether a watcher is called
	}{{18, false}, {copyMinEntries, true}} {
		entries := map[string][]rudderstore.Entry{rudderview.SecretKey: {{Key: rudderview.SecretKey, Value: []byte("secret"), Revision: 1}}}
		for i := range test.hosts {
			value, err := json.Marshal(rudderview.EntryHost{Name: fmt.Sprint("e", i), Peer: "127.0.0.1:1", DataCentre: "d"})
			require.NoError(t, err)
			entries[rudderview.EntryPrefix] = append(entries[rudderview.EntryPrefix], rudderstore.Entry{Value: value, Revision: 1})
		}
		e := edge("new", &rudderstore.Store{ListStale: func(_ context.Context, prefix string) ([]rudderstore.Entry, int64, error) {
			return entries[prefix], 1, nil
		}})
		e.Prepare()
		begin := time.Now()
		_, err := e.copyRecords(t.Context())
		require.Error(t, err)
		require.Equal(t, test.want, time.Since(begin) >= copyRetryPause, "%d entry hosts", test.hosts)
	}
}

// A watcher that has just become one lacks the changes that a follower needs. Guards against a small fleet whose hosts all read all
// records from the key-value service each time.
func TestSmallFleetCopiesMissedRecords(t *testing.T) {
	store := newMemoryStore()
	document, err := json.Marshal(rudderroute.Document{Version: 3})
	require.NoError(t, err)
	_, err = store.Put(t.Context(), rudderstore.PutRequest{Key: "routing", Value: document})
	require.NoError(t, err)
	hosts, lists, stops := map[string]*Edge{}, map[string]*atomic.Int32{}, map[string]func(){}
	for _, name := range []string{"a", "b"} {
		counted, count := countLists(store)
		e := edge(name, counted)
		e.Settings.PeerListen = freeAddress(t)
		e.Prepare()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = e.Run(ctx)
		}()
		hosts[name], lists[name], stops[name] = e, count, func() { cancel(); <-ended }
		t.Cleanup(stops[name])
	}
	for _, e := range hosts {
		require.Eventually(t, func() bool {
			return e.Ready() && len(e.view.Snapshot().EntryHosts) == len(hosts) && isClosed(e.peers.secretKnown)
		}, 5*time.Second, 5*time.Millisecond)
	}
	follower := "a"
	if watchers(hosts["a"].view.Snapshot().EntryHosts, "d")[0].Name == "a" {
		follower = "b"
	}
	stops[follower]() // so that only this test uses its view
	clear(hosts[follower].unavailable)
	before := lists[follower].Load()
	c, err := hosts[follower].copyRecords(t.Context())
	require.NoError(t, err)
	require.True(t, c.Serving)
	require.Greater(t, len(c.Entries), 1)
	require.Equal(t, before, lists[follower].Load())
}

// The key-value service comes back and lacks the history that a watch needs. Guards against calls to it before the list of all
// records, during which the known configuration becomes too old to serve with.
func TestRecordsAreReadAgainWithoutFurtherCalls(t *testing.T) {
	store := newMemoryStore()
	for key, value := range map[string]string{rudderview.SecretKey: "secret", rudderview.EntryPrefix + "b": `{"Name":"b","Peer":"127.0.0.1:1"}`} {
		_, err := store.Put(t.Context(), rudderstore.PutRequest{Key: key, Value: []byte(value)})
		require.NoError(t, err)
	}
	var calls atomic.Int64
	store.ListStale = func(ctx context.Context, prefix string) ([]rudderstore.Entry, int64, error) {
		calls.Add(1)
		return store.List(ctx, prefix)
	}
	e := edge("a", store)
	e.Prepare()
	go func() { _ = e.view.Run(t.Context()) }()
	<-e.view.Synced()
	require.Positive(t, calls.Swap(0))
	_, err := e.copyRecords(t.Context())
	require.ErrorIs(t, err, errNoCopySource)
	require.Zero(t, calls.Load())
}

// Guards against an entry host that waits for ever at its start because the key-value service accepts calls but does not
// respond.
func TestCopyEndsIfServiceDoesNotRespond(t *testing.T) {
	silent := func(ctx context.Context, _ string) ([]rudderstore.Entry, int64, error) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	e := edge("a", &rudderstore.Store{ListStale: silent, List: silent})
	e.Prepare()
	begin := time.Now()
	_, err := e.copyRecords(t.Context())
	require.Error(t, err)
	require.Less(t, time.Since(begin), 2*storeTimeout)
}

// Guards against records that are lost or altered by compression, and against corrupt input that is not reported.
func TestPackedRecords(t *testing.T) {
	var p packer
	events := []rudderstore.Event{
		{Entry: rudderstore.Entry{Key: "a", Value: []byte{0xff, 0}, Revision: 5}}, {Entry: rudderstore.Entry{Key: "b", Revision: 7}, Deleted: true},
	}
	builds := 0
	build := func() []*rudderpeer.Change { builds++; return changesOf(events) }
	text, err := p.pack(packKey{3, 7}, build)
	require.NoError(t, err)
	got, err := unpack(text, nil)
	require.NoError(t, err)
	require.Equal(t, events, got)
	again, err := p.pack(packKey{3, 7}, build)
	require.NoError(t, err)
	require.Equal(t, text, again)
	require.Equal(t, 1, builds, "one compression serves all followers")
	for i := range 2 * packedLists {
		_, err = p.pack(packKey{allRecords, int64(i)}, build)
		require.NoError(t, err)
	}
	require.Len(t, p.lists, packedLists)
	_, err = unpack([]byte("no records"), nil)
	require.Error(t, err)
	_, err = unpack(text[:len(text)/2], nil)
	require.Error(t, err)
}

// Guards against a short response of another entry host that takes all memory once it is decompressed.
func TestPackedRecordsTakeMemory(t *testing.T) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, err := w.Write(make([]byte, 32<<20))
	require.NoError(t, errors.CombineErrors(err, w.Close()))
	memory := rudderbody.NewBudget(4 << 20)
	_, err = unpack(packed.Bytes(), memory)
	require.ErrorIs(t, err, rudderbody.ErrNoMemory)
	require.Zero(t, memory.Held())
}

// 300 entry hosts have 3,000 targets that form groups: each record changes several times within seconds, and a watcher on
// a link of 20 Mbit/s must send all changes to 48 followers. Guards against followers that all read from the key-value
// service at once because the changes exceed their watcher's limit.
func TestChangesOfALargeFleetFitTheLink(t *testing.T) {
	var events []rudderstore.Event
	for i := range 700 {
		value := fmt.Sprintf(`{"service":"llm","address":"10.%d.%d.%d:8066","zone":"kigali-a","version":1,"slots":13,"state":"ready","coldRemainingMs":0,"sequence":%d,`+
			`"born":17849622%05d,"domain":"kigali-a-d%d","staged":["m%d"],"models":[{"name":"m%d","version":1,"adapters":[]}],`+
			`"group":{"name":"llm-kigali-a-d%d-%d","epoch":%d,"rank":%d,"state":"ready"}}`, i%5, i/250, i%250, i, i*7, i%86, i%2, i%2, i%86, i%9, 1000+i, i%16)
		events = append(events, rudderstore.Event{Entry: rudderstore.Entry{Key: fmt.Sprintf("servers/i-%010x", i*7919), Value: []byte(value), Revision: int64(i + 1)}})
	}
	var p packer
	text, err := p.pack(packKey{0, 700}, func() []*rudderpeer.Change { return changesOf(events) })
	require.NoError(t, err)
	require.Less(t, len(text), relayBytes(20e6))
}

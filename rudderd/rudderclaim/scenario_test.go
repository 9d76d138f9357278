package rudderclaim_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderclaim"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderservice"
)

// payments is a service that counts runs by key. A call with the header Hold blocks until release is closed.
type payments struct {
	mu      sync.Mutex
	runs    map[string]int
	started chan string
	release chan struct{}
	server  *httptest.Server
}

func newPayments(t *testing.T) *payments {
	p := &payments{runs: map[string]int{}, started: make(chan string, 64), release: make(chan struct{})}
	p.server = httptest.NewServer(p)
	t.Cleanup(p.server.Close)
	return p
}

// ServeHTTP counts a run and answers it.
func (p *payments) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(rudderservice.HeaderKey)
	p.mu.Lock()
	p.runs[key]++
	p.mu.Unlock()
	p.started <- key
	if r.Header.Get("Hold") != "" {
		<-p.release
	}
	_, _ = fmt.Fprint(w, "paid ", key)
}

func (p *payments) runsOf(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// entry is one entry host: its claims and its dispatcher.
type entry struct {
	rudderservice.Dispatcher
	claims *rudderclaim.Claims
	peers  *httptest.Server
	stop   context.CancelFunc
}

// startEntryHosts runs entry hosts in front of the payments service. view returns the member list that a host
// sees.
func startEntryHosts(t *testing.T, store rudderclaim.FakeStore, p *payments, count int, view func(self int, all []ruddermember.Member) []ruddermember.Member) []*entry {
	var members []ruddermember.Member
	entries := make([]*entry, count)
	for i := range entries {
		ctx, stop := context.WithCancel(context.Background())
		e := &entry{stop: stop, claims: &rudderclaim.Claims{
			Store: store.Store(), Self: fmt.Sprint("entry", i), HTTPClient: &http.Client{}, Clock: clockwork.NewRealClock(),
			Members: func() []ruddermember.Member { return view(i, members) },
		}}
		e.peers = httptest.NewServer(e.claims.Handler())
		members = append(members, ruddermember.Member{Name: e.claims.Self, PeerAddress: strings.TrimPrefix(e.peers.URL, "http://")})
		e.AcquireTarget = func(context.Context, *rudderservice.Call, []string) (string, func(), error) {
			return strings.TrimPrefix(p.server.URL, "http://"), func() {}, nil
		}
		e.IsIdempotent = func(string, string, string) bool { return false }
		e.Claim, e.Settle, e.Release = e.claims.Claim, e.claims.Settle, e.claims.Release
		e.Clock = clockwork.NewRealClock()
		entries[i] = e
		t.Cleanup(e.peers.Close)
		t.Cleanup(stop)
		go func() { _ = e.claims.Run(ctx) }()
	}
	return entries
}

func allMembers(_ int, members []ruddermember.Member) []ruddermember.Member { return members }

// pay sends a payment through an entry host.
func (e *entry) pay(key, body string, header ...string) rudderservice.Result {
	call := rudderservice.Call{Workspace: "clerks", Service: "ledger", Method: http.MethodPost, Path: "/pay", Body: []byte(body), Header: http.Header{}}
	call.Header.Set(rudderservice.HeaderKey, key)
	for _, h := range header {
		call.Header.Set(h, "1")
	}
	return e.Do(context.Background(), call)
}

// payEverywhere sends one payment through all entry hosts at the same time and counts the outcomes.
func payEverywhere(entries []*entry, key string) map[rudderservice.Outcome]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	outcomes := map[rudderservice.Outcome]int{}
	for _, e := range entries {
		wg.Go(func() {
			r := e.pay(key, "100")
			mu.Lock()
			defer mu.Unlock()
			outcomes[r.Outcome]++
		})
	}
	wg.Wait()
	return outcomes
}

// Guards against a payment that runs twice when it is sent to several entry hosts at once: with one collector
// for each shard, with a collector on every host, and while the store's answers to writes are lost.
func TestOnePaymentAtSeveralEntryHosts(t *testing.T) {
	cases := []struct {
		name string
		view func(int, []ruddermember.Member) []ruddermember.Member
		lose int
	}{
		{name: "one collector", view: allMembers},
		{name: "every host collects", view: func(i int, m []ruddermember.Member) []ruddermember.Member { return m[i : i+1] }},
		{name: "answers of writes are lost", view: allMembers, lose: 1},
		{name: "both", view: func(i int, m []ruddermember.Member) []ruddermember.Member { return m[i : i+1] }, lose: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store, p := rudderclaim.NewFakeStore(), newPayments(t)
			entries := startEntryHosts(t, store, p, 3, c.view)
			for i := range 12 {
				key := fmt.Sprint("payment", i)
				store.LoseResponses(c.lose)
				outcomes := payEverywhere(entries, key)
				require.Equal(t, 1, p.runsOf(key), "%v", outcomes)
				require.Zero(t, outcomes[rudderservice.OutcomeNotRun])
				require.Equal(t, rudderservice.CodeKeyConflict, entries[0].pay(key, "200").Code)
				require.Equal(t, 1, p.runsOf(key))
			}
		})
	}
}

// Guards against a second run after the entry host of a call died during it, and against a stored answer that
// another entry host cannot return.
func TestPaymentAfterItsEntryHostDied(t *testing.T) {
	store, p := rudderclaim.NewFakeStore(), newPayments(t)
	entries := startEntryHosts(t, store, p, 3, allMembers)
	go entries[0].pay("held", "100", "Hold")
	require.Equal(t, "held", <-p.started)
	entries[0].stop()
	entries[0].peers.Close()
	again := entries[1].pay("held", "100")
	require.Equal(t, rudderservice.OutcomeMayHaveRun, again.Outcome)
	close(p.release)
	require.Equal(t, 1, p.runsOf("held"))

	first := entries[1].pay("answered", "100")
	require.Eventually(t, func() bool {
		r := entries[2].pay("answered", "100")
		return r.Replayed && r.Outcome == rudderservice.OutcomeComplete && string(r.Body) == string(first.Body)
	}, 5*time.Second, 20*time.Millisecond)
	require.Equal(t, 1, p.runsOf("answered"))
}

// Guards against a payment that runs while the platform is down, or runs again after the platform was restored.
func TestPaymentsWhilePlatformIsDownOrRestored(t *testing.T) {
	store, p := rudderclaim.NewFakeStore(), newPayments(t)
	entries := startEntryHosts(t, store, p, 2, allMembers)
	require.Equal(t, rudderservice.OutcomeComplete, entries[0].pay("before", "100").Outcome)
	rewind := store.Checkpoint()
	require.Equal(t, rudderservice.OutcomeComplete, entries[0].pay("lost", "100").Outcome)
	rewind()
	require.NotEqual(t, rudderservice.OutcomeNotRun, entries[1].pay("lost", "100").Outcome)
	require.Equal(t, 1, p.runsOf("lost"))

	store.SetDown(true)
	r := entries[1].pay("down", "100")
	require.Equal(t, []any{rudderservice.OutcomeNotRun, rudderservice.CodeClaimUnavailable}, []any{r.Outcome, r.Code})
	require.Zero(t, p.runsOf("down"))
	store.SetDown(false)
	require.Eventually(t, func() bool {
		return entries[0].pay("down", "100").Outcome == rudderservice.OutcomeComplete
	}, 5*time.Second, 20*time.Millisecond, "a refused claim does not use up the key")
	require.Equal(t, 1, p.runsOf("down"))
}

// Guards against a payment that runs again when the platform is restored to a state before its claim and the
// claim's collector has died. The entry host that dispatched the payment still runs and remembers the claim.
func TestRestoredServiceWhoseCollectorIsGone(t *testing.T) {
	store, p := rudderclaim.NewFakeStore(), newPayments(t)
	var gone atomic.Bool
	entries := startEntryHosts(t, store, p, 3, func(_ int, members []ruddermember.Member) []ruddermember.Member {
		if gone.Load() {
			return members[:2]
		}
		return members[2:]
	})
	rewind := store.Checkpoint()
	require.Equal(t, rudderservice.OutcomeComplete, entries[0].pay("lost", "100").Outcome)
	stored := func() bool { return entries[1].pay("lost", "100").Replayed }
	require.Eventually(t, stored, 5*time.Second, 20*time.Millisecond, "the answer is stored")
	entries[2].stop()
	entries[2].peers.Close()
	gone.Store(true)
	rewind()
	entries[1].pay("lost", "100")
	require.Equal(t, 1, p.runsOf("lost"))
}

// Guards against a payment that runs again when one entry host both collected its claim and dispatched it,
// dies, and the platform is restored to a state before the claim, so that only a witness remembers the claim.
func TestRestoredServiceWhoseCollectorDispatchedAndDied(t *testing.T) {
	for dead := range 3 {
		t.Run(fmt.Sprint("entry host ", dead), func(t *testing.T) {
			store, p := rudderclaim.NewFakeStore(), newPayments(t)
			entries := startEntryHosts(t, store, p, 3, allMembers)
			keys := make([]string, 12) // of several shards, so that the host that dies is the collector of some
			rewind := store.Checkpoint()
			for i := range keys {
				keys[i] = fmt.Sprint("lost-", i)
				require.Equal(t, rudderservice.OutcomeComplete, entries[dead].pay(keys[i], "100").Outcome)
			}
			entries[dead].stop()
			entries[dead].peers.Close()
			rewind()
			for _, key := range keys {
				for i, e := range entries {
					if i != dead {
						e.pay(key, "100")
					}
				}
				require.Equal(t, 1, p.runsOf(key), key)
			}
		})
	}
}

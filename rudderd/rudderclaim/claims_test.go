package rudderclaim

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddermember"
)

// startClaims runs the claims of several entry hosts against one store. It returns each host's Claims and peer
// server at the same index.
func startClaims(t testing.TB, store *fakeStore, count int) ([]*Claims, []*httptest.Server) {
	var members []ruddermember.Member
	var hosts []*Claims
	var servers []*httptest.Server
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range count {
		name := string(rune('a' + i))
		c := &Claims{
			Store: store.store(), Self: name, HTTPClient: &http.Client{}, Clock: clockwork.NewRealClock(),
			Members: func() []ruddermember.Member { return members },
		}
		server := httptest.NewServer(c.Handler())
		members = append(members, ruddermember.Member{Name: name, PeerAddress: strings.TrimPrefix(server.URL, "http://")})
		hosts, servers = append(hosts, c), append(servers, server)
	}
	for _, c := range hosts {
		wg.Go(func() { _ = c.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		for _, s := range servers {
			s.Close()
		}
	})
	return hosts, servers
}

// Guards against two grants of one key that is claimed at several entry hosts at the same time, and against
// claims that fail after a collector has died.
func TestOneGrantOverAllEntryHosts(t *testing.T) {
	hosts, servers := startClaims(t, newFakeStore(), 3)
	for round := range 20 {
		if round == 10 {
			servers[1].Close() // its shards move to the next collector in rank
		}
		key := "payment-" + string(rune('a'+round))
		var mu sync.Mutex
		verdicts := map[Verdict]int{}
		var wg sync.WaitGroup
		for _, h := range hosts {
			wg.Go(func() {
				d, err := h.Claim(context.Background(), opaqueRequest(key, "100"))
				require.NoError(t, err)
				mu.Lock()
				defer mu.Unlock()
				verdicts[d.Verdict]++
			})
		}
		wg.Wait()
		require.Equal(t, map[Verdict]int{VerdictGranted: 1, VerdictMayHaveRun: 2}, verdicts, "round %d", round)
	}
}

// Guards against a slow platform that is mistaken for a dead collector, so that a second one writes the shard.
func TestSlowPlatformKeepsOneCollector(t *testing.T) {
	store := newFakeStore()
	store.slow = 600 * time.Millisecond
	hosts, _ := startClaims(t, store, 3)
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			_, err := h.Claim(context.Background(), opaqueRequest("slow", "100"))
			require.NoError(t, err)
		})
	}
	wg.Wait()
	store.mu.Lock()
	defer store.mu.Unlock()
	require.Equal(t, []int{1, 1}, []int{store.reads, store.writes})
}

// Guards against a collector that no longer answers and delays every claim of its shards.
func TestUnresponsiveCollectorIsCalledLast(t *testing.T) {
	hosts, servers := startClaims(t, newFakeStore(), 2)
	stop := make(chan struct{})
	servers[1].Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop })
	defer close(stop)
	began := time.Now()
	for i := range 30 {
		d, err := hosts[0].Claim(context.Background(), opaqueRequest(fmt.Sprint("key", i), "100"))
		require.NoError(t, err)
		require.Equal(t, VerdictGranted, d.Verdict)
	}
	require.Less(t, time.Since(began), 2*time.Second, "one wait of 250 ms, not one for each claim")
}

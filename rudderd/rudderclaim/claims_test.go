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

// entryHosts runs several entry hosts against one store. The index of a host is that in the list.
func entryHosts(t testing.TB, store *fakeStore, count int) ([]*Claims, []*httptest.Server) {
	var members []ruddermember.Member
	var hosts []*Claims
	var servers []*httptest.Server
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range count {
		name := string(rune('a' + i))
		c := &Claims{
			Store: store.port(), Self: name, HTTPClient: &http.Client{}, Clock: clockwork.NewRealClock(),
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

// Guards against two grants for one key that is claimed at several entry hosts at the same moment,
// and against a collector's death that stops claims.
func TestOneGrantOverAllEntryHosts(t *testing.T) {
	hosts, servers := entryHosts(t, newFakeStore(), 3)
	for round := range 20 {
		if round == 10 {
			servers[1].Close() // every shard that it collected moves to the next in rank
		}
		key := "payment-" + string(rune('a'+round))
		var mu sync.Mutex
		verdicts := map[Verdict]int{}
		var wg sync.WaitGroup
		for _, h := range hosts {
			wg.Go(func() {
				d, err := h.Claim(context.Background(), keyed(key, "100"))
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

// Guards against a slow platform that is taken for a dead collector and brings in a second one.
func TestSlowPlatformKeepsOneCollector(t *testing.T) {
	store := newFakeStore()
	store.slow = 600 * time.Millisecond
	hosts, _ := entryHosts(t, store, 3)
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			_, err := h.Claim(context.Background(), keyed("slow", "100"))
			require.NoError(t, err)
		})
	}
	wg.Wait()
	store.mu.Lock()
	defer store.mu.Unlock()
	require.Equal(t, []int{1, 1}, []int{store.reads, store.writes})
}

// Guards against each claim waiting for a collector that does not answer any more.
func TestSilentCollectorIsAskedLast(t *testing.T) {
	hosts, servers := entryHosts(t, newFakeStore(), 2)
	stop := make(chan struct{})
	servers[1].Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop })
	defer close(stop)
	began := time.Now()
	for i := range 30 {
		d, err := hosts[0].Claim(context.Background(), keyed(fmt.Sprint("key", i), "100"))
		require.NoError(t, err)
		require.Equal(t, VerdictGranted, d.Verdict)
	}
	require.Less(t, time.Since(began), 2*time.Second, "one wait of 250 ms, not one for each claim")
}

package rudderentry

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// simulatedCaller keeps a connection and a list of hosts, as callers do.
type simulatedCaller struct {
	connection *connection
	host       int
	known      int // hosts 0 to known-1 are in its list
	listedAt   time.Duration
}

// Hosts stop and return one after the other, and callers keep their connections. Guards against hosts that returned first and keep
// a multiple of their share, against connections that are closed without need, and against closing those of hosts that have lost
// no others.
func TestReturnedHostsGetTheirShare(t *testing.T) {
	const callers, fleet, lifetime = 1200, 12, 2 * time.Second
	for _, test := range []struct {
		name string
		// hosts returns how many hosts take new work at a time.
		hosts  func(now time.Duration) int
		closed int     // connections at most
		most   float64 // of its share that a host gets at most
	}{
		{"all but one are away", func(now time.Duration) int { return min(1+int(now/(900*time.Millisecond)), fleet) }, 5 * callers, maxGrowth},
		{"one returns", func(now time.Duration) int { return min(fleet-1+int(now/(3*time.Second)), fleet) }, 0, 1.5},
		{"none is away", func(time.Duration) int { return fleet }, 0, 1.5},
		{"a short absence", func(now time.Duration) int {
			if now > 4*time.Second && now < 5*time.Second {
				return 1
			}
			return fleet
		}, callers, 4.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a simulation
			balancers := make([]Rebalancer, fleet)
			for i := range balancers {
				balancers[i] = Rebalancer{Lifetime: lifetime, Draw: random.Float64}
			}
			all, closed, load := make([]simulatedCaller, callers), 0, make([]int, fleet)
			for now := time.Duration(0); now < 25*time.Second; now += 100 * time.Millisecond {
				hosts := test.hosts(now)
				for i := range all {
					c := &all[i]
					if c.connection == nil || now-c.listedAt >= lifetime {
						c.known, c.listedAt = hosts, now-time.Duration(random.Int64N(int64(lifetime)))
					}
					if c.connection != nil && c.host < c.known && balancers[c.host].shouldClose(c.connection, now, hosts) {
						c.connection = nil
						closed++
					}
					if c.connection == nil || c.host >= c.known {
						c.host = random.IntN(c.known)
						c.connection = balancers[c.host].open(now, hosts)
					}
				}
			}
			for _, c := range all {
				load[c.host]++
			}
			require.LessOrEqual(t, float64(slices.Max(load)), test.most*callers/fleet, "%v", load)
			require.LessOrEqual(t, closed, test.closed)
		})
	}
}

// Guards against a process that has just started and closes its first connections, because it did not know the fleet yet.
func TestConnectionsBeforeTheFleetIsKnownStay(t *testing.T) {
	b := Rebalancer{Lifetime: time.Second, Draw: func() float64 { return 0.99 }}
	c := b.open(0, 0)
	require.False(t, b.shouldClose(c, time.Millisecond, 0))
	require.False(t, b.shouldClose(c, time.Second, 12))
	require.False(t, b.shouldClose(c, 9*time.Second, 12))
}

// Guards against responses that do not close their connections when hosts have returned, and against those that close them although
// none has.
func TestConnectionsCloseWhenHostsReturn(t *testing.T) {
	var hosts, closed atomic.Int64
	begin := time.Now()
	b := &Rebalancer{
		Hosts: func() int { return int(hosts.Load()) }, Uptime: func() time.Duration { return time.Since(begin) },
		Draw: func() float64 { return 0.5 }, OnClose: func() { closed.Add(1) },
	}
	server := httptest.NewUnstartedServer(b.Wrap(http.NotFoundHandler()))
	server.Config.ConnContext = b.ConnContext
	server.Start()
	defer server.Close()
	for _, test := range []struct {
		hosts  int64
		closes bool
	}{{4, false}, {2, false}, {3, false}, {4, true}, {4, false}, {12, true}} {
		hosts.Store(test.hosts)
		response, err := server.Client().Get(server.URL)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, errors.CombineErrors(err, response.Body.Close()))
		require.Equal(t, test.closes, response.Close, "%d hosts", test.hosts)
	}
	require.Equal(t, int64(2), closed.Load())
}

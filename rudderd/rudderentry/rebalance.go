package rudderentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// A connection is closed when the fleet has grown by a factor of minGrowth to maxGrowth, so that the callers of a host do not all
// move at once. maxGrowth bounds how often a host may get its share of the requests.
const (
	minGrowth = 1.25
	maxGrowth = 2
)

// Rebalancer spreads the connections of callers over a fleet that grows. Callers choose an entry host only when they open a
// connection, so hosts that take new work while most others are away keep their callers after the others have returned. Set the
// exported fields before use.
type Rebalancer struct {
	// Lifetime is how long callers may cache the addresses of entry hosts.
	Lifetime time.Duration
	// Hosts returns the number of entry hosts that take new work, 0 if it is unknown.
	Hosts  func() int
	Uptime func() time.Duration
	// Draw returns a random number, at least 0 and below 1.
	Draw func() float64
	// OnClose is called for each connection that is closed; optional.
	OnClose func()

	mu     sync.Mutex
	counts []hostCount // changes, the first one at least Lifetime ago if there is one
}

// hostCount is the number of entry hosts that take new work, from a time on.
type hostCount struct {
	since time.Duration
	hosts int
}

// connection is the state of a connection of a caller.
type connection struct {
	fewest float64 // lowest number of hosts among which callers chose while it was open; 0 if unknown
	growth float64 // factor by which that number grows until it is closed
}

type connectionKey struct{}

// ConnContext is the function of that name of the HTTP server for callers.
func (b *Rebalancer) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, b.open(b.Uptime(), b.Hosts()))
}

// Wrap returns a handler whose responses close the connections of callers that should choose again.
func (b *Rebalancer) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, known := r.Context().Value(connectionKey{}).(*connection)
		if known && b.shouldClose(c, b.Uptime(), b.Hosts()) {
			w.Header().Set("Connection", "close")
			if b.OnClose != nil {
				b.OnClose()
			}
		}
		next.ServeHTTP(w, r)
	})
}

// open returns the state of a connection that is opened at a time, when a number of entry hosts take new work.
func (b *Rebalancer) open(now time.Duration, hosts int) *connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &connection{fewest: b.known(now, hosts), growth: minGrowth + (maxGrowth-minGrowth)*b.Draw()}
}

// shouldClose reports whether a connection should be closed after the next response.
func (b *Rebalancer) shouldClose(c *connection, now time.Duration, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.known(now, hosts)
	if c.fewest == 0 || known < c.fewest {
		c.fewest = known
	}
	return known > 0 && known >= c.fewest*c.growth
}

// known records the number of hosts and returns its mean over Lifetime: some callers use addresses that are as old.
func (b *Rebalancer) known(now time.Duration, hosts int) float64 {
	if n := len(b.counts); hosts > 0 && (n == 0 || b.counts[n-1].hosts != hosts) {
		b.counts = append(b.counts, hostCount{now, hosts})
	}
	begin := now - b.Lifetime
	for len(b.counts) > 1 && b.counts[1].since <= begin {
		b.counts = b.counts[1:]
	}
	if len(b.counts) == 0 {
		return 0
	}
	begin = max(begin, b.counts[0].since)
	if begin >= now {
		return float64(b.counts[len(b.counts)-1].hosts)
	}
	sum := 0.0
	for i, x := range b.counts {
		end := now
		if i+1 < len(b.counts) {
			end = b.counts[i+1].since
		}
		sum += float64(x.hosts) * (end - max(x.since, begin)).Seconds()
	}
	return sum / (now - begin).Seconds()
}

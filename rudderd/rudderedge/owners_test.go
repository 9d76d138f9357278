package rudderedge

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderforward"
	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/ruddertestnet"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

// door lets the calls of one entry host through to the key-value service until it is shut.
type door struct {
	shut   atomic.Bool
	silent bool
}

func (d *door) call(ctx context.Context) error {
	if !d.shut.Load() {
		return nil
	}
	if d.silent {
		<-ctx.Done()
		return errors.Mark(ctx.Err(), rudderstore.ErrUnavailable)
	}
	return errors.Mark(errors.New(http.StatusText(http.StatusServiceUnavailable)), rudderstore.ErrUnavailable)
}

func (d *door) before(s *rudderstore.Store) *rudderstore.Store {
	return &rudderstore.Store{
		Get: func(ctx context.Context, key string) (rudderstore.Entry, int64, error) {
			if err := d.call(ctx); err != nil {
				return rudderstore.Entry{}, 0, err
			}
			return s.Get(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]rudderstore.Entry, int64, error) {
			if err := d.call(ctx); err != nil {
				return nil, 0, err
			}
			return s.List(ctx, prefix)
		},
		Put: func(ctx context.Context, r rudderstore.PutRequest) (int64, error) {
			if err := d.call(ctx); err != nil {
				return 0, err
			}
			return s.Put(ctx, r)
		},
		GrantLease: func(ctx context.Context, ttl time.Duration) (int64, error) {
			if err := d.call(ctx); err != nil {
				return 0, err
			}
			return s.GrantLease(ctx, ttl)
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			if err := d.call(ctx); err != nil {
				return err
			}
			return s.KeepAlive(ctx, lease)
		},
		RevokeLease: s.RevokeLease,
		Watch: func(ctx context.Context, r rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
			if err := d.call(ctx); err != nil {
				return rudderstore.WatchResult{}, err
			}
			r.Wait = min(r.Wait, 100*time.Millisecond) // a watch that began before the door was shut ends soon
			result, err := s.Watch(ctx, r)
			if refused := d.call(ctx); refused != nil {
				return rudderstore.WatchResult{}, refused
			}
			return result, err
		},
	}
}

// Guards against two entry hosts that each grant all permits of one limit while the key-value service turns the owner away,
// and against permits that nobody grants while it turns all of them away.
func TestPermitsOfOneOwnerWhileRegistrationsLapse(t *testing.T) {
	for _, test := range []struct {
		name   string
		away   []int // which owners are turned away: 0 the first, 1 the one without it, 2 the one without both
		silent bool
		// earlier lists the owners that grant permits whether or not their registration has lapsed, as earlier builds do.
		earlier []int
	}{
		{"nobody", nil, false, nil},
		{"the owner", []int{0}, false, nil},
		{"the owner, silently", []int{0}, true, nil},
		{"another host", []int{1}, false, nil},
		{"two owners", []int{0, 1}, false, nil},
		{"two owners, silently", []int{0, 1}, true, nil},
		{"the owner and the last", []int{0, 2}, false, nil},
		{"all", []int{0, 1, 2}, false, nil},
		{"all, silently", []int{0, 1, 2}, true, nil},
		{"the owner, the next one of an earlier build", []int{0}, false, []int{1}},
		{"all, the owner of an earlier build", []int{0, 1, 2}, false, []int{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { testPermits(t, test.away, test.earlier, test.silent) })
		})
	}
}

func testPermits(t *testing.T, away, earlier []int, silent bool) {
	const (
		rate   = 20.0
		window = 2 * time.Second
	)
	network := &ruddertestnet.Network{}
	store := newMemoryStore()
	put := func(key string, value any) {
		text, err := json.Marshal(value)
		require.NoError(t, err)
		_, err = store.Put(t.Context(), rudderstore.PutRequest{Key: key, Value: text})
		require.NoError(t, err)
	}
	put("routing", rudderroute.Document{Version: 1, Services: []rudderroute.Service{{Name: "plain"}}})
	put("targets/x", rudderview.Target{Host: rudderhost.Host{Name: "x", Address: "127.0.0.1:0", State: rudderhost.StateLive}, Service: "plain", Slots: 1000, Born: 7})
	hosts, doors := map[string]*Edge{}, map[string]*door{}
	clocks := map[string]*atomic.Int64{} // what the clock of a host is ahead
	var entries []rudderview.EntryHost
	for i := range 3 {
		name := fmt.Sprint("e", i)
		d, ahead, began := &door{silent: silent}, &atomic.Int64{}, time.Now()
		e := edge(name, d.before(store))
		listener := network.Listen()
		e.Settings.DataCentre, e.Settings.PeerListen = fmt.Sprint("d", i), listener.Addr().String()
		e.bind = func(address string) (net.Listener, error) {
			if address == e.Settings.PeerListen {
				return listener, nil
			}
			return network.Listen(), nil
		}
		e.Ports.DecodeTarget = func(_ string, value []byte) (x rudderview.Target, err error) { return x, json.Unmarshal(value, &x) }
		e.uptime = func() time.Duration { return time.Second + time.Since(began) + time.Duration(ahead.Load()) }
		hosts[name], doors[name], clocks[name] = e, d, ahead
		ctx, stop := context.WithCancel(t.Context())
		e.Prepare()
		e.path.Dial = network.Dial
		pool := e.peers.client.Transport.(*rudderbody.Transport).Base.(*rudderpeer.Transport).Base.(*rudderpeer.Pool)
		pool.Dial = network.Dial
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = e.Run(ctx)
		}()
		t.Cleanup(func() { stop(); <-ended; pool.CloseIdleConnections() })
	}
	for _, e := range hosts {
		require.Eventually(t, func() bool {
			return len(e.view.Snapshot().EntryHosts) == len(hosts) && isClosed(e.peers.secretKnown) && e.view.Snapshot().Targets["x"] != nil
		}, 10*time.Second, 5*time.Millisecond)
		entries = e.view.Snapshot().EntryHosts
	}
	key := ledgerKey{"plain", "", 0}
	var turnedAway, unaware []string
	for i := range 3 {
		owner := assignOwners(entries, []ledgerKey{key})[key].Name
		entries = slices.DeleteFunc(slices.Clone(entries), func(x rudderview.EntryHost) bool { return x.Name == owner })
		if slices.Contains(away, i) {
			turnedAway = append(turnedAway, owner)
		}
		if slices.Contains(earlier, i) {
			unaware = append(unaware, owner)
		}
	}
	for _, e := range hosts {
		e.limits.Name(rudderlimit.Process{Target: "x", Born: 7}, rate, e.uptime())
	}
	for _, name := range turnedAway {
		doors[name].shut.Store(true)
	}
	time.Sleep(300 * time.Millisecond) // longer than a watch
	for _, name := range turnedAway {
		record, _, err := store.Get(t.Context(), rudderview.EntryPrefix+name)
		require.NoError(t, err)
		require.NoError(t, store.RevokeLease(t.Context(), record.Lease)) // as if it had expired
		clocks[name].Add(int64(sessionTTL))
	}
	for name, e := range hosts {
		if !doors[name].shut.Load() {
			require.Eventually(t, func() bool { return len(e.view.Snapshot().EntryHosts) == len(hosts)-len(turnedAway) }, 5*time.Second, time.Millisecond)
		}
	}
	for _, name := range unaware {
		hosts[name].session.renewedAt.Store(math.MaxInt64)
	}
	var granted atomic.Int64
	begin := time.Now().Add(time.Second) // the permits that were saved up are used by then
	var callers sync.WaitGroup
	for _, e := range hosts {
		callers.Go(func() {
			for time.Since(begin) < window {
				pick := e.balance.pick(t.Context(), rudderforward.PickQuery{Service: "plain", Limit: time.Second})
				if pick.Group != "" && time.Now().After(begin) {
					granted.Add(1)
				}
				if pick.Release != nil {
					pick.Release()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	allowed := rate * window.Seconds()
	t.Logf("granted %d requests, the limit allows %g", granted.Load(), allowed)
	require.LessOrEqual(t, float64(granted.Load()), 1.25*allowed, "granted by all hosts")
	require.GreaterOrEqual(t, float64(granted.Load()), 0.75*allowed, "granted by all hosts")
}

// Guards against entry hosts that turn to different owners once the registration of the first one has lapsed.
func TestChainOfOwners(t *testing.T) {
	s := &rudderview.Snapshot{}
	for i := range 9 {
		s.EntryHosts = append(s.EntryHosts, rudderview.EntryHost{Name: fmt.Sprint("e", i), Peer: fmt.Sprint("e:", i)})
	}
	key := ledgerKey{"plain", "", 0}
	list := (&owners{}).chain(s, key)
	require.Len(t, list, maxOwners)
	without := &rudderview.Snapshot{EntryHosts: slices.DeleteFunc(slices.Clone(s.EntryHosts), func(x rudderview.EntryHost) bool { return x.Name == list[0].Name })}
	require.Equal(t, list[1:], (&owners{}).chain(without, key)[:maxOwners-1])
	require.Empty(t, (&owners{}).chain(&rudderview.Snapshot{}, key))
	single := &rudderview.Snapshot{EntryHosts: s.EntryHosts[:1]}
	require.Equal(t, s.EntryHosts[:1], (&owners{}).chain(single, key))
}

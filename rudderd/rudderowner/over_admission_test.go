package rudderowner

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
)

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// eventually advances the clock by tickInterval until a condition holds.
func eventually(t *testing.T, clock *clockwork.FakeClock, holds func() bool, what string) {
	t.Helper()
	require.Eventually(t, func() bool {
		clock.Advance(tickInterval)
		return holds()
	}, 5*time.Second, time.Millisecond, what)
}

// Guards against a slot that stays used at the owner because its release was lost.
func TestLostReleaseIsRepairedByRenewal(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	f := newFleetAt(t, clock, 3, group("g", 1))
	first, _, other := f.roles()
	lost := atomic.Int32{}
	other.mu.Lock()
	other.HTTPClient = &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		if strings.HasSuffix(r.URL.Path, "/Release") {
			lost.Add(1)
			return nil, errors.New("lost")
		}
		return http.DefaultTransport.RoundTrip(r)
	})}
	other.mu.Unlock()
	slot, err := other.Acquire(context.Background(), work("a"))
	require.NoError(t, err)
	eventually(t, clock, func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		return len(other.renewed) > 0
	}, "the slot is renewed")
	released := clock.Now()
	slot.Release(Outcome{})
	eventually(t, clock, func() bool {
		for _, load := range first.OwnedLoads() {
			return load == 0
		}
		return false
	}, "the slot is free")
	require.EqualValues(t, 1, lost.Load())
	require.Less(t, clock.Since(released), 3*renewInterval)
}

// syncBuffer collects a log for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against two owners of a shard, one of which does not know the other, that over-admit a group or are
// not logged, and against an over-admission that lasts after they agree on the owner again.
func TestTwoOwners(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	g := group("g", 2)
	f := newFleetAt(t, clock, 3, g)
	first, second, other := f.roles()
	log, running, split := &syncBuffer{}, &atomic.Int32{}, &atomic.Bool{}
	split.Store(true)
	for _, o := range f.owners {
		o.mu.Lock()
		o.Groups = func() []rudderrouter.Group {
			reported := g
			reported.Load, reported.LoadAtUnixMS = int(running.Load()), clock.Now().UnixMilli()
			return []rudderrouter.Group{reported}
		}
		o.view = view{}
		o.mu.Unlock()
	}
	second.mu.Lock()
	second.Logger = zerolog.New(log)
	second.Members = func() []ruddermember.Member {
		if split.Load() {
			return []ruddermember.Member{second.Self, other.Self}
		}
		return *f.members.Load()
	}
	second.mu.Unlock()
	var slots []*Slot
	for _, id := range []string{"a", "b"} {
		slot, err := other.Acquire(context.Background(), work(id))
		require.NoError(t, err)
		slots = append(slots, slot)
	}
	running.Store(2)
	ended, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, _ = second.Acquire(ended, work("creates the shard's state"))
	eventually(t, clock, func() bool { return len(second.OverAdmitted()) == 1 }, "the engine's report is seen")
	ended, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := second.Acquire(ended, work("c"))
	require.Error(t, err, "both slots run work of the other owner")
	eventually(t, clock, func() bool { return strings.Contains(log.String(), "second owner") }, "it is logged")
	require.Empty(t, first.OverAdmitted())

	split.Store(false)
	running.Store(0)
	got := make(chan error, 1)
	go func() {
		_, err := second.Acquire(context.Background(), work("d"))
		got <- err
	}()
	slots[0].Release(Outcome{})
	eventually(t, clock, func() bool { return len(got) == 1 }, "the slot is granted by the owner that both agree on")
	require.NoError(t, <-got)
	require.Equal(t, 1, strings.Count(log.String(), "second owner"), "it is logged once")
}

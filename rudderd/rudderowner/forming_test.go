package rudderowner

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderrouter"
)

// formingFleet returns a fleet whose entry hosts know no group until known is set, but have a selector for the
// model m.
func formingFleet(t *testing.T) (f *fleet, known *atomic.Bool) {
	f, known = newFleet(t, 3, group("g", 2)), &atomic.Bool{}
	for _, o := range f.owners {
		groups := o.Groups
		o.mu.Lock()
		o.Groups = func() []rudderrouter.Group {
			if !known.Load() {
				return nil
			}
			return groups()
		}
		o.HasSelector = func(w rudderrouter.Requirements) bool { return w.Model == "m" }
		o.view = view{}
		o.mu.Unlock()
	}
	return f, known
}

// Guards against refusing work whose group becomes known within formingWait, against waiting for work that no
// selector serves or whose groups are all avoided, and against an unbounded wait.
func TestWorkWaitsForItsFirstGroup(t *testing.T) {
	f, known := formingFleet(t)
	ctx, o := context.Background(), f.owners[0]
	begin := time.Now()
	_, err := o.Acquire(ctx, work("never"))
	require.ErrorIs(t, err, ErrNoGroup)
	require.GreaterOrEqual(t, time.Since(begin), formingWait)
	require.Less(t, time.Since(begin), 2*formingWait)

	refusedAtOnce := func(w Work) {
		begin := time.Now()
		_, err := o.Acquire(ctx, w)
		require.ErrorIs(t, err, ErrNoGroup)
		require.Less(t, time.Since(begin), formingWait/2)
	}
	other := work("other model")
	other.Wanted.Model = "other"
	refusedAtOnce(other)
	short := work("short deadline")
	short.Deadline = time.Now().Add(formingWait / 2)
	refusedAtOnce(short)

	got := make(chan error, 1)
	go func() {
		_, err := o.Acquire(ctx, work("waits"))
		got <- err
	}()
	time.Sleep(2 * formingInterval)
	known.Store(true)
	for _, each := range f.owners {
		each.InvalidateView()
	}
	require.NoError(t, <-got)
	avoiding := work("avoids")
	avoiding.Avoid = []string{"g"}
	refusedAtOnce(avoiding)
}

// Guards against refusing work while the members are not known yet, as just after the start, although groups
// serve it.
func TestWorkWaitsForMembers(t *testing.T) {
	f, known := formingFleet(t)
	known.Store(true)
	members := slices.Clone(*f.members.Load())
	empty := members[:0:0]
	f.members.Store(&empty)
	o := f.owners[0]
	time.AfterFunc(4*formingInterval, func() { f.members.Store(&members) })
	_, err := o.Acquire(context.Background(), work("a"))
	require.NoError(t, err)
}

// Guards against refusing work while its shard's owner does not serve the shard yet, as just after the groups have formed.
func TestWorkWaitsForTheOwnerToServe(t *testing.T) {
	f := newFleet(t, 3, group("g", 8))
	first, _, other := f.roles()
	var confirmed atomic.Bool
	first.mu.Lock()
	groups := first.Groups
	first.Groups = func() []rudderrouter.Group {
		g := groups()[0]
		g.Unconfirmed = !confirmed.Load()
		return []rudderrouter.Group{g}
	}
	first.view = view{}
	first.mu.Unlock()
	time.AfterFunc(4*formingInterval, func() { confirmed.Store(true) })
	for _, id := range []string{"a", "b", "c"} {
		_, err := other.Acquire(context.Background(), work(id))
		require.NoError(t, err, id)
	}
}

package rudderowner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
)

// Guards against chats above the limit that a leader names, summed over all entry hosts, with and without the owner of its
// shard, against a limit that is not used up, and against one that keeps chats from a group without a limit.
func TestLimitOfALeaderHoldsForAllEntryHosts(t *testing.T) {
	const rate, length = 5, 4 * time.Second
	for _, test := range []struct {
		name        string
		groups      []rudderrouter.Group
		ownerDies   bool
		least, most int32 // slots of the group with the limit in length
	}{
		{"one group", []rudderrouter.Group{group("g", 50)}, false, 0.8 * rate * 4, 1.5*rate*4 + 5},
		{"and one without a limit", []rudderrouter.Group{group("g", 50), group("h", 50)}, false, 0.6 * rate * 4, 1.5*rate*4 + 5},
		{"owner dies", []rudderrouter.Group{group("g", 50)}, true, 0.3 * rate * 4, 1.5*rate*4 + 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, test.groups...)
			first, _, other := f.roles()
			slot, err := other.Acquire(t.Context(), work("first"))
			require.NoError(t, err)
			slot.Release(Outcome{Tokens: 20})
			other.ObserveLimit("g:1", []string{fmt.Sprint(rate)}, time.Now().Add(-time.Second))
			time.Sleep(100 * time.Millisecond) // until the owner has the report
			var granted, elsewhere atomic.Int32
			ctx, end := context.WithTimeout(t.Context(), length)
			defer end()
			var running sync.WaitGroup
			for i, o := range f.owners {
				if test.ownerDies && o == first {
					continue
				}
				for n := 0; n < 6; n++ {
					running.Go(func() {
						for k := 0; ctx.Err() == nil; k++ {
							w := work(fmt.Sprintf("%d-%d-%d", i, n, k))
							w.Deadline = time.Now().Add(300 * time.Millisecond)
							slot, err := o.Acquire(ctx, w)
							if err != nil {
								time.Sleep(20 * time.Millisecond)
								continue
							}
							if slot.Group() == "g" {
								granted.Add(1)
							} else {
								elsewhere.Add(1)
							}
							time.Sleep(20 * time.Millisecond)
							slot.Release(Outcome{Tokens: 20})
						}
					})
				}
			}
			if test.ownerDies {
				time.Sleep(length / 4)
				for i, o := range f.owners {
					if o == first {
						_ = f.servers[i].Listener.Close()
						f.servers[i].CloseClientConnections()
					}
				}
				time.Sleep(length / 4)
				var left []ruddermember.Member
				for _, m := range *f.members.Load() {
					if m.Name != first.Self.Name {
						left = append(left, m)
					}
				}
				f.members.Store(&left)
			}
			running.Wait()
			t.Logf("%d slots of the group with the limit, %d elsewhere", granted.Load(), elsewhere.Load())
			require.LessOrEqual(t, granted.Load(), test.most)
			require.GreaterOrEqual(t, granted.Load(), test.least)
			if len(test.groups) > 1 {
				require.Greater(t, elsewhere.Load(), int32(100))
			}
		})
	}
}

// Guards against chats that wait until their deadline although it is known that the limits of all leaders leave them no
// place, and against a malformed limit.
func TestLimitedChatsAreRefusedAtOnce(t *testing.T) {
	f := newFleet(t, 2, group("g", 50))
	first, second, _ := f.roles()
	second.ObserveLimit("g:1", []string{"few"}, time.Now())
	_, err := second.Acquire(t.Context(), work("a"))
	require.NoError(t, err)
	first.ObserveLimit("g:1", []string{"0.5"}, time.Now().Add(-time.Second))
	begin := time.Now()
	w := work("b")
	w.Deadline = begin.Add(time.Second)
	_, err = second.Acquire(t.Context(), w)
	require.Error(t, err)
	require.Positive(t, RetryAfter(err))
	require.Less(t, time.Since(begin), 300*time.Millisecond)
	first.ObserveLimit("g:1", nil, time.Now())
	_, err = second.Acquire(t.Context(), work("c"))
	require.NoError(t, err)
}

package rudderchange

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpermit"
)

// Guards against a host that serves an old version or stops serving in an event of the design's table
// "Configuration in force". The oracle runs all the time.
func TestEventTable(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, w *world)
	}{
		{"platform down for all", func(t *testing.T, w *world) {
			w.set(func() { w.platform.down = true })
			time.Sleep(time.Minute)
			w.requireServing(1)
			require.Equal(t, rudderpermit.RuleMajority, w.hosts[3].keeper.Rule())
			_, err := w.change(0, 1, "kigali", 20*time.Second)
			require.ErrorIs(t, err, ErrPlatform)
			w.requireServing(1)
		}},
		{"cut off from the platform only", func(t *testing.T, w *world) {
			w.set(func() { w.platformCut[4] = true })
			time.Sleep(time.Minute)
			w.requireServing(1)
			require.Equal(t, rudderpermit.RuleMajority, w.hosts[4].keeper.Rule())
			result, err := w.change(0, 1, "kigali", 30*time.Second)
			require.NoError(t, err)
			require.Equal(t, StateAccepted, result.State)
			time.Sleep(3 * time.Second)
			w.requireServing(2)
		}},
		{"cut off from the peers only", func(t *testing.T, w *world) {
			w.set(func() { w.peersCut[4] = true })
			time.Sleep(time.Minute)
			w.requireServing(1)
			require.Equal(t, rudderpermit.RulePlatform, w.hosts[4].keeper.Rule())
			result, err := w.change(0, 1, "kigali", 30*time.Second)
			require.NoError(t, err)
			require.Equal(t, StateAccepted, result.State)
			require.Equal(t, []string{"entry-04"}, result.Missing)
			require.Equal(t, "entry-04", result.Slowest)
			w.requireServing(2)
			_, err = w.change(4, 2, "cut off", 10*time.Second)
			require.ErrorIs(t, err, ErrNoMajority, "a change needs a majority before it is written")
		}},
		{"cut off from both", func(t *testing.T, w *world) {
			w.set(func() { w.platformCut[4], w.peersCut[4] = true, true })
			time.Sleep(testTTL + time.Millisecond)
			w.requireServing(0, 4)
			w.requireServing(1, 0, 1, 2, 3)
			_, err := w.change(0, 1, "kigali", 30*time.Second)
			require.NoError(t, err)
			w.set(func() { w.platformCut[4], w.peersCut[4] = false, false })
			time.Sleep(10 * time.Second)
			w.requireServing(2)
		}},
		{"data centre cut off", func(t *testing.T, w *world) {
			for _, i := range []int{3, 4} {
				w.set(func() { w.zone[i], w.platformCut[i] = 1, true })
			}
			time.Sleep(testTTL + time.Millisecond)
			w.requireServing(0, 3, 4)
			result, err := w.change(1, 1, "kigali", 30*time.Second)
			require.NoError(t, err)
			require.Equal(t, StateAccepted, result.State)
			w.requireServing(2, 0, 1, 2)
			w.requireServing(0, 3, 4)
		}},
		{"without a majority a written change is pending", func(t *testing.T, w *world) {
			started := make(chan Result)
			go func() {
				result, _ := w.change(0, 1, "kigali", 20*time.Second)
				started <- result
			}()
			time.Sleep(3 * testLatency) // the round is done, the write is on its way
			for i := 1; i < 5; i++ {
				w.set(func() { w.platformCut[i], w.zone[i] = true, 1 })
			}
			result := <-started
			require.Equal(t, StatePending, result.State)
			require.Equal(t, []string{"entry-01", "entry-02", "entry-03", "entry-04"}, result.Missing)
		}},
		{"process paused for a minute", func(t *testing.T, w *world) {
			w.pause(4, true)
			_, err := w.change(0, 1, "kigali", 30*time.Second)
			require.NoError(t, err)
			time.Sleep(time.Minute)
			w.pause(4, false)
			w.requireServing(0, 4)
			time.Sleep(5 * time.Second)
			w.requireServing(2)
		}},
		{"restart while the platform is down", func(_ *testing.T, w *world) {
			w.set(func() { w.platform.down = true })
			w.kill(4)
			w.start(4)
			time.Sleep(10 * time.Second)
			w.requireServing(1)
		}},
		{"platform older than before", func(t *testing.T, w *world) {
			older := w.platform.snapshot()
			_, err := w.change(0, 1, "kigali", 30*time.Second)
			require.NoError(t, err)
			older()
			w.kill(4)
			w.start(4)
			time.Sleep(20 * time.Second)
			w.requireServing(2)
			entry, _, err := w.platform.get("control/config")
			require.NoError(t, err)
			_, v, err := parse(entry.Value)
			require.NoError(t, err)
			require.Equal(t, w.accepted, v, "the known version is written back")
			recorded, _, err := w.platform.get(HistoryKey(2))
			require.NoError(t, err, "the history has it again")
			require.Equal(t, entry.Value, recorded.Value)
		}},
		{"platform older than before, seen first by a change", func(t *testing.T, w *world) {
			older := w.platform.snapshot()
			_, err := w.change(0, 1, "kigali", 30*time.Second)
			require.NoError(t, err)
			older()
			result, err := w.change(1, 1, "montréal", 30*time.Second)
			require.ErrorIs(t, err, ErrConflict)
			require.Equal(t, "kigali", result.ChangedBy)
		}},
		{"start on an older platform without peers", func(t *testing.T, w *world) {
			older := w.platform.snapshot()
			_, err := w.change(0, 1, "kigali", 30*time.Second)
			require.NoError(t, err)
			w.kill(4)
			w.set(func() { w.platformCut, w.peersCut[4] = []bool{true, true, true, true, false}, true })
			older()
			w.start(4)
			time.Sleep(2*testTTL - time.Second)
			w.requireServing(0, 4)
			w.set(func() { clear(w.platformCut) })
			time.Sleep(2 * testTTL)
			w.requireServing(2)
		}},
		{"host that no majority knows", func(t *testing.T, w *world) {
			k := w.hosts[4].keeper
			without, _ := k.Node.Registry().Without("entry-04")
			k.Node.AdoptRegistry(without.Committed().Encode())
			require.ErrorIs(t, k.Permit(time.Now()), rudderpermit.ErrNotAdmitted)
			time.Sleep(10 * time.Second)
			w.requireServing(1)
		}},
		{"silent and leaving hosts are taken off the registry", func(t *testing.T, w *world) {
			w.kill(4)
			time.Sleep(testRemoveAfter / 2)
			require.Len(t, w.hosts[0].keeper.Node.Members(), 5)
			time.Sleep(testRemoveAfter)
			require.NoError(t, w.hosts[3].keeper.Registrar.Leave(context.Background()))
			w.kill(3)
			time.Sleep(20 * time.Second)
			r := w.hosts[0].keeper.Node.Registry()
			require.Equal(t, []string{"entry-00", "entry-01", "entry-02"}, r.Names())
			require.False(t, r.Uncommitted)
			w.requireServing(1, 0, 1, 2)
		}},
		{"two operators race", func(t *testing.T, w *world) {
			var both sync.WaitGroup
			results, errs := make([]Result, 2), make([]error, 2)
			for i, author := range []string{"kigali", "montréal"} {
				both.Go(func() { results[i], errs[i] = w.change(i, 1, author, 30*time.Second) })
			}
			both.Wait()
			winner := 0
			if errs[0] != nil {
				winner = 1
			}
			require.NoError(t, errs[winner])
			require.Equal(t, StateAccepted, results[winner].State)
			require.ErrorIs(t, errs[1-winner], ErrConflict)
			lost := results[1-winner]
			require.EqualValues(t, 2, lost.Version)
			require.Equal(t, results[winner].ChangedBy, lost.ChangedBy)
			require.Equal(t, results[winner].Summary, lost.Summary)
		}},
		{"answer lost after the write", func(t *testing.T, w *world) {
			w.set(func() { w.platform.lose = 1 })
			result, err := w.change(0, 1, "kigali", 30*time.Second)
			require.NoError(t, err)
			require.Equal(t, StateAccepted, result.State)
			w.requireServing(2)
			_, _, err = w.platform.get(HistoryKey(2))
			require.NoError(t, err)
		}},
		{"registry older than before", func(t *testing.T, w *world) {
			entry, _, err := w.platform.get("control/members")
			require.NoError(t, err)
			empty, err := w.platform.put(putMembers("{}", entry.Revision))
			require.NoError(t, err)
			time.Sleep(10 * time.Second)
			repaired, _, err := w.platform.get("control/members")
			require.NoError(t, err)
			require.Greater(t, repaired.Revision, empty)
			require.JSONEq(t, string(entry.Value), string(repaired.Value))
			w.requireServing(1)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 5)
				defer w.close()
				w.settle()
				c.run(t, w)
				w.set(func() { require.Empty(t, w.faults) })
			})
		})
	}
}

// Guards against a host that never learns what the other watched prefixes held before its first watch,
// or what changed while its watch was broken. A watch that goes on must not ask for a list.
func TestRelistAfterEachGapOfTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		defer w.close()
		w.settle()
		var relists atomic.Int64
		w.kill(2)
		w.start(2, func(k *Keeper) { k.OnRelist = func() { relists.Add(1) } })
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 1, relists.Load(), "before the first watch")
		_, err := w.change(0, 1, "kigali", 30*time.Second)
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 1, relists.Load())
		w.set(func() { w.platformCut[2] = true })
		_, err = w.change(0, 2, "montréal", 30*time.Second)
		require.NoError(t, err)
		w.set(func() { w.platformCut[2] = false })
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 2, relists.Load(), "changes were missed")
	})
}

// Guards against a permit that expires while a watch waits on a connection that went silent: the host
// then refused to resume the streams in flight.
func TestSilentWatchEndsBeforeThePermit(t *testing.T) {
	for _, ttl := range []time.Duration{500 * time.Millisecond, time.Second, 5 * time.Second, 12 * time.Second} {
		k := &Keeper{PermitTTL: ttl}
		require.Less(t, ttl/4+k.storeTimeout(), ttl*2/3, ttl)
	}
	require.Equal(t, maxStoreTimeout, (&Keeper{PermitTTL: 5 * time.Second}).storeTimeout(), "the default stays")
}

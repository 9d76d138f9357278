package rudderengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderweights"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against a crash marker that does not crash the engine, and against a crash after which the host
// keeps its old role, weights or incarnation.
func TestCrashMarker(t *testing.T) {
	r := newRig(t, 1, func(e *Engine) { e.RestartAfter = 20 * time.Millisecond })
	r.form("g1", 1)
	before := r.engines[0].Status()
	r.engines[0].SetCrashMarker("poison")
	_, whole := r.ask(ruddertarget.WorkExtension{RequestID: "p"}, "some poison here", nil)
	require.False(t, whole)
	require.EqualValues(t, 1, r.fabric.Ledger.CountOf("p"))
	require.Eventually(t, r.engines[0].Alive, 5*time.Second, time.Millisecond)
	after := r.engines[0].Status()
	require.NotEqual(t, before.Incarnation, after.Incarnation)
	require.Empty(t, after.Role.Group)
	require.Empty(t, after.Weights)
}

// Guards against injected stream faults that are not sent, and against a stream that is not complete once they
// are filtered out.
func TestDisturbedStream(t *testing.T) {
	r := newRig(t, 1, nil)
	r.form("g1", 1)
	r.engines[0].SetStaleChunks(true)
	r.engines[0].MalformNext(1)
	prompt := LengthMark(20)
	var texts []string
	old, repeated := 0, 0
	_, whole := r.ask(ruddertarget.WorkExtension{RequestID: "a", Attempt: 2}, prompt, func(c chunkLine) {
		switch {
		case c.Attempt != 2:
			old++
		case c.Seq <= len(texts):
			repeated++
		default:
			texts = append(texts, c.Choices[0].Delta.Content)
		}
	})
	require.True(t, whole)
	require.Equal(t, ExpectedTokens(promptOf(prompt), 0), texts)
	require.Equal(t, 5, old)
	require.Equal(t, 5, repeated)
	require.Zero(t, r.engines[0].faults.malformedNext)
}

// Guards against a queue that ignores priorities, and against a cancelled request that continues to run.
func TestPriorityAndCancel(t *testing.T) {
	r := newRig(t, 1, func(e *Engine) { e.Slots = 1 })
	r.form("g1", 1)
	var asked sync.WaitGroup
	ask := func(id, prompt string, priority int) {
		asked.Go(func() { r.ask(ruddertarget.WorkExtension{RequestID: id, Priority: priority}, prompt, nil) })
		require.Eventually(t, func() bool { return r.engines[0].newest(id) != nil }, 5*time.Second, time.Millisecond)
	}
	ask("long", LengthMark(100000), 0)
	ask("low", "x", 5)
	ask("high", "x", 1)
	ctx := context.Background()
	address := r.engines[0].Address()
	status, err := r.control.RequestStatus(ctx, address, "low")
	require.NoError(t, err)
	require.True(t, status.Queued)
	require.ErrorIs(t, r.control.Cancel(ctx, address, "long", 7), ruddertarget.ErrNotFound)
	require.NoError(t, r.control.Cancel(ctx, address, "long", 0))
	asked.Wait()
	var order []string
	for _, run := range r.fabric.Ledger.Runs() {
		order = append(order, run.RequestID+" "+run.Outcome)
	}
	require.Equal(t, []string{"long cancelled", "high complete", "low complete"}, order)
}

// Guards against a prefix cache that does not shorten the prefill, and against an exported KV cache that the
// importing engine cannot use.
func TestPrefixCacheAndTransfer(t *testing.T) {
	const prefill = 300 * time.Millisecond
	timing := func(e *Engine) { e.Timing.PrefillPerKB = prefill }
	r, other := newRig(t, 1, timing), newRig(t, 1, timing)
	r.form("g1", 1)
	other.form("g2", 1)
	prompt := strings.Repeat("0123456789abcdef", 64) + LengthMark(3)
	took := func(r *rig, id string) time.Duration {
		start := time.Now()
		var first time.Duration
		_, whole := r.ask(ruddertarget.WorkExtension{RequestID: id}, prompt, func(c chunkLine) {
			if c.Seq == 1 {
				first = time.Since(start)
			}
		})
		require.True(t, whole)
		return first
	}
	require.GreaterOrEqual(t, took(r, "cold"), prefill)
	require.Less(t, took(r, "warm"), prefill)

	exported, err := http.Get("http://" + r.engines[0].Address() + "/control/kv/cold")
	require.NoError(t, err)
	state, err := io.ReadAll(exported.Body)
	require.NoError(t, err)
	var kv KVState
	require.NoError(t, json.Unmarshal(state, &kv))
	require.Equal(t, 3, kv.Generated)
	_, err = http.Post("http://"+other.engines[0].Address()+"/control/kv", "application/json", strings.NewReader(string(state)))
	require.NoError(t, err)
	require.Less(t, took(other, "moved"), prefill)

	events, err := r.control.CacheEvents(context.Background(), r.engines[0].Address(), 0)
	require.NoError(t, err)
	require.Equal(t, ruddertarget.PrefixBlocks(promptOf(prompt))[0], events[0].Block)
}

// Guards against cache events without the lag, the gaps and the evictions that the router must handle.
func TestCacheEvents(t *testing.T) {
	start := time.Unix(0, 0)
	cache := newPrefixCache(2, time.Second, 3)
	require.Equal(t, 0, cache.use([]uint64{1, 2}, start))
	require.Equal(t, 2, cache.use([]uint64{1, 2, 3}, start))
	require.Empty(t, cache.eventsAfter(0, start))
	require.Equal(t, []ruddertarget.CacheEvent{
		{Seq: 1, Block: 1, Stored: true}, {Seq: 2, Block: 2, Stored: true}, {Seq: 4, Block: 1},
	}, cache.eventsAfter(0, start.Add(time.Second)))
	require.Equal(t, 0, cache.use([]uint64{1}, start), "the evicted block is gone")
}

// Guards against loading that ignores the weight store's rate, and against weights that are fetched twice
// because a preload and an assignment overlap.
func TestLoadThroughWeightStore(t *testing.T) {
	store := &rudderweights.Store{BytesPerSecond: 10000, DefaultBytes: 1000}
	r := newRig(t, 1, func(e *Engine) { e.Weights = store })
	start := time.Now()
	role := ruddertarget.Role{Model: "m", ModelVersion: "1"}
	order := ruddertarget.Order{Kind: ruddertarget.OrderPreload, Fencing: 1, Role: role}
	status, err := r.control.Send(context.Background(), r.engines[0].Address(), order)
	require.NoError(t, err)
	require.Empty(t, status.Role.Group)
	r.form("g1", 1)
	require.GreaterOrEqual(t, time.Since(start), 100*time.Millisecond)
	require.EqualValues(t, 1000, store.FetchedBytes())
}

// Guards against a token gap that does not grow with the batch size or with the slowdown of a member.
func TestGapGrows(t *testing.T) {
	e := &Engine{Timing: Timing{TokenGap: 10, TokenGapPerRequest: 2}}
	require.EqualValues(t, 10, e.gap(1))
	e.running = make([]*run, 3)
	require.EqualValues(t, 14, e.gap(1))
	require.EqualValues(t, 42, e.gap(3))
}

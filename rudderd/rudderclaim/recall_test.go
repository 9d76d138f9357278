package rudderclaim

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"comfreyrudder.example/shared/rudderpeer"
)

// Guards against a key that runs twice when the store is restored to an older state and the collector restarts,
// in any order with other faults, while the entry hosts still remember their granted claims.
func TestRandomHistoriesWithRestoresAndRecalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt, 1)
		h.grants = &grantLog{}
		h.limits.RecallAfter, h.limits.RecallRetry = recallAfter, recallRetry
		h.collectors[0] = NewShard(0, h.limits, newToken)
		acts := h.actions()
		acts["snapshot"] = func(*rapid.T) {
			if h.snapshot == nil {
				s := h.store.snapshot()
				h.snapshot = &s
			}
		}
		acts["restore"] = func(t *rapid.T) {
			if h.snapshot != nil {
				h.store.restore(*h.snapshot)
				h.store.delayed, h.snapshot = nil, nil
				if rapid.Bool().Draw(t, "collector dies") {
					h.collectors[0] = NewShard(0, h.limits, newToken)
				}
			}
		}
		acts["steps"] = func(*rapid.T) {
			for range 6 {
				h.step()
			}
		}
		rt.Repeat(acts)
	})
}

// Guards against a grant log that grows without bound, or drops its newest claims first.
func TestMemoryIsBounded(t *testing.T) {
	var m grantLog
	for i := range maxGrantsPerShard + 10 {
		m.add(shardZero(opaqueRequest(fmt.Sprint(i), "1")), DefaultLimits(), int64(i), testStart)
	}
	require.Len(t, m.shards[0].claims, maxGrantsPerShard)
	require.Len(t, m.recall(0, maxGrantsPerShard, testStart).Records, 9)
	require.Empty(t, m.recall(0, 0, testStart.Add(25*time.Hour)).Records)
}

// Guards against a recall that does not wait for a slow entry host, and against one that waits for an
// unresponsive one until claims time out.
func TestRecallWaitsForASlowEntryHost(t *testing.T) {
	cases := []struct {
		name   string
		silent time.Duration
		want   bool
	}{
		{name: "slow", silent: 400 * time.Millisecond, want: true},
		{name: "silent", silent: 5 * time.Second, want: false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			hosts, servers := startClaims(t, newFakeStore(), 2)
			paid := opaqueRequest("paid", "1")
			hosts[1].grants.add(paid, hosts[0].Limits, 7, time.Now())
			handler, began := servers[1].Config.Handler, time.Now()
			servers[1].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(time.Until(began.Add(c.silent)))
				handler.ServeHTTP(w, r)
			})
			found := hosts[0].recall(context.Background(), paid.Shard(), 6)
			require.Equal(t, c.want, found.Complete)
			require.Equal(t, c.want, len(found.Records) == 1)
			require.Less(t, time.Since(began), claimTimeout)
		})
	}
}

func shardZero(r Request) Request {
	r.key = "00" + r.key[2:]
	return r
}

// BenchmarkMemory reports the heap of a full grant log, and the payload of a recall without HTTP and the
// signature.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		c := &Claims{}
		c.init()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range maxGrantsPerShard {
			c.grants.add(shardZero(opaqueRequest(fmt.Sprint(i), "1")), DefaultLimits(), int64(i), time.Now())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxGrantsPerShard, "heap_B/claim")
		c.grants.observeSeq(0, 1_000_000)
		for _, seq := range []int64{maxGrantsPerShard, maxGrantsPerShard - 101} {
			known := c.grants.recall(0, seq, time.Now())
			reply := (&rudderpeer.ClaimRecallReply{HighestSeq: known.HighestSeq, Claims: wireClaims(known.Records)})
			b.ReportMetric(float64(proto.Size(reply)), fmt.Sprint("reply_B/", len(known.Records)))
		}
	}
}

// BenchmarkTakeover reports how long a recall takes when all entry hosts answer.
func BenchmarkTakeover(b *testing.B) {
	for _, count := range []int{18, 72} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			hosts, _ := startClaims(b, newFakeStore(), count)
			for b.Loop() {
				require.True(b, hosts[0].recall(context.Background(), 0, 0).Complete)
			}
		})
	}
}

// Guards against a claim that only its collector remembers, against a witness that keeps a released claim,
// which would answer may_have_run after a restore, and against claims that wait too long for unresponsive
// witnesses.
func TestAnotherEntryHostRemembersOwnClaims(t *testing.T) {
	hosts, servers := startClaims(t, newFakeStore(), 3)
	remembered := func(h *Claims, r Request) bool { return len(h.grants.recall(r.Shard(), -1, time.Now()).Records) > 0 }
	own := func(from int) Request {
		for i := from; ; i++ {
			if r := opaqueRequest(fmt.Sprint("own-", i), "1"); hosts[0].candidates(r)[0].Name == hosts[0].Self {
				return r
			}
		}
	}
	r := own(0)
	d, err := hosts[0].Claim(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, VerdictGranted, d.Verdict)
	require.True(t, remembered(hosts[1], r) || remembered(hosts[2], r))
	hosts[0].Release(r)
	require.Eventually(t, func() bool { return !remembered(hosts[1], r) && !remembered(hosts[2], r) }, 5*time.Second, 10*time.Millisecond)

	silent := make(chan struct{})
	defer close(silent)
	for _, s := range servers[1:] {
		s.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-silent })
	}
	begin := time.Now()
	d, err = hosts[0].Claim(t.Context(), own(100))
	require.NoError(t, err)
	require.Equal(t, VerdictGranted, d.Verdict)
	require.Less(t, time.Since(begin), claimTimeout)
}

// Guards against a Remember call that adds an invalid claim to the grant log.
func TestRememberRejectsInvalidClaims(t *testing.T) {
	hosts, _ := startClaims(t, newFakeStore(), 1)
	s := &server{claims: hosts[0]}
	good := toWireKey(opaqueRequest("k", "1"))
	for _, in := range []*rudderpeer.ClaimRememberRequest{
		{}, {Key: &rudderpeer.ClaimKey{KeyDigest: "zz"}}, {Key: good, HeadSeq: -1},
	} {
		_, err := s.Remember(t.Context(), in)
		require.Error(t, err)
	}
	_, err := s.Remember(t.Context(), &rudderpeer.ClaimRememberRequest{Key: good, HeadSeq: 3})
	require.NoError(t, err)
	require.Equal(t, int64(3), hosts[0].grants.highestSeq(opaqueRequest("k", "1").Shard()))
}

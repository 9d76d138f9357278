package rudderclaim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a second use of a key that is granted, or refused with the wrong verdict.
func TestVerdictsOfASecondClaim(t *testing.T) {
	d := newDriver(newFakeStore(), DefaultLimits())
	first := opaqueRequest("k", "100")
	require.Equal(t, VerdictGranted, d.claim(first))
	require.Equal(t, VerdictGranted, d.claim(first), "the same token gets the same result")
	require.Equal(t, VerdictMayHaveRun, d.claim(opaqueRequest("k", "100")))
	require.Equal(t, VerdictConflict, d.claim(opaqueRequest("k", "200")))
	require.Equal(t, VerdictApplied, d.settle(first, &Answer{Status: 201, Body: []byte("paid")}))
	id := d.core.Claim(opaqueRequest("k", "100"), d.now, d.now.Add(time.Second))
	d.runUntilIdle(time.Second)
	require.Equal(t, Decision{Verdict: VerdictStored, Answer: &Answer{Status: 201, Body: []byte("paid")}}, d.replies[id])
	d.now = d.now.Add(25 * time.Hour)
	require.Equal(t, VerdictExpired, d.claim(opaqueRequest("k", "100")), "an opaque key is never forgotten")
}

// Guards against a released claim that leaves its key used, and a delayed claim that is granted after its
// release.
func TestReleaseFreesTheKeyButNotTheToken(t *testing.T) {
	d := newDriver(newFakeStore(), DefaultLimits())
	first := opaqueRequest("k", "100")
	require.Equal(t, VerdictGranted, d.claim(first))
	require.Equal(t, VerdictApplied, d.release(first))
	require.Equal(t, VerdictReleased, d.claim(first))
	require.Equal(t, VerdictGranted, d.claim(opaqueRequest("k", "200")))

	second := opaqueRequest("k", "300")
	require.Equal(t, VerdictApplied, d.release(second), "a release of a claim that never arrived")
	require.Equal(t, VerdictReleased, d.claim(second), "the key is in use by another token")
	require.Equal(t, VerdictReleased, d.claim(first), "a later claim of the key does not hide the release")

	early := opaqueRequest("other", "100")
	require.Equal(t, VerdictApplied, d.release(early))
	require.Equal(t, VerdictReleased, d.claim(early), "the release overtook the claim")
}

// Guards against keys that are granted again after their records were deleted: a key whose time is outside the
// retention must be refused.
func TestKeysWithATimeAreRefusedOutsideTheirWindow(t *testing.T) {
	d := newDriver(newFakeStore(), DefaultLimits())
	timed := func(age time.Duration) Request {
		r := opaqueRequest("k"+age.String(), "100")
		r.keyTimeMS = d.now.Add(-age).UnixMilli()
		return r
	}
	require.Equal(t, VerdictGranted, d.claim(timed(23*time.Hour)))
	require.Equal(t, VerdictExpired, d.claim(timed(24*time.Hour)))
	require.Equal(t, VerdictFuture, d.claim(timed(-6*time.Minute)))
	require.Equal(t, int64(1772438216827), uuidTime("019cad8c-e07b-7cc3-98c4-dc0c0c07398f"))
	require.Zero(t, uuidTime("019cad8c-e07b-4cc3-98c4-dc0c0c07398f"), "version 4 has no time")
}

// Guards against deleting old opaque keys to make space for new ones.
func TestFullShardRefusesOpaqueKeys(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxOpaqueKeys = 2
	d := newDriver(newFakeStore(), limits)
	require.Equal(t, VerdictGranted, d.claim(opaqueRequest("a", "1")))
	require.Equal(t, VerdictGranted, d.claim(opaqueRequest("b", "1")))
	require.Equal(t, VerdictFull, d.claim(opaqueRequest("c", "1")))
	d.now = d.now.Add(48 * time.Hour)
	require.Equal(t, VerdictFull, d.claim(opaqueRequest("c", "1")))
	require.Equal(t, VerdictExpired, d.claim(opaqueRequest("a", "1")))
}

// Guards against a write with a lost answer that is treated as failed, or repeated.
func TestLostAnswerOfTheHeadsWrite(t *testing.T) {
	store := newFakeStore()
	store.loseResponses = 1
	d := newDriver(store, DefaultLimits())
	require.Equal(t, VerdictGranted, d.claim(opaqueRequest("k", "1")))
	require.Equal(t, 1, store.writes, "the claim was read back, not written again")

	store.delayWrites = 1
	late := opaqueRequest("late", "1")
	require.Equal(t, VerdictGranted, d.claim(late))
	store.deliver()
	require.Equal(t, VerdictMayHaveRun, d.claim(opaqueRequest("late", "1")), "the delayed write lost against the second one")
}

// Guards against claims that are granted, or wait, while the platform refuses writes.
func TestUnavailableAndLimitedServiceRefusesClaims(t *testing.T) {
	store := newFakeStore()
	d := newDriver(store, DefaultLimits())
	require.Equal(t, VerdictGranted, d.claim(opaqueRequest("a", "1")))
	store.down = true
	require.Equal(t, VerdictUnavailable, d.claim(opaqueRequest("b", "1")))
	store.down, store.limited = false, true
	require.Equal(t, VerdictUnavailable, d.claim(opaqueRequest("b", "1")))
	store.limited = false
	require.Equal(t, VerdictGranted, d.claim(opaqueRequest("b", "1")))
}

// Guards against losing claims in a restore of the store while a collector still has them in memory.
func TestRestoredServiceGetsKnownClaimsBack(t *testing.T) {
	store := newFakeStore()
	d := newDriver(store, DefaultLimits())
	require.Equal(t, VerdictGranted, d.claim(opaqueRequest("old", "1")))
	before := store.snapshot()
	paid := opaqueRequest("paid", "1")
	require.Equal(t, VerdictGranted, d.claim(paid))
	require.Equal(t, VerdictApplied, d.settle(paid, &Answer{Status: 200}))
	store.restore(before)
	require.Equal(t, VerdictUnavailable, d.claim(opaqueRequest("new", "1")), "refused until written back")
	require.Equal(t, VerdictStored, d.claim(opaqueRequest("paid", "1")))
	require.Equal(t, VerdictStored, newDriver(store, DefaultLimits()).claim(opaqueRequest("paid", "1")), "another collector sees it")
}

// Guards against a compaction that loses records or lets segments pile up, and an expiry that loses opaque
// keys.
func TestCompactionAndExpiryKeepWhatMustBeRemembered(t *testing.T) {
	limits := DefaultLimits()
	limits.HeadBytes, limits.BusyHeadBytes, limits.CompactMinSegments = 1000, 1000, 4
	store := newFakeStore()
	d := newDriver(store, limits)
	var keys []string
	for i := range 200 {
		keys = append(keys, fmt.Sprint("key", i))
		r := opaqueRequest(keys[i], "1")
		require.Equal(t, VerdictGranted, d.claim(r))
		if i%2 == 0 {
			require.Equal(t, VerdictApplied, d.settle(r, &Answer{Status: 200}))
		}
		d.now = d.now.Add(time.Second)
	}
	require.Less(t, len(d.core.ledger.segments), 2*limits.CompactMinSegments)
	require.Less(t, len(store.entries), 2*limits.CompactMinSegments, "replaced segments are deleted")
	for i, key := range keys {
		want := VerdictStored
		if i%2 == 1 {
			want = VerdictMayHaveRun
		}
		require.Equal(t, want, newDriver(store, limits).claim(opaqueRequest(key, "1")), key)
	}
	d.now = d.now.Add(25 * time.Hour)
	for range 20 {
		require.Equal(t, VerdictGranted, d.claim(opaqueRequest(newToken(), "1")))
	}
	digests := 0
	for _, ref := range d.core.ledger.segments {
		digests += ref.Digests
	}
	require.Greater(t, digests, 150, "expired records are reduced to digests")
	reader := newDriver(store, limits)
	reader.now = d.now
	for _, key := range keys {
		require.Equal(t, VerdictExpired, reader.claim(opaqueRequest(key, "1")), key)
	}
}

// Guards against records that are lost when they move from the head to segments, and against their answers
// staying in memory.
func TestSegmentsKeepWhatTheHeadDrops(t *testing.T) {
	limits := DefaultLimits()
	limits.HeadBytes, limits.BusyHeadBytes, limits.SegmentBytes = 4<<10, 4<<10, 8<<10
	store := newFakeStore()
	d := newDriver(store, limits)
	body := make([]byte, 1000)
	var keys []string
	for i := range 40 {
		key := string(rune('A' + i))
		keys = append(keys, key)
		r := opaqueRequest(key, "1")
		require.Equal(t, VerdictGranted, d.claim(r))
		require.Equal(t, VerdictApplied, d.settle(r, &Answer{Status: 200, Body: body}))
	}
	require.NotEmpty(t, d.core.ledger.segments)
	require.Less(t, len(store.entries[headKey(0)].Value), 3*limits.HeadBytes)
	for _, reader := range []*driver{d, newDriver(store, limits)} {
		for _, key := range keys {
			require.Equal(t, VerdictStored, reader.claim(opaqueRequest(key, "1")), key)
		}
	}
}

// Guards against a lost segment that makes a shard grant used keys, or that blocks the shard permanently
// although a collector still has the records in memory.
func TestLostSegment(t *testing.T) {
	limits := DefaultLimits()
	limits.HeadBytes, limits.BusyHeadBytes = 1000, 1000
	store := newFakeStore()
	d := newDriver(store, limits)
	for i := range 12 {
		require.Equal(t, VerdictGranted, d.claim(opaqueRequest(fmt.Sprint(i), "1")))
	}
	delete(store.entries, segmentKey(0, d.core.ledger.segments[0].Name))
	fresh := newDriver(store, limits)
	require.Equal(t, VerdictUnavailable, fresh.claim(opaqueRequest("new", "1")))
	d.now = d.now.Add(time.Minute)
	require.Equal(t, VerdictGranted, d.claim(opaqueRequest("new", "1")), "segments in memory are not read again")
	d.core.ledger.segments = nil // makes the next read load all segments
	d.now = d.now.Add(time.Minute)
	require.Equal(t, VerdictUnavailable, d.claim(opaqueRequest("newer", "1")))
	for i := range 12 {
		require.Equal(t, VerdictMayHaveRun, newDriver(store, limits).claim(opaqueRequest(fmt.Sprint(i), "1")), i)
	}
}

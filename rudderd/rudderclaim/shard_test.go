package rudderclaim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a second use of a key that is granted, or refused with the wrong reason.
func TestVerdictsOfASecondClaim(t *testing.T) {
	d := newDriver(newFakeStore(), DefaultLimits())
	first := keyed("k", "100")
	require.Equal(t, VerdictGranted, d.claim(first))
	require.Equal(t, VerdictGranted, d.claim(first), "the same token gets the same result")
	require.Equal(t, VerdictMayHaveRun, d.claim(keyed("k", "100")))
	require.Equal(t, VerdictConflict, d.claim(keyed("k", "200")))
	require.Equal(t, VerdictApplied, d.settle(first, &Answer{Status: 201, Body: []byte("paid")}))
	id := d.core.Claim(keyed("k", "100"), d.now, d.now.Add(time.Second))
	d.settleDown(time.Second)
	require.Equal(t, Decision{Verdict: VerdictStored, Answer: &Answer{Status: 201, Body: []byte("paid")}}, d.replies[id])
	d.now = d.now.Add(25 * time.Hour)
	require.Equal(t, VerdictExpired, d.claim(keyed("k", "100")), "an opaque key is never forgotten")
}

// Guards against a claim without dispatch that burns its key, and a delayed claim after its release.
func TestReleaseFreesTheKeyButNotTheToken(t *testing.T) {
	d := newDriver(newFakeStore(), DefaultLimits())
	first := keyed("k", "100")
	require.Equal(t, VerdictGranted, d.claim(first))
	require.Equal(t, VerdictApplied, d.release(first))
	require.Equal(t, VerdictReleased, d.claim(first))
	require.Equal(t, VerdictGranted, d.claim(keyed("k", "200")))

	second := keyed("k", "300")
	require.Equal(t, VerdictApplied, d.release(second), "a claim that never arrived")
	require.Equal(t, VerdictReleased, d.claim(second), "the key is in use by another token")
	require.Equal(t, VerdictReleased, d.claim(first), "a later claim of the key does not hide the release")

	early := keyed("other", "100")
	require.Equal(t, VerdictApplied, d.release(early))
	require.Equal(t, VerdictReleased, d.claim(early), "the release overtook the claim")
}

// Guards against keys outside their time window that are granted after their record was forgotten.
func TestKeysWithATimeAreRefusedOutsideTheirWindow(t *testing.T) {
	d := newDriver(newFakeStore(), DefaultLimits())
	timed := func(age time.Duration) Request {
		r := keyed("k"+age.String(), "100")
		r.keyTimeMS = d.now.Add(-age).UnixMilli()
		return r
	}
	require.Equal(t, VerdictGranted, d.claim(timed(23*time.Hour)))
	require.Equal(t, VerdictExpired, d.claim(timed(24*time.Hour)))
	require.Equal(t, VerdictFuture, d.claim(timed(-6*time.Minute)))
	require.Equal(t, int64(1772438216827), uuidTime("019cad8c-e07b-7cc3-98c4-dc0c0c07398f"))
	require.Zero(t, uuidTime("019cad8c-e07b-4cc3-98c4-dc0c0c07398f"), "version 4 has no time")
}

// Guards against forgetting old opaque keys to make space for new ones.
func TestFullShardRefusesOpaqueKeys(t *testing.T) {
	limits := DefaultLimits()
	limits.OpaqueKeys = 2
	d := newDriver(newFakeStore(), limits)
	require.Equal(t, VerdictGranted, d.claim(keyed("a", "1")))
	require.Equal(t, VerdictGranted, d.claim(keyed("b", "1")))
	require.Equal(t, VerdictFull, d.claim(keyed("c", "1")))
	d.now = d.now.Add(48 * time.Hour)
	require.Equal(t, VerdictFull, d.claim(keyed("c", "1")))
	require.Equal(t, VerdictExpired, d.claim(keyed("a", "1")))
}

// Guards against a write whose answer was lost being taken for a failure, or done twice.
func TestLostAnswerOfTheHeadsWrite(t *testing.T) {
	store := newFakeStore()
	store.loseAnswers = 1
	d := newDriver(store, DefaultLimits())
	require.Equal(t, VerdictGranted, d.claim(keyed("k", "1")))
	require.Equal(t, 1, store.writes, "the claim was read back, not written again")

	store.delayWrites = 1
	late := keyed("late", "1")
	require.Equal(t, VerdictGranted, d.claim(late))
	store.deliver()
	require.Equal(t, VerdictMayHaveRun, d.claim(keyed("late", "1")), "the delayed write lost against the second one")
}

// Guards against a platform without writes for which claims wait or are granted.
func TestUnavailableAndLimitedServiceRefusesClaims(t *testing.T) {
	store := newFakeStore()
	d := newDriver(store, DefaultLimits())
	require.Equal(t, VerdictGranted, d.claim(keyed("a", "1")))
	store.down = true
	require.Equal(t, VerdictUnavailable, d.claim(keyed("b", "1")))
	store.down, store.limited = false, true
	require.Equal(t, VerdictUnavailable, d.claim(keyed("b", "1")))
	store.limited = false
	require.Equal(t, VerdictGranted, d.claim(keyed("b", "1")))
}

// Guards against a restored service that forgets claims which a collector remembers.
func TestRestoredServiceGetsKnownClaimsBack(t *testing.T) {
	store := newFakeStore()
	d := newDriver(store, DefaultLimits())
	require.Equal(t, VerdictGranted, d.claim(keyed("old", "1")))
	before := store.snapshot()
	paid := keyed("paid", "1")
	require.Equal(t, VerdictGranted, d.claim(paid))
	require.Equal(t, VerdictApplied, d.settle(paid, &Answer{Status: 200}))
	store.restore(before)
	require.Equal(t, VerdictUnavailable, d.claim(keyed("new", "1")), "refused until written back")
	require.Equal(t, VerdictStored, d.claim(keyed("paid", "1")))
	require.Equal(t, VerdictStored, newDriver(store, DefaultLimits()).claim(keyed("paid", "1")), "another collector sees it")
}

// Guards against compaction that loses records or grows without bound, and expiry that forgets keys.
func TestCompactionAndExpiryKeepWhatMustBeRemembered(t *testing.T) {
	limits := DefaultLimits()
	limits.HeadBytes, limits.BusyHeadBytes, limits.CompactRun = 1000, 1000, 4
	store := newFakeStore()
	d := newDriver(store, limits)
	var keys []string
	for i := range 200 {
		keys = append(keys, fmt.Sprint("key", i))
		r := keyed(keys[i], "1")
		require.Equal(t, VerdictGranted, d.claim(r))
		if i%2 == 0 {
			require.Equal(t, VerdictApplied, d.settle(r, &Answer{Status: 200}))
		}
		d.now = d.now.Add(time.Second)
	}
	require.Less(t, len(d.core.ledger.segments), 2*limits.CompactRun)
	require.Less(t, len(store.entries), 2*limits.CompactRun, "replaced segments are deleted")
	for i, key := range keys {
		want := VerdictStored
		if i%2 == 1 {
			want = VerdictMayHaveRun
		}
		require.Equal(t, want, newDriver(store, limits).claim(keyed(key, "1")), key)
	}
	d.now = d.now.Add(25 * time.Hour)
	for range 20 {
		require.Equal(t, VerdictGranted, d.claim(keyed(newToken(), "1")))
	}
	digests := 0
	for _, ref := range d.core.ledger.segments {
		digests += ref.Digests
	}
	require.Greater(t, digests, 150, "expired records are cut down to digests")
	reader := newDriver(store, limits)
	reader.now = d.now
	for _, key := range keys {
		require.Equal(t, VerdictExpired, reader.claim(keyed(key, "1")), key)
	}
}

// Guards against records that are lost when the head moves to segments, and answers kept in memory.
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
		r := keyed(key, "1")
		require.Equal(t, VerdictGranted, d.claim(r))
		require.Equal(t, VerdictApplied, d.settle(r, &Answer{Status: 200, Body: body}))
	}
	require.NotEmpty(t, d.core.ledger.segments)
	require.Less(t, len(store.entries[headKey(0)].Value), 3*limits.HeadBytes)
	for _, reader := range []*driver{d, newDriver(store, limits)} {
		for _, key := range keys {
			require.Equal(t, VerdictStored, reader.claim(keyed(key, "1")), key)
		}
	}
}

// Guards against a lost segment that makes a shard grant used keys, or stops it for good while a
// collector still remembers them.
func TestLostSegment(t *testing.T) {
	limits := DefaultLimits()
	limits.HeadBytes, limits.BusyHeadBytes = 1000, 1000
	store := newFakeStore()
	d := newDriver(store, limits)
	for i := range 12 {
		require.Equal(t, VerdictGranted, d.claim(keyed(fmt.Sprint(i), "1")))
	}
	delete(store.entries, segmentKey(0, d.core.ledger.segments[0].Name))
	fresh := newDriver(store, limits)
	require.Equal(t, VerdictUnavailable, fresh.claim(keyed("new", "1")))
	d.now = d.now.Add(time.Minute)
	require.Equal(t, VerdictGranted, d.claim(keyed("new", "1")), "segments in memory are not read again")
	d.core.ledger.segments = nil // reads all segments at the next read
	d.now = d.now.Add(time.Minute)
	require.Equal(t, VerdictUnavailable, d.claim(keyed("newer", "1")))
	for i := range 12 {
		require.Equal(t, VerdictMayHaveRun, newDriver(store, limits).claim(keyed(fmt.Sprint(i), "1")), i)
	}
}

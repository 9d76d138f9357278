package rudderpoison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.UnixMilli(1_772_000_000_000)

func death(group, domain string, after time.Duration, inFlight ...Fingerprint) Death {
	return Death{Group: group, Domain: domain, AtUnixMS: start.Add(after).UnixMilli(), InFlight: inFlight}
}

// Guards against refusing a request for deaths in a domain loss, in any order of reports, and against running a
// poison request a third time.
func TestVerdicts(t *testing.T) {
	tests := []struct {
		name   string
		deaths []Death
		want   Verdict
	}{
		{"none", nil, Clear},
		{"one death", []Death{death("g1", "d1", 0, 1)}, Suspect},
		{"two domains", []Death{death("g1", "d1", 0, 1), death("g2", "d2", time.Second, 1)}, Poison},
		{"same domain, later", []Death{death("g1", "d1", 0, 1), death("g2", "d1", 2001*time.Millisecond, 1)}, Poison},
		{"domain loss", []Death{death("g1", "d1", 0, 1), death("g2", "d1", 2*time.Second, 1)}, Clear},
		{"idle group shows the domain loss", []Death{death("g1", "d1", 0, 1), death("g2", "d1", time.Second)}, Clear},
		{"reported late", []Death{death("g2", "d1", time.Second), death("g1", "d1", 0, 1)}, Clear},
		{"second of a pair cleared, third counts", []Death{
			death("g1", "d1", 0, 1), death("g2", "d1", time.Second, 1), death("g3", "d2", time.Minute, 1),
		}, Suspect},
		{"one group reported by two hosts", []Death{death("g1", "d1", 0, 1), death("g1", "d1", 50*time.Millisecond, 1)}, Suspect},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewTracker(0)
			tracker.Record(start, test.deaths...)
			require.Equal(t, test.want, tracker.Verdict(1))
		})
	}
}

// Guards against entry hosts that reach different verdicts from the same reports.
func TestRecordIsIdempotentInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	var all []Death
	for i := range 40 {
		d := death(fmt.Sprint("g", i%25), fmt.Sprint("d", i%25%6), time.Duration(rng.IntN(20000))*time.Millisecond,
			Fingerprint(rng.IntN(8)))
		all = append(all, d)
	}
	one := NewTracker(0)
	one.Record(start, all...)
	for range 20 {
		other := NewTracker(0)
		for _, i := range rng.Perm(len(all)) {
			other.Record(start, all[i])
			other.Record(start, all[rng.IntN(len(all))])
		}
		other.Record(start, one.Snapshot()...)
		for f := range Fingerprint(8) {
			require.Equal(t, one.DeathCount(f), other.DeathCount(f))
		}
	}
}

// Guards against two suspected requests on one group, whose death would not show which of them caused it.
func TestSuspectsAreKeptApart(t *testing.T) {
	tracker := NewTracker(0)
	tracker.Record(start, death("g1", "d1", 0, 1, 2))
	require.False(t, tracker.CanColocate(1, []Fingerprint{5, 2}))
	require.True(t, tracker.CanColocate(1, []Fingerprint{1, 5}))
	require.True(t, tracker.CanColocate(5, []Fingerprint{1, 2}))
}

// Guards against a request that is kept off a fabric domain for as long as a death in it is remembered, although a second
// death there would count.
func TestDomainIsAvoidedWhileASecondDeathWouldNotCount(t *testing.T) {
	tracker := NewTracker(0)
	tracker.Record(start, death("g1", "d1", 0, 1))
	require.Equal(t, []string{"d1"}, tracker.AvoidedDomains(start.Add(DomainLossWindow), 1))
	later := start.Add(DomainLossWindow + time.Millisecond)
	require.Empty(t, tracker.AvoidedDomains(later, 1))
	tracker.Record(later, death("g2", "d1", DomainLossWindow+time.Millisecond, 1))
	require.Equal(t, Poison, tracker.Verdict(1))
	require.Equal(t, []string{"d1"}, tracker.AvoidedDomains(later, 1))
}

// Guards against memory that grows without bound, or is not freed when deaths expire.
func TestMemoryIsBounded(t *testing.T) {
	tracker := NewTracker(10)
	for i := range 100 {
		tracker.Record(start, death(fmt.Sprint("g", i), fmt.Sprint("d", i), time.Duration(i)*time.Second, Fingerprint(i)))
	}
	require.Len(t, tracker.Snapshot(), 10)
	require.Equal(t, Clear, tracker.Verdict(89))
	require.Equal(t, Suspect, tracker.Verdict(90))
	tracker.Record(start.Add(deathTTL + 101*time.Second))
	require.Empty(t, tracker.Snapshot())
	require.Empty(t, tracker.requests)
	require.Empty(t, tracker.domains)
}

// Guards against requests of different workspaces with the same fingerprint.
func TestFingerprint(t *testing.T) {
	require.Equal(t, FingerprintOf("a", []byte("x")), FingerprintOf("a", []byte("x")))
	require.NotEqual(t, FingerprintOf("a", []byte("bx")), FingerprintOf("ab", []byte("x")))
}

package rudderpermit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ttl = 5 * time.Second

func held(now time.Time) *Permit {
	p := New(ttl)
	p.Adopt(Version{1, 1}, false)
	p.PlatformRead(now, Version{1, 1})
	p.MajorityRound(now)
	return p
}

// Guards against a permit that counts from after the call, or that outlives its time.
func TestPermitEndsTTLAfterTheCallBegan(t *testing.T) {
	start := time.Unix(1000, 0)
	p := held(start)
	require.NoError(t, p.Check(start.Add(ttl-1)))
	require.ErrorIs(t, p.Check(start.Add(ttl)), ErrExpired)
	require.Equal(t, ReadRenewed, p.PlatformRead(start.Add(3*time.Second), Version{1, 1}))
	require.NoError(t, p.Check(start.Add(3*time.Second+ttl-1)))
	p.MajorityRound(start.Add(time.Second))
	require.NoError(t, p.Check(start.Add(3*time.Second+ttl-1)), "an earlier round does not shorten it")
	require.ErrorIs(t, New(ttl).Check(start), ErrNoConfiguration)
}

// Guards against a version that goes back and against a read of an older platform that renews.
func TestVersionsNeverGoBack(t *testing.T) {
	start := time.Unix(1000, 0)
	p := held(start)
	require.True(t, p.Adopt(Version{3, 3}, false))
	require.False(t, p.Adopt(Version{2, 2}, true))
	require.False(t, p.Adopt(Version{3, 4}, false), "another document of the same number needs replace")
	require.Equal(t, ReadOlder, p.PlatformRead(start.Add(4*time.Second), Version{2, 2}))
	require.Equal(t, ReadDiffers, p.PlatformRead(start.Add(4*time.Second), Version{3, 4}))
	require.Equal(t, ReadNewer, p.PlatformRead(start.Add(4*time.Second), Version{4, 4}))
	require.ErrorIs(t, p.Check(start.Add(ttl)), ErrExpired)
	require.Equal(t, Version{3, 3}, p.Adopted())
}

// Guards against a host that just started, or was cut off for longer than the TTL, and takes an older
// state of the platform for the current one.
func TestPlatformSessionNeedsConfirmation(t *testing.T) {
	start := time.Unix(1000, 0)
	p := New(ttl)
	p.Adopt(Version{1, 1}, false)
	read := func(after time.Duration) ReadOutcome { return p.PlatformRead(start.Add(after), Version{1, 1}) }
	require.Equal(t, ReadUnconfirmed, read(0))
	require.Equal(t, ReadUnconfirmed, read(time.Second))
	p.MajorityRound(start.Add(time.Second))
	require.Equal(t, ReadRenewed, read(2*time.Second))
	require.Equal(t, ReadUnconfirmed, read(8*time.Second), "after a gap of more than the TTL")
	for s := 9 * time.Second; s < 18*time.Second; s += time.Second {
		require.Equal(t, ReadUnconfirmed, read(s))
	}
	require.Equal(t, ReadRenewed, read(18*time.Second), "2 TTL without a majority round")
}

// Guards against a suspended machine whose monotonic clock stood still, and a wall clock set back.
func TestElapsedTakesTheLaterClock(t *testing.T) {
	now := time.Now()
	require.Equal(t, time.Minute, Elapsed(now, now.Add(time.Minute)))
	wallOnly := now.Round(0).Add(time.Hour)
	require.Equal(t, time.Hour, Elapsed(now, wallOnly))
	require.Zero(t, Elapsed(now, now.Round(0).Add(-time.Hour)))
}

// Guards against rounds that count too few, too old, newer or different acknowledgements.
func TestEvaluateAcks(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	ack := func(name int, number int64, hash uint64, s int) Ack {
		return Ack{Member: fmt.Sprint(name), Version: Version{number, hash}, At: at(s)}
	}
	majorityOf5 := func(set map[string]bool) bool { return len(set) >= 3 }
	cases := []struct {
		name string
		acks []Ack
		want AckResult
	}{
		{"as late a start as possible", []Ack{ack(1, 2, 2, 1), ack(2, 2, 2, 5), ack(3, 1, 1, 3), ack(4, 2, 2, 9)},
			AckResult{Majority: true, Started: at(3)}},
		{"too few", []Ack{ack(1, 2, 2, 1), ack(2, 2, 2, 5)}, AckResult{}},
		{"one member twice", []Ack{ack(1, 2, 2, 1), ack(2, 2, 2, 5), ack(2, 2, 2, 6)}, AckResult{}},
		{"too old", []Ack{ack(1, 2, 2, 1), ack(2, 2, 2, 5), ack(3, 2, 2, -1)}, AckResult{}},
		{"a newer version", []Ack{ack(1, 2, 2, 1), ack(2, 2, 2, 5), ack(3, 2, 2, 5), ack(4, 3, 3, 0)},
			AckResult{Behind: true, Newest: ack(4, 3, 3, 0)}},
		{"a newer version, then an older one of the same member", []Ack{ack(1, 2, 2, 1), ack(2, 3, 3, 1), ack(2, 2, 2, 5), ack(3, 2, 2, 5)},
			AckResult{Behind: true, Newest: ack(2, 3, 3, 1)}},
		{"another document of the number does not count", []Ack{ack(1, 2, 2, 1), ack(2, 2, 2, 5), ack(3, 2, 9, 5)}, AckResult{}},
		{"a majority has another document", []Ack{ack(1, 2, 9, 5), ack(2, 2, 9, 5), ack(3, 2, 9, 5), ack(4, 2, 2, 5)},
			AckResult{Behind: true, Differs: true, Newest: ack(3, 2, 9, 5)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := EvaluateAcks(Version{2, 2}, c.acks, start, majorityOf5)
			if !got.Majority {
				got.Started = time.Time{}
			}
			require.Equal(t, c.want, got)
		})
	}
}

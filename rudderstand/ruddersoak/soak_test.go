package ruddersoak

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderscene"
)

// Guards against schedules that a seed does not reproduce, and against a kind of fault that is never drawn.
func TestDraw(t *testing.T) {
	text := func(events []event) (out []string) {
		for _, e := range events {
			out = append(out, e.String())
		}
		return out
	}
	first := drawEvents(7, time.Minute)
	require.Equal(t, text(first), text(drawEvents(7, time.Minute)))
	require.NotEqual(t, text(first), text(drawEvents(8, time.Minute)))
	seen := map[string]bool{}
	for seed := range uint64(50) {
		for _, e := range drawEvents(seed, 20*time.Second) {
			seen[e.kind.name] = true
			require.Less(t, e.at, 20*time.Second)
			require.GreaterOrEqual(t, e.duration, e.kind.minDuration)
			require.LessOrEqual(t, e.duration, e.kind.maxDuration)
		}
	}
	require.Len(t, seen, len(faultKinds()))
}

// Guards against violations when separate processes are hit by overlapping faults. The seeds are those of the
// short run and all that have failed before.
func TestSoak(t *testing.T) {
	directory := t.TempDir()
	binary, err := rudderscene.BuildRudderd(t.Context(), directory)
	require.NoError(t, err)
	for _, seed := range []uint64{1} {
		s := &Soak{Seed: seed, Duration: 8 * time.Second, Entries: 4, Callers: 8, Binary: binary, Directory: filepath.Join(directory, "logs")}
		v := s.Run(t.Context())
		require.NoError(t, v.Err)
		require.Empty(t, v.Violations)
		require.Positive(t, v.Outcomes["complete"])
	}
}

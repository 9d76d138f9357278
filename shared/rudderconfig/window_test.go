package rudderconfig

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func at(t *testing.T, s string) time.Time {
	t.Helper()
	v, err := time.Parse(time.RFC3339, s)
	require.NoError(t, err)
	return v
}

// Covers the edges of windows: time zones, midnight, weekdays, both daylight saving changes and malformed windows.
func TestWindows(t *testing.T) {
	night := Window{From: "22:00", To: "02:30", TimeZone: "America/Montreal"}
	friday := Window{Days: []string{"fri"}, From: "22:00", To: "06:00", TimeZone: "Africa/Kigali"}
	tests := []struct {
		name   string
		window Window
		at     string
		active bool
		next   string
	}{
		{"zone", Window{From: "08:00", To: "18:00", TimeZone: "Africa/Kigali"}, "2026-12-04T06:00:00Z", true, "2026-12-04T16:00:00Z"},
		{"end is outside", Window{From: "08:00", To: "18:00", TimeZone: "Africa/Kigali"}, "2026-12-04T16:00:00Z", false, "2026-12-05T06:00:00Z"},
		{"over midnight", friday, "2026-12-05T03:00:00Z", true, "2026-12-05T04:00:00Z"},
		{"day of the start counts", friday, "2026-12-04T03:00:00Z", false, "2026-12-04T20:00:00Z"},
		// 02:30 does not exist on 2026-03-08, so the span ends when the clocks go forward at 07:00Z.
		{"skipped end", night, "2026-03-08T06:59:00Z", true, "2026-03-08T07:00:00Z"},
		// 01:30 occurs twice on 2026-11-01; the first occurrence counts.
		{"repeated start", Window{From: "01:30", To: "05:00", TimeZone: "America/Montreal"}, "2026-11-01T05:30:00Z", true, "2026-11-01T10:00:00Z"},
		{"repeated end", Window{From: "00:30", To: "01:30", TimeZone: "America/Montreal"}, "2026-11-01T06:15:00Z", false, "2026-11-02T05:30:00Z"},
		{"malformed is closed", Window{From: "8", To: "18:00", TimeZone: "Africa/Kigali"}, "2026-12-04T10:00:00Z", false, ""},
		{"unknown zone is closed", Window{From: "08:00", To: "18:00", TimeZone: "Nowhere"}, "2026-12-04T10:00:00Z", false, ""},
	}
	for _, tt := range tests {
		s := Selector{Windows: []Window{tt.window}}
		require.Equal(t, tt.active, s.ActiveAt(at(t, tt.at)), tt.name)
		next, ok := s.NextChange(at(t, tt.at))
		require.Equal(t, tt.next != "", ok, tt.name)
		if ok {
			require.Equal(t, tt.next, next.UTC().Format(time.RFC3339), tt.name)
		}
	}
}

// Verifies that NextChange reports no change at the time at which one window ends and the next one starts.
func TestNextChangeJoinsWindows(t *testing.T) {
	s := Selector{Windows: []Window{{From: "08:00", To: "12:00", TimeZone: "UTC"}, {From: "12:00", To: "15:00", TimeZone: "UTC"}}}
	next, ok := s.NextChange(at(t, "2026-12-04T09:00:00Z"))
	require.True(t, ok)
	require.Equal(t, at(t, "2026-12-04T15:00:00Z"), next.UTC())
	_, ok = Selector{}.NextChange(at(t, "2026-12-04T09:00:00Z"))
	require.False(t, ok, "a selector without windows never changes")
}

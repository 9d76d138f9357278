package rudderedge

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// suspendedUptime returns a monotonic clock that also counts the time for which the machine was suspended; the
// Go runtime's monotonic clock does not. It starts at one second, so that no reading is 0.
func suspendedUptime(logger zerolog.Logger) func() time.Duration {
	read := func() (time.Duration, error) {
		var t unix.Timespec
		err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
		return time.Duration(t.Nano()), err
	}
	started, err := read()
	steady := time.Now()
	if err != nil {
		logger.Warn().Err(err).Msg("CLOCK_BOOTTIME is not available; using the monotonic clock, which does not count suspended time")
	}
	return func() time.Duration {
		if now, err := read(); err == nil {
			return now - started + time.Second
		}
		return time.Since(steady) + time.Second
	}
}

package rudderedge

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// stopIdleTime is the least time after the end of serving before a leaving entry host without requests in flight
	// stops. It is also the interval at which the entry host checks for the end of serving.
	stopIdleTime = 300 * time.Millisecond
	// stopServeShare is the fraction of the grace time in which a leaving entry host still accepts new requests,
	// because callers may cache its address for some seconds.
	stopServeShare = 0.75
	// stopMargin is reserved at the end of the grace time, half of it for the last responses.
	stopMargin = 400 * time.Millisecond
)

type stopState struct{ flag atomic.Bool }

func (s *stopState) leaving() bool { return s.flag.Load() }

// leave removes the entry host from the directory, serves until callers have stopped using its address and
// its requests are done, and returns before the grace time ends.
func (e *Edge) leave(ctx context.Context, servers []boundServer) {
	begin := time.Now()
	e.stop.flag.Store(true)
	e.forwarder.DisableKeepAlives()
	e.session.leave()
	e.planner.Resign()
	e.Logger.Info().Int64("in_flight", e.forwarder.InFlight()).Msg("entry host is shutting down")
	serveUntil := time.Duration(float64(e.Settings.StopGrace) * stopServeShare)
	endBy := e.Settings.StopGrace - stopMargin
	for time.Since(begin) < serveUntil && ctx.Err() == nil {
		pause(ctx, stopIdleTime)
	}
	// From here on requests are rejected as not executed, but connections are still accepted: closing the listener would
	// reset those that the kernel has already accepted, and lose the requests that callers have sent on them.
	e.forwarder.Close()
	for time.Since(begin) < endBy && ctx.Err() == nil {
		pause(ctx, stopIdleTime/10)
		if e.forwarder.InFlight() == 0 && time.Since(begin) > serveUntil+stopIdleTime {
			break
		}
	}
	finish, cancel := context.WithTimeout(ctx, stopMargin/2)
	defer cancel()
	_ = servers[0].server.Shutdown(finish) // completes the requests in progress; those cut off later have had no response yet
	e.Logger.Info().Int64("in_flight", e.forwarder.InFlight()).Dur("took_ms", time.Since(begin)).Msg("entry host stopped")
}

package rudderedge

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// stopIdleTime is the time without requests, after the end of serving, after which a leaving entry host stops before
	// its grace time is over. stopCheckInterval is the interval of the checks for it.
	stopIdleTime      = 300 * time.Millisecond
	stopCheckInterval = 30 * time.Millisecond
	// stopServeShare is the fraction of the grace time in which a leaving entry host still accepts new requests that end
	// in time, because callers may cache its address for some seconds.
	stopServeShare = 0.75
	// maxStopMargin bounds the time that is reserved at the end of the grace time. stopMarginShare is its share of a short
	// grace time. In finishShare of it responses that have begun go on.
	maxStopMargin   = 400 * time.Millisecond
	stopMarginShare = 0.1
	finishShare     = 0.75
)

type stopState struct{ flag atomic.Bool }

func (s *stopState) leaving() bool { return s.flag.Load() }

// stopMargin returns the time that is reserved at the end of a grace time.
func stopMargin(grace time.Duration) time.Duration {
	return min(maxStopMargin, time.Duration(stopMarginShare*float64(grace)))
}

// leave removes the entry host from the directory, serves until callers have stopped using its address and
// its requests are done, and returns before the grace time ends.
func (e *Edge) leave(ctx context.Context, servers []boundServer) {
	begin := e.uptime()
	margin := stopMargin(e.Settings.StopGrace)
	serveUntil := begin + time.Duration(float64(e.Settings.StopGrace)*stopServeShare)
	end := begin + e.Settings.StopGrace - margin
	e.stop.flag.Store(true)
	e.forwarder.BeginShutdown(end)
	e.session.leave()
	e.planner.Resign()
	e.Logger.Info().Int64("in_flight", e.forwarder.InFlight()).Msg("entry host is shutting down")
	for e.uptime() < serveUntil && ctx.Err() == nil {
		pause(ctx, min(stopIdleTime, serveUntil-e.uptime())) // timers do not count suspended time
	}
	// From here on requests are rejected as not executed, but connections are still accepted: closing the listener would
	// reset those that the kernel has already accepted, and lose the requests that callers have sent on them.
	e.forwarder.Close()
	for e.uptime() < end && ctx.Err() == nil && (e.forwarder.InFlight() > 0 || e.uptime() < max(serveUntil, e.forwarder.LastArrival())+stopIdleTime) {
		pause(ctx, min(stopCheckInterval, end-e.uptime()))
	}
	unfinished := e.forwarder.InFlight()
	e.forwarder.CancelUnanswered()
	e.finishResponses(ctx, servers[0], end+time.Duration(finishShare*float64(margin)))
	e.Logger.Info().Int64("unfinished", unfinished).Int64("in_flight", e.forwarder.InFlight()).Dur("took_ms", e.uptime()-begin).Msg("entry host stopped")
}

// finishResponses closes the listener and waits until an uptime for the responses that have begun, also for those that are
// relayed for other entry hosts. Those that are not complete by then are truncated.
func (e *Edge) finishResponses(ctx context.Context, callers boundServer, until time.Duration) {
	finish, cancel := context.WithTimeout(ctx, max(until-e.uptime(), 0))
	defer cancel()
	_ = callers.server.Shutdown(finish)
	for e.forwarder.InFlight() > 0 && finish.Err() == nil {
		pause(finish, time.Millisecond)
	}
	e.forwarder.CancelRunning()
	for last := until + stopCheckInterval; e.forwarder.InFlight() > 0 && e.uptime() < last && ctx.Err() == nil; {
		pause(ctx, time.Millisecond)
	}
}

package rudderedge

import (
	"context"
	"sync/atomic"
	"time"

	"comfreyrudder.example/rudderd/rudderdrain"
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
	// grace time. In all but exitShare of it responses that have begun go on.
	maxStopMargin   = 400 * time.Millisecond
	stopMarginShare = 0.1
	exitShare       = 0.25
	// exitDelays is the time that the end of the process takes on a host whose timers fire late, in multiples of their delay.
	exitDelays = 3
)

type stopState struct {
	flag      atomic.Bool
	requested atomic.Int64 // uptime in nanoseconds; 0 before
	delay     atomic.Int64 // longest delay of a timer during the stop, in nanoseconds
}

func (s *stopState) leaving() bool { return s.flag.Load() }

// request records the uptime at which the stop was requested.
func (s *stopState) request(now time.Duration) { s.requested.CompareAndSwap(0, int64(now)) }

func (s *stopState) requestedAt() time.Duration { return time.Duration(s.requested.Load()) }

// observeDelay records how late a timer has fired.
func (s *stopState) observeDelay(delay time.Duration) {
	if int64(delay) > s.delay.Load() {
		s.delay.Store(int64(delay))
	}
}

// stopMargin returns the time that is reserved at the end of a grace time.
func stopMargin(grace time.Duration) time.Duration {
	return min(maxStopMargin, time.Duration(stopMarginShare*float64(grace)))
}

// exitTime returns the time that is reserved for the end of the process after its last response.
func (e *Edge) exitTime() time.Duration {
	margin := stopMargin(e.Settings.StopGrace)
	return min(margin, max(time.Duration(exitShare*float64(margin)), exitDelays*time.Duration(e.stop.delay.Load())))
}

// exitBy returns the uptime by which Run returns after a planned stop. The rest of the grace time is left for the last log lines.
func (e *Edge) exitBy() time.Duration {
	return e.stop.requestedAt() + e.Settings.StopGrace - e.exitTime()/2
}

// LogCloseTimeout returns how long the process may wait for its last log lines: after a planned stop half of what is left of the
// grace time, so that the rest is left for the end of the process.
func (e *Edge) LogCloseTimeout() time.Duration {
	if !e.stop.leaving() {
		return logCloseTimeout
	}
	left := e.stop.requestedAt() + e.Settings.StopGrace - e.uptime()
	return min(logCloseTimeout, max(left/2, 0))
}

// leave removes the entry host from the directory, serves until callers have stopped using its address and
// its requests are done, and returns before the grace time ends.
func (e *Edge) leave(ctx context.Context, servers []*rudderdrain.Server) {
	e.stop.request(e.uptime())
	begin := e.stop.requestedAt()
	margin := stopMargin(e.Settings.StopGrace)
	serveUntil := begin + time.Duration(float64(e.Settings.StopGrace)*stopServeShare)
	end := begin + e.Settings.StopGrace - margin
	e.stop.flag.Store(true)
	e.forwarder.BeginShutdown(end)
	e.session.leave()
	defer e.announceDeparture(ctx)()
	e.planner.Resign()
	e.Logger.Info().Int64("in_flight", e.forwarder.InFlight()).Msg("entry host is shutting down")
	for e.uptime() < serveUntil && ctx.Err() == nil {
		pause(ctx, min(stopIdleTime, serveUntil-e.uptime())) // timers do not count suspended time
	}
	// From here on requests are rejected as not executed, but connections are still accepted: closing the listener would
	// reset those that the kernel has already accepted, and lose the requests that callers have sent on them.
	e.forwarder.Close()
	for e.uptime() < end && ctx.Err() == nil && (e.forwarder.InFlight() > 0 || e.uptime() < max(serveUntil, e.forwarder.LastArrival())+stopIdleTime) {
		e.pauseMeasured(ctx, min(stopCheckInterval, end-e.uptime()))
	}
	unfinished := e.forwarder.InFlight()
	e.forwarder.CancelUnanswered()
	e.finishResponses(ctx, servers[0], begin+e.Settings.StopGrace-e.exitTime())
	e.Logger.Info().Int64("unfinished", unfinished).Int64("in_flight", e.forwarder.InFlight()).Dur("took_ms", e.uptime()-begin).Msg("entry host stopped")
}

// pauseMeasured pauses and records how late the pause ends.
func (e *Edge) pauseMeasured(ctx context.Context, d time.Duration) {
	until := e.uptime() + d
	pause(ctx, d)
	if ctx.Err() == nil {
		e.stop.observeDelay(e.uptime() - until)
	}
}

// finishResponses serves what the kernel has accepted and closes the listener, and waits until an uptime for the responses that have
// begun, also for those that are relayed for other entry hosts. Those that are not complete by then are truncated.
func (e *Edge) finishResponses(ctx context.Context, callers *rudderdrain.Server, until time.Duration) {
	last := until + (e.exitBy()-until)/2
	finish, cancel := context.WithTimeout(ctx, max(last-e.uptime(), 0))
	defer cancel()
	defer time.AfterFunc(max(until-e.uptime(), 0), e.forwarder.CancelRunning).Stop()
	callers.Drain(finish)
	for e.forwarder.InFlight() > 0 && finish.Err() == nil {
		pause(finish, time.Millisecond)
	}
}

package rudderedge

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// stopQuiet is the time without a request in flight after which a leaving entry host ends, once
	// callers cannot have its address any more.
	stopQuiet = 300 * time.Millisecond
	// stopServeShare is the part of the grace time in which a leaving entry host takes new requests:
	// callers may keep its address for some seconds.
	stopServeShare = 0.75
	// stopMargin is kept free at the end of the grace time, half of it for the last answers.
	stopMargin = 400 * time.Millisecond
)

type stopState struct{ flag atomic.Bool }

func (s *stopState) leaving() bool { return s.flag.Load() }

// leave takes the entry host off the directory, serves until callers have stopped using its address and
// its requests are done, and returns before the grace time ends.
func (e *Edge) leave(ctx context.Context, servers []boundServer) {
	begin := time.Now()
	e.stop.flag.Store(true)
	e.forwarder.DisableKeepAlives()
	e.session.leave()
	e.former.Resign()
	e.Logger.Info().Int64("in_flight", e.forwarder.InFlight()).Msg("entry host stops")
	serveUntil := time.Duration(float64(e.Settings.StopGrace) * stopServeShare)
	endBy := e.Settings.StopGrace - stopMargin
	for time.Since(begin) < serveUntil && ctx.Err() == nil {
		pause(ctx, stopQuiet)
	}
	// Requests are refused as not run from here on, but connections are still taken: closing the listener would reset
	// those that the kernel has accepted, with what their callers have sent.
	e.forwarder.Close()
	for time.Since(begin) < endBy && ctx.Err() == nil {
		pause(ctx, stopQuiet/10)
		if e.forwarder.InFlight() == 0 && time.Since(begin) > serveUntil+stopQuiet {
			break
		}
	}
	finish, cancel := context.WithTimeout(ctx, stopMargin/2)
	defer cancel()
	_ = servers[0].server.Shutdown(finish) // answers what has been read; what is cut after that has had no answer yet
	e.Logger.Info().Int64("in_flight", e.forwarder.InFlight()).Dur("took_ms", time.Since(begin)).Msg("entry host stopped")
}

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
	// stopMargin is kept free at the end of the grace time.
	stopMargin = 400 * time.Millisecond
)

type stopState struct{ flag atomic.Bool }

func (s *stopState) leaving() bool { return s.flag.Load() }

// leave takes the entry host off the directory, serves until callers have stopped using its address and
// its requests are done, and returns before the grace time ends.
func (e *Edge) leave(ctx context.Context, servers []boundServer) {
	begin := time.Now()
	e.stop.flag.Store(true)
	e.forwarder.Leave()
	e.session.leave()
	e.former.Leave()
	e.Logger.Info().Int64("in_flight", e.forwarder.InFlight()).Msg("entry host stops")
	serveUntil := time.Duration(float64(e.Settings.StopGrace) * stopServeShare)
	endBy := e.Settings.StopGrace - stopMargin
	for time.Since(begin) < serveUntil && ctx.Err() == nil {
		pause(ctx, stopQuiet)
	}
	e.forwarder.Close()
	_ = servers[0].listener.Close() // new connections are refused, which a caller knows as not run
	for time.Since(begin) < endBy && e.forwarder.InFlight() > 0 && ctx.Err() == nil {
		pause(ctx, stopQuiet/10)
	}
	e.Logger.Info().Int64("in_flight", e.forwarder.InFlight()).Dur("took_ms", time.Since(begin)).Msg("entry host stopped")
}

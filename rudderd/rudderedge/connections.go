package rudderedge

import (
	"context"
	"sync/atomic"
	"time"

	"comfreyrudder.example/rudderd/rudderconn"
)

const (
	// connectionEndsName is the name prefix of the counters of ended connections, by server and reason.
	connectionEndsName = "connections.ended."
	// connectionEndsInterval is the least time between two log lines about them.
	connectionEndsInterval = 10 * time.Second
)

// connectionEnds counts the connections that were ended since the last log line.
type connectionEnds struct{ count atomic.Int64 }

// connections returns the table of the connections of a server.
func (e *Edge) connections(server string, limit int) *rudderconn.Table {
	return &rudderconn.Table{Limit: limit, OnEnd: func(reason string) {
		e.ends.count.Add(1)
		e.count(connectionEndsName + server + "." + reason)
	}}
}

// logConnections periodically logs how many connections were ended because there were too many or they held memory that others
// needed, until the context is cancelled.
func (e *Edge) logConnections(ctx context.Context) error {
	e.Logger.Info().Int64("memory", e.Account.Memory).Int("descriptors", e.Account.Descriptors).Int("caller_connections", e.Account.CallerConnections).
		Int("small_connections", e.Account.SmallConnections).Msg("limits of this process")
	for ctx.Err() == nil {
		pause(ctx, connectionEndsInterval)
		if ended := e.ends.count.Swap(0); ended > 0 {
			e.Logger.Warn().Int64("ended", ended).Int("open", e.callers.Open()).Int64("body_bytes", e.Account.Budgets.Bodies.Held()).
				Msg("connections without progress were ended")
		}
	}
	return nil
}

package rudderapp

import (
	"sync/atomic"
	"time"

	"comfreyrudder.example/rudderd/rudderconn"
)

// connectionLogInterval is the least time between two log lines about ended connections.
const connectionLogInterval = 10 * time.Second

// wireConnections bounds the connections of callers and operators.
func (a *App) wireConnections() {
	a.callerConnections = a.connections("callers", a.account.CallerConnections)
	a.adminConnections = a.connections("admin", a.account.SmallConnections)
	a.memory.Bodies.SetReclaim(a.callerConnections.EndSlowest)
	a.metrics.gauge("connections.open", func() int64 { return int64(a.callerConnections.Open()) })
	a.metrics.gauge("memory.bodies", a.memory.Bodies.Held)
	a.Logger.Info().Int64("memory", a.account.Memory).Int("descriptors", a.account.Descriptors).Int("caller_connections", a.account.CallerConnections).
		Int("admin_connections", a.account.SmallConnections).Msg("limits of this process")
}

// connections returns the table of the connections of a server.
func (a *App) connections(server string, limit int) *rudderconn.Table {
	var logged atomic.Int64
	return &rudderconn.Table{Limit: limit, OnEnd: func(reason string) {
		a.metrics.count("connections.ended." + server + "." + reason)
		now, last := a.Clock.Now().UnixNano(), logged.Load()
		if time.Duration(now-last) >= connectionLogInterval && logged.CompareAndSwap(last, now) {
			a.Logger.Warn().Str("server", server).Str("reason", reason).Int64("body_bytes", a.memory.Bodies.Held()).
				Msg("a connection without progress was ended; further ones are only counted for 10 s")
		}
	}}
}

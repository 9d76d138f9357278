package rudderview

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderstore"
)

// Guards against an entry host that refuses requests while nothing changes: its last sync must not become older between two
// watches than it may before an outage is noticed.
func TestIdleWatchIsNotStale(t *testing.T) {
	begin := time.Now()
	v := &View{
		Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Since(begin) + time.Second }, Keys: Keys{Routing: "routing", TargetPrefix: "targets/"},
		DecodeRouting: func([]byte) (rudderroute.Document, error) { return rudderroute.Document{}, nil },
		Store: &rudderstore.Store{
			List: func(context.Context, string) ([]rudderstore.Entry, int64, error) { return nil, 1, nil },
			Watch: func(ctx context.Context, r rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
				sleep(ctx, r.Wait)
				return rudderstore.WatchResult{Revision: r.After}, ctx.Err()
			},
		},
	}
	go func() { _ = v.Run(t.Context()) }()
	<-v.Synced()
	most := time.Duration(0)
	for time.Since(begin) < 3*OutageDetectionTime {
		age, _ := v.Staleness()
		most = max(most, age)
		time.Sleep(5 * time.Millisecond)
	}
	require.LessOrEqual(t, most, OutageDetectionTime)
}

package ruddercoordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// Renewals that get no answer and are not carried out in time. Guards against a planner that loses its lease because of a few of
// them: no groups are formed until another entry host has taken over.
func TestPlannerKeepsItsLeaseThroughLateRenewals(t *testing.T) {
	for _, test := range []struct {
		name string
		late []int
		lost bool
	}{
		{"in calm", nil, false},
		{"one late", []int{2}, false},
		{"two late", []int{2, 3}, false},
		{"three late", []int{2, 3, 4}, false},
		{"all late", []int{2, 3, 4, 5, 6, 7, 8, 9}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				end, renewals := begin.Add(LeaseTTL), 0
				late := map[int]bool{}
				for _, n := range test.late {
					late[n] = true
				}
				p := &Planner{Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Since(begin) }, Store: &rudderstore.Store{
					KeepAlive: func(ctx context.Context, _ int64) error {
						renewals++
						if late[renewals] {
							<-ctx.Done()
							return ctx.Err()
						}
						time.Sleep(4 * time.Millisecond)
						if time.Now().After(end) {
							return rudderstore.ErrNotFound
						}
						end = time.Now().Add(LeaseTTL)
						return nil
					},
				}}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				p.keepLease(ctx, cancel, 1)
				require.Equal(t, test.lost, time.Since(begin) < 10*time.Second)
			})
		})
	}
}

package rudderscene

import (
	"context"
	"encoding/json"
	"time"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderstore"
)

const planPollInterval = 100 * time.Millisecond

// WatchPlans polls the key-value service until the context is done and calls onPlan once for each version of
// each plan that it sees.
func WatchPlans(ctx context.Context, store *rudderstore.Store, onPlan func(ruddergroup.Plan)) {
	type version struct{ seq, fencing int64 }
	latest := map[string]version{} // by key
	for ; ctx.Err() == nil; Sleep(ctx, planPollInterval) {
		entries, _, _ := store.List(ctx, ruddergroup.PlanPrefix) // a failed read is retried in the next round
		for _, e := range entries {
			var plan ruddergroup.Plan
			if json.Unmarshal(e.Value, &plan) != nil || latest[e.Key] == (version{plan.Seq, plan.Fencing}) {
				continue
			}
			latest[e.Key] = version{plan.Seq, plan.Fencing}
			onPlan(plan)
		}
	}
}

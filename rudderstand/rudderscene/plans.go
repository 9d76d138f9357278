package rudderscene

import (
	"context"
	"encoding/json"
	"time"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderstore"
)

const planInterval = 100 * time.Millisecond

// WatchPlans tells each plan that the key-value service holds, once, until the context ends.
func WatchPlans(ctx context.Context, store *rudderstore.Store, seen func(ruddergroup.Plan)) {
	type version struct{ seq, fencing int64 }
	known := map[string]version{}
	for ; ctx.Err() == nil; Sleep(ctx, planInterval) {
		entries, _, _ := store.List(ctx, ruddergroup.PlanPrefix) // a failed read is made up for by the next one
		for _, e := range entries {
			var plan ruddergroup.Plan
			if json.Unmarshal(e.Value, &plan) != nil || known[e.Key] == (version{plan.Seq, plan.Fencing}) {
				continue
			}
			known[e.Key] = version{plan.Seq, plan.Fencing}
			seen(plan)
		}
	}
}

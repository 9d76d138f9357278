package rudderdemo

import (
	"context"
	"encoding/json"
	"time"

	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/ruddergroup"
)

// watchPlans records each plan that the key-value service holds.
func (d *Demo) watchPlans(ctx context.Context) {
	rudderscene.WatchPlans(ctx, d.Scene.Fleet.KV.Store(), func(p ruddergroup.Plan) {
		d.recorder.Plan(p)
		d.parts.plans.Add(1)
	})
}

// groups returns the groups that the plans hold now.
func (d *Demo) groups(ctx context.Context) []ruddergroup.Group {
	entries, _, _ := d.Scene.Fleet.KV.Store().List(ctx, ruddergroup.PlanPrefix)
	var groups []ruddergroup.Group
	for _, e := range entries {
		var plan ruddergroup.Plan
		if json.Unmarshal(e.Value, &plan) == nil {
			groups = append(groups, plan.Groups...)
		}
	}
	return groups
}

// watchVersions records the configuration version that each entry host may serve under.
func (d *Demo) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range d.Scene.Entries() {
			if _, gone := d.served.Load(e.Name); gone {
				continue
			}
			before := time.Now()
			if version, ok := e.App.ServingVersion(); ok {
				d.recorder.Served(rudderoracle.ServedVersion{Entry: e.Name, Version: version, At: before})
				d.parts.samples.Add(1)
			}
		}
		rudderscene.Sleep(ctx, sampleInterval)
	}
}

package rudderdemo

import (
	"context"
	"encoding/json"
	"time"

	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/ruddergroup"
)

// watchPlans records the plans that the key-value service holds over time.
func (d *Demo) watchPlans(ctx context.Context) {
	rudderscene.WatchPlans(ctx, d.Scene.Fleet.KV.Store(), func(p ruddergroup.Plan) {
		d.recorder.Plan(p)
		d.parts.plans.Add(1)
	})
}

// groups returns the groups of all current plans.
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

// watchVersions samples the configuration version under which each entry host may serve.
func (d *Demo) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range d.Scene.Entries() {
			if _, stopped := d.stopped.Load(e.Name); stopped {
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

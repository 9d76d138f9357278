package rudderfleet

import (
	"sort"

	"comfreyrudder.example/shared/ruddergroup"
)

// Plans returns the known plans sorted by fabric domain.
func (f *Fleet) Plans() []ruddergroup.Plan {
	f.mu.RLock()
	defer f.mu.RUnlock()
	plans := make([]ruddergroup.Plan, 0, len(f.plans))
	for _, p := range f.plans {
		plans = append(plans, p)
	}
	sort.Slice(plans, func(i, j int) bool { return plans[i].Domain < plans[j].Domain })
	return plans
}

package rudderallocator

import "comfreyrudder.example/shared/ruddergroup"

// CurrentGroups counts the groups of the plans by selector and domain, for AllocationInput.Current. Draining
// groups are not counted.
func CurrentGroups(plans []ruddergroup.Plan) map[string]map[string]int {
	current := map[string]map[string]int{}
	for _, p := range plans {
		for _, g := range p.Groups {
			if g.State == ruddergroup.StateDraining {
				continue
			}
			if current[g.Selector] == nil {
				current[g.Selector] = map[string]int{}
			}
			current[g.Selector][p.Domain]++
		}
	}
	return current
}

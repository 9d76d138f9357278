package rudderplan

import "comfreyrudder.example/shared/ruddergroup"

// CurrentGroups counts the groups of plans by selector and domain for AllocationInput. Draining groups are
// left out.
func CurrentGroups(plans []ruddergroup.Plan) map[string]map[string]int {
	held := map[string]map[string]int{}
	for _, p := range plans {
		for _, g := range p.Groups {
			if g.State == ruddergroup.StateDraining {
				continue
			}
			if held[g.Selector] == nil {
				held[g.Selector] = map[string]int{}
			}
			held[g.Selector][p.Domain]++
		}
	}
	return held
}

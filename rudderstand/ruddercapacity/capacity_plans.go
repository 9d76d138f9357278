package ruddercapacity

import (
	"encoding/json"
	"fmt"

	"comfreyrudder.example/shared/ruddergroup"
)

// PlanBytes returns the encoded size of the value that a watch delivers when a plan changes: for one fabric
// domain, and for the whole fleet if all plans were one value. Groups have 8 hosts, as at the design size.
func PlanBytes(domains, workers int) (domain, fleet int, err error) {
	const size = 8
	plans := make([]ruddergroup.Plan, 0, domains)
	for d := range domains {
		p := ruddergroup.Plan{
			Domain: fmt.Sprintf("laurentie-%02d-a", d), Region: "laurentie", DataCentre: fmt.Sprintf("laurentie-%02d", d),
			Seq: 120, Fencing: 7, ConfigVersion: 580, Planner: "entry-017",
		}
		for g := range workers / domains / size {
			group := ruddergroup.Group{
				ID: fmt.Sprintf("%s.f7.s119.%d", p.Domain, g), Selector: "vercheres-cues", Firm: "vercheres-lanoue",
				Model: "cue-sheets", ModelVersion: "1", State: ruddergroup.StateServing, Slots: 200, SinceUnixMS: 1_796_378_407_000,
			}
			for m := range size {
				group.Members = append(group.Members, ruddergroup.Member{
					Host: fmt.Sprintf("%s-%02d", p.Domain, g*size+m), Address: fmt.Sprintf("10.4.%d.%d:8000", d, g*size+m), Incarnation: "1796378407-31",
				})
			}
			p.Groups = append(p.Groups, group)
		}
		plans = append(plans, p)
	}
	one, err := json.Marshal(plans[0])
	if err != nil {
		return 0, 0, err
	}
	all, err := json.Marshal(plans)
	return len(one), len(all), err
}

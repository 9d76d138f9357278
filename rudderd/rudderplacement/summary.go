package rudderplacement

// Summary is the state of a service's groups, for metrics.
type Summary struct {
	// Groups is the number of planned groups by model that do not retire.
	Groups map[string]int
	// Idle is the number of usable targets in no planned group, and Moving the number of fabric domains in which groups end for
	// another model.
	Idle, Moving int
}

// Summarize returns the state of the groups in the stored plans.
func Summarize(in Input) Summary {
	domains := in.domains()
	s := Summary{Groups: map[string]int{}, Moving: in.movesUnderWay(domains)}
	for _, m := range in.Service.Engine.Models {
		s.Groups[m.Name] = 0
	}
	for _, d := range domains {
		planned := map[string]bool{}
		for _, g := range d.groups {
			if !g.Retiring || g.Unconfirmed {
				s.Groups[g.Model]++
			}
			for _, m := range g.Members {
				planned[m.Target] = true
			}
		}
		for _, t := range d.free {
			if !planned[t.Name] {
				s.Idle++
			}
		}
	}
	return s
}

package rudderbench

import (
	"strconv"

	"comfreyrudder.example/rudderd/rudderrouter"
)

func itoa(n int) string { return strconv.Itoa(n) }

// useBaseline lets each entry host choose a group independently with the named baseline. Engines queue
// requests first in, first out.
func (m *model) useBaseline(name string) {
	views := make([][]rudderrouter.GroupView, m.hosts)
	choose := make([]rudderrouter.Baseline, m.hosts)
	for h := range m.hosts {
		views[h] = make([]rudderrouter.GroupView, len(m.groups))
		for i, g := range m.groups {
			views[h][i] = rudderrouter.GroupView{ID: itoa(i), Slots: g.slots}
		}
		for _, b := range rudderrouter.Baselines() {
			if b.Name == name {
				choose[h] = b
			}
		}
	}
	m.every(reportInterval, func() {
		for h := range views {
			for i, g := range m.groups {
				views[h][i].Reported = g.running + len(g.queue)
			}
		}
	})
	m.arrive = func(r *modelRequest) {
		i := choose[r.host].Choose(m.rng, views[r.host])
		views[r.host][i].InFlight++
		m.submit(r, i)
		m.scheduleDeadline(r)
		m.after(r.deadline, func() {
			if r.abandoned {
				views[r.host][i].InFlight--
			}
		})
	}
	m.finished = func(r *modelRequest) {
		view := &views[r.host][r.group]
		view.InFlight--
		view.Piggybacked = m.groups[r.group].running + len(m.groups[r.group].queue)
	}
}

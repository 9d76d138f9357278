package rudderform

import (
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// Orders returns the orders that lead from the targets' own word to the stored plans, and the loads that
// stage weights on free targets. Orders that were sent lately are left out.
func Orders(in Input) []Order {
	var orders []Order
	domains := in.domains()
	for _, d := range domains {
		in.findFree(d)
		for _, g := range d.groups {
			if r := in.retirement(g); r != nil {
				orders = append(orders, in.release(g, r)...)
			} else {
				orders = append(orders, in.assemble(g)...)
			}
		}
	}
	orders = append(orders, in.stage(domains)...)
	due := orders[:0]
	for _, o := range orders {
		if in.Memory.due(in.Now, o.Target, o.Order) {
			due = append(due, o)
		}
	}
	return due
}

// assemble makes the members join, and opens the leader when all of them say that they are ready.
func (in *Input) assemble(g rudderroster.Group) []Order {
	var orders []Order
	ready := 0
	join := ruddertarget.GroupOrder{Kind: ruddertarget.OrderJoin, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Members: g.Names()}
	for rank, m := range g.Members {
		t := in.Targets[m.Target]
		if t == nil || t.Born != m.Born {
			return nil
		}
		switch {
		case !inGroup(t, g):
			orders = append(orders, in.order(t, join, "planned member"))
		case t.Membership.Rank != rank || t.Membership.Phase == ruddertarget.GroupJoining:
		case t.Membership.Phase == ruddertarget.GroupReady:
			ready++
		}
	}
	if ready == len(g.Members) {
		open := ruddertarget.GroupOrder{Kind: ruddertarget.OrderOpen, Group: g.Name, Epoch: g.Epoch}
		orders = append(orders, in.order(in.Targets[g.Members[0].Target], open, "every member is ready"))
	}
	return orders
}

// release makes the leader let go of a group that ends. When the leader does not answer, the other members
// leave, so that it stands still and breaks.
func (in *Input) release(g rudderroster.Group, r *retirement) []Order {
	leader := in.Targets[g.Members[0].Target]
	if r.graceful > 0 {
		return in.finish(g, r, leader)
	}
	leave := leaveOrder(g)
	var orders []Order
	if leader != nil && leader.Born == g.Members[0].Born {
		orders = append(orders, in.order(leader, leave, r.reason))
	}
	if in.leaderDead(g) || in.Now-r.since > leaderPatience {
		for _, m := range g.Members[1:] {
			if t := in.Targets[m.Target]; t != nil && t.Born == m.Born && !in.Dead(t) && !in.Memory.done(m.Target, leave) {
				orders = append(orders, in.order(t, leave, "leader is not reachable"))
			}
		}
	}
	return orders
}

// leaderPatience is the time without a leader's answer after which the other members leave.
const leaderPatience = 2 * time.Second

// finish closes the leader, and takes the group apart when the leader has nothing left to do.
func (in *Input) finish(g rudderroster.Group, r *retirement, leader *rudderview.Target) []Order {
	switch {
	case leader == nil || !inGroup(leader, g):
		return nil
	case leader.Membership.Phase == ruddertarget.GroupOpen:
		return []Order{in.order(leader, ruddertarget.GroupOrder{Kind: ruddertarget.OrderClose, Group: g.Name, Epoch: g.Epoch}, r.reason)}
	case leader.Membership.Phase == ruddertarget.GroupClosing:
		return nil
	}
	return []Order{in.order(leader, leaveOrder(g), r.reason)}
}

func (in *Input) order(t *rudderview.Target, o ruddertarget.GroupOrder, reason string) Order {
	return Order{Target: t.Name, Address: t.Address, Order: o, Reason: reason}
}

// stage fetches weights onto free targets, so that they can replace a lost member within seconds, and so
// that the first groups need no load of their own.
func (in *Input) stage(domains []*domain) []Order {
	engine := in.Service.Engine
	if engine.Staged < 1 {
		return nil
	}
	limit := engine.LoadsAtOnce
	if !in.Traffic {
		limit *= earlyLoads
	}
	running := in.loading(domains)
	var orders []Order
	for _, d := range domains {
		spares := map[string]int{}
		for _, t := range d.free {
			if model := in.weights(t); model != "" {
				spares[model]++
			}
		}
		for _, t := range d.free {
			if in.weights(t) != "" || t.Model != "" {
				continue
			}
			staging, begun := in.Memory.staging[t.Name]
			if !begun || staging.born != t.Born {
				staging = stagingLife{born: t.Born, model: in.neededSpare(d, spares)}
				if staging.model == "" {
					continue
				}
				if running >= limit || in.Traffic && !in.Memory.loads.take(in.Now, engine.LoadsPerSecond, 1) {
					return orders
				}
				in.Memory.staging[t.Name] = staging
			}
			spares[staging.model]++
			running++
			orders = append(orders, in.order(t, ruddertarget.GroupOrder{Kind: ruddertarget.OrderStage, Model: staging.model}, "spare of the domain"))
		}
	}
	return orders
}

// earlyLoads is how many times more loads run at once before the first request than run at full speed: the
// weight store is kept busy while the targets' records lag.
const earlyLoads = 2

// weights returns the model whose weights a target has, or "".
func (in *Input) weights(t *rudderview.Target) string {
	for _, m := range in.Service.Engine.Models {
		if warm(t, m.Name) {
			return m.Name
		}
	}
	return ""
}

// neededSpare returns the model that has the fewest spares for its members in the domain. A domain without
// groups is divided by the sizes of the models.
func (in *Input) neededSpare(d *domain, spares map[string]int) string {
	members := map[string]int{}
	for _, g := range d.groups {
		members[g.Model] += len(g.Members)
	}
	best, most := "", 0.0
	for _, m := range in.Service.Engine.Models {
		weight := members[m.Name]
		if len(d.groups) == 0 {
			weight = m.Size
		}
		need := float64(weight) / float64(1+spares[m.Name])
		if need > most || need > 0 && need == most && spares[m.Name] < spares[best] {
			best, most = m.Name, need
		}
	}
	return best
}

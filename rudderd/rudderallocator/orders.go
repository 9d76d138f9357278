package rudderallocator

import (
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// ordersFor returns the orders that bring the hosts from their reported state to the planned one.
func ordersFor(in Input, hosts hostIndex, plan ruddergroup.Plan) []Order {
	var out []Order
	planned := map[string]bool{}
	add := func(host, address string, o ruddertarget.Order, r Reason) {
		o.Fencing, o.PlanSeq, o.ExpectGroup = in.Fencing, plan.Seq, in.Observed[host].Status.Role.Group
		r.Host = host
		out = append(out, Order{Host: host, Address: address, Order: o, Reason: r})
	}
	for _, g := range plan.Groups {
		release := g.State == ruddergroup.StateDraining && drained(in, g)
		for rank, m := range g.Members {
			planned[m.Host] = true
			o := in.Observed[m.Host]
			if g.Service != "" || !o.fresh(in.Timing) {
				continue
			}
			switch {
			case release && o.Status.Role.Group == g.ID:
				add(m.Host, m.Address, ruddertarget.Order{Kind: ruddertarget.OrderRelease},
					Reason{Code: CodeReleased, Group: g.ID, Text: "nothing runs in the draining group"})
			case g.State == ruddergroup.StateLoading && (o.Status.Role.Group != g.ID || o.Status.Role.Rank != rank):
				add(m.Host, m.Address, ruddertarget.Order{Kind: ruddertarget.OrderAssign, Role: roleOf(g, rank)},
					Reason{Code: CodeFormed, Group: g.ID, Text: fmt.Sprintf("host joins with rank %d", rank)})
			}
		}
	}
	for _, h := range in.Hosts {
		o := in.Observed[h.Name]
		if role := o.Status.Role; !planned[h.Name] && o.fresh(in.Timing) && role.Group != "" && !stillRunning(in, role) {
			add(h.Name, h.Address, ruddertarget.Order{Kind: ruddertarget.OrderRelease},
				Reason{Code: CodeStaleRole, Group: role.Group, Text: "host reports a group that the plan does not list"})
		}
	}
	for _, p := range preloads(in, hosts) {
		add(p.host.Name, p.host.Address, ruddertarget.Order{Kind: ruddertarget.OrderPreload, Role: p.role},
			Reason{Code: CodePreload, Text: "window of selector " + p.selector + " opens soon"})
	}
	return append(out, fencingOrders(in, hosts, plan, out)...)
}

// fencingOrders returns orders that only raise the fencing number, for targets that check it and get no other
// order. Without them such a target would accept a delayed order of the previous planner.
func fencingOrders(in Input, hosts hostIndex, plan ruddergroup.Plan, others []Order) []Order {
	var out []Order
	for _, h := range in.Hosts {
		o := in.Observed[h.Name]
		if !hosts.settings[h.Name].ChecksFencing || h.Kind != rudderhost.KindEngine || !o.fresh(in.Timing) ||
			o.Status.HighestFencing >= in.Fencing || slices.ContainsFunc(others, func(x Order) bool { return x.Host == h.Name }) {
			continue
		}
		order := ruddertarget.Order{Kind: ruddertarget.OrderRelease, Fencing: in.Fencing, PlanSeq: plan.Seq, ExpectGroup: o.Status.Role.Group}
		if role := o.Status.Role; role.Group != "" {
			order.Kind = ruddertarget.OrderPreload // a no-op: the weights are already loaded
			order.Role = ruddertarget.Role{Model: role.Model, ModelVersion: role.ModelVersion, Adapters: role.Adapters}
		}
		out = append(out, Order{Host: h.Name, Address: h.Address, Order: order,
			Reason: Reason{Code: CodeFence, Host: h.Name, Text: "target has not seen this planner's fencing number"}})
	}
	return out
}

// roleOf returns the role of the member with the given rank.
func roleOf(g ruddergroup.Group, rank int) ruddertarget.Role {
	r := ruddertarget.Role{Group: g.ID, Rank: rank, Size: len(g.Members), Model: g.Model, ModelVersion: g.ModelVersion,
		Adapters: slices.Clone(g.Adapters)}
	for _, m := range g.Members {
		r.Members = append(r.Members, m.Address)
	}
	return r
}

// drained reports whether a draining group has no requests and can get none: DrainSettle has passed since the
// plan marked it draining, so that every entry host knows, and every member's load was sampled after that.
func drained(in Input, g ruddergroup.Group) bool {
	settled := time.UnixMilli(g.SinceUnixMS).Add(in.Timing.DrainSettle)
	if in.Now.Before(settled) || in.InFlight[g.ID] > 0 {
		return false
	}
	for _, m := range g.Members {
		o := in.Observed[m.Host]
		if !o.fresh(in.Timing) {
			return false
		}
		if g.Service == "" && o.Status.Role.Group != g.ID {
			continue // already released, or never assigned
		}
		if o.Status.Load.Running+o.Status.Load.Waiting > 0 || (!o.Status.Load.At.IsZero() && o.Status.Load.At.Before(settled)) {
			return false
		}
	}
	return true
}

// released reports whether a draining group has ended: it has no requests, and no member reports its role.
func (st *stepper) released(g ruddergroup.Group) bool {
	if !drained(st.in, g) {
		return false
	}
	return g.Service != "" || !slices.ContainsFunc(g.Members, func(m ruddergroup.Member) bool {
		return st.in.Observed[m.Host].Status.Role.Group == g.ID
	})
}

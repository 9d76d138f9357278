package rudderview

import (
	"cmp"
	"slices"
	"strconv"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/ruddertarget"
)

// PlanRecord is a stored plan with its revision.
type PlanRecord struct {
	Plan     rudderroster.Plan
	Revision int64
}

// Snapshot is one immutable picture of the fleet.
type Snapshot struct {
	// Table is nil until a routing document was read.
	Table   *rudderroute.Table
	Targets map[string]*Target
	// Entries in name order.
	Entries    []Entry
	Plans      map[string]PlanRecord // by key
	Suspicions map[string]Suspicion  // by key
	// PlannerHeld tells whether an entry host holds the planner's lease, and PlannerName which one.
	PlannerHeld bool
	PlannerName string
	Revision    int64

	groups map[string][]*Group // by service and model
}

// Groups lists the groups of a service that may take requests for a model. An empty model means any.
func (s *Snapshot) Groups(service, model string) []*Group {
	if model != "" {
		if groups := s.groups[groupKey(service, model)]; len(groups) > 0 {
			return groups
		}
	}
	return s.groups[groupKey(service, "")]
}

func groupKey(service, model string) string { return service + "\x00" + model }

// Suspected reports whether an entry host found this life of the target dead.
func (s *Snapshot) Suspected(t *Target) bool {
	for _, x := range s.Suspicions {
		if x.Target == t.Name && x.Born == t.Born {
			return true
		}
	}
	return false
}

// Ended reports whether a group cannot go on with the requests that it has: a member is dead or has started
// again, or the plan of its domain no longer holds it.
func (s *Snapshot) Ended(g *Group) bool {
	for _, m := range g.Members {
		if t := s.Targets[m.Name]; t != nil && t.Born != m.Born || s.Suspected(m) {
			return true
		}
	}
	return g.Model != "" && !s.planned(g)
}

// planned reports whether the plan of a group's domain holds it.
func (s *Snapshot) planned(g *Group) bool {
	record, known := s.Plans[PlanPrefix+g.Service+"/"+g.Leader.FabricDomain]
	if !known {
		return true
	}
	return slices.ContainsFunc(record.Plan.Groups, func(p rudderroster.Group) bool {
		return !p.Retiring && p.Name == g.Leader.Membership.Group && p.Epoch == g.Leader.Membership.Epoch
	})
}

// GroupID names one life of a group.
func GroupID(name string, epoch int64) string { return name + "@" + strconv.FormatInt(epoch, 10) }

// index derives the groups from the targets' own word.
func (s *Snapshot) index() {
	s.groups = map[string][]*Group{}
	members := map[string][]*Target{}
	for _, t := range s.Targets {
		if m := t.Membership; m.Group != "" {
			id := GroupID(m.Group, m.Epoch)
			members[id] = append(members[id], t)
		}
	}
	for _, t := range s.Targets {
		service := s.service(t.Service)
		switch {
		case service == nil || t.Leaving():
		case service.Engine == nil || len(service.Engine.Models) == 0:
			s.add(&Group{ID: t.Name, Service: t.Service, Leader: t, Members: []*Target{t}, Slots: t.Slots})
		default:
			if g := s.group(service, t, members); g != nil {
				s.add(g)
			}
		}
	}
	for _, groups := range s.groups {
		slices.SortFunc(groups, func(a, b *Group) int { return cmp.Compare(a.ID, b.ID) })
	}
}

func (s *Snapshot) service(name string) *rudderroute.Service {
	if s.Table == nil {
		return nil
	}
	return s.Table.Service(name)
}

func (s *Snapshot) add(g *Group) {
	s.groups[groupKey(g.Service, "")] = append(s.groups[groupKey(g.Service, "")], g)
	if g.Model != "" {
		s.groups[groupKey(g.Service, g.Model)] = append(s.groups[groupKey(g.Service, g.Model)], g)
	}
}

// group returns the group that t leads, or nil unless it is open and every member confirms it.
func (s *Snapshot) group(service *rudderroute.Service, t *Target, members map[string][]*Target) *Group {
	m := t.Membership
	if m.Group == "" || m.Rank != 0 || m.Phase != ruddertarget.GroupOpen {
		return nil
	}
	model, known := service.Engine.Model(t.Model)
	id := GroupID(m.Group, m.Epoch)
	if !known || len(members[id]) < model.Size {
		return nil
	}
	g := &Group{ID: id, Service: t.Service, Model: t.Model, Leader: t, Members: slices.Clone(members[id]), Slots: service.Engine.Slots}
	slices.SortFunc(g.Members, func(a, b *Target) int { return cmp.Compare(a.Membership.Rank, b.Membership.Rank) })
	for rank, member := range g.Members {
		if member.Membership.Rank != rank || s.Suspected(member) {
			return nil
		}
		g.Draining = g.Draining || member.Leaving()
	}
	if !s.planned(g) {
		return nil
	}
	return g
}

package rudderview

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"comfreyrudder.example/rudderd/rudderbalance"
	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/ruddertarget"
)

// PlanRecord is a stored plan with the revision of its record.
type PlanRecord struct {
	Plan     rudderroster.Plan
	Revision int64
	// Unsaved is set if a restore of the key-value service has lost this plan, or a malformed record has replaced it.
	// Revision is that of the record in its place, or 0.
	Unsaved bool
	// RetiringSince is the uptime at which this entry host first saw a group retiring, by GroupID, other than unconfirmed.
	RetiringSince map[string]time.Duration
}

// Snapshot is an immutable state of the fleet.
type Snapshot struct {
	// Table is nil until the first routing document is read.
	Table   *rudderroute.Table
	Targets map[string]*Target
	// Removed holds the targets whose records were removed recently. They may still serve: a target that lost its
	// connection to the key-value service loses its record too.
	Removed map[string]*Target
	// EntryHosts is sorted by name.
	EntryHosts []EntryHost
	Plans      map[string]PlanRecord // by key
	Suspicions map[string]Suspicion  // by key
	// PlannerHeld reports whether an entry host holds the planner lease; PlannerName is its name.
	PlannerHeld bool
	PlannerName string
	Revision    int64

	evacuated  map[string]bool        // data centres
	restored   map[string]Restoration // by data centre
	groups     map[string][]*Group    // by service and model
	partitions map[string]int         // number of partitions by service
}

// Partitions returns the number of partitions into which the groups of a service are divided, at least 1.
// Each has ledgers of its own.
func (s *Snapshot) Partitions(service string) int { return max(s.partitions[service], 1) }

// Groups returns the groups of a service that may take requests for a model, outside evacuated data centres. If the model is empty or unknown
// to the service, it returns the groups of all models.
func (s *Snapshot) Groups(service, model string) []*Group {
	if model != "" && s.hasModel(service, model) {
		return s.groups[groupKey(service, model)]
	}
	return s.groups[groupKey(service, "")]
}

func (s *Snapshot) hasModel(service, model string) bool {
	x := s.service(service)
	if x == nil || x.Engine == nil {
		return false
	}
	_, known := x.Engine.Model(model)
	return known
}

func groupKey(service, model string) string { return service + "\x00" + model }

// Known returns the target of a name: with a record, or removed lately. It is nil if there is none.
func (s *Snapshot) Known(name string) *Target {
	if t := s.Targets[name]; t != nil {
		return t
	}
	return s.Removed[name]
}

// Incarnation is Known for one incarnation of a target.
func (s *Snapshot) Incarnation(name string, born int64) *Target {
	if t := s.Known(name); t != nil && t.Born == born {
		return t
	}
	return nil
}

// Suspected reports whether entry hosts agree that this process of the target is dead.
func (s *Snapshot) Suspected(t *Target) bool {
	for _, x := range s.Suspicions {
		if x.Confirmed && x.Target == t.Name && x.Born == t.Born {
			return true
		}
	}
	return false
}

// Ended reports whether a group cannot finish its running requests: a member is dead or has restarted, or the
// plan of its fabric domain no longer contains the group.
func (s *Snapshot) Ended(g *Group) bool {
	return s.Gone(g) || slices.ContainsFunc(g.Members, s.Suspected)
}

// Gone reports whether a group has ended for certain. A member that is only suspected to be dead may go on.
func (s *Snapshot) Gone(g *Group) bool {
	for _, m := range g.Members {
		if t := s.Targets[m.Name]; t != nil && t.Born != m.Born {
			return true
		}
	}
	return g.Model != "" && !s.planned(g)
}

// planned reports whether the plan of a group's fabric domain contains the group. It is true if there is no plan.
func (s *Snapshot) planned(g *Group) bool {
	record, known := s.Plans[PlanPrefix+g.Service+"/"+g.Leader.FabricDomain]
	if !known {
		return true
	}
	return slices.ContainsFunc(record.Plan.Groups, func(p rudderroster.Group) bool {
		return (!p.Retiring || p.Unconfirmed) && p.Name == g.Leader.Membership.Group && p.Epoch == g.Leader.Membership.Epoch
	})
}

// GroupID identifies a group by name and epoch; a group that forms again under its name gets a new epoch.
func GroupID(name string, epoch int64) string { return name + "@" + strconv.FormatInt(epoch, 10) }

// index builds the lists of groups that may take requests: targets of plain services, and planned groups
// whose leader reports that it is open.
func (s *Snapshot) index() {
	s.groups = map[string][]*Group{}
	for _, t := range s.Targets {
		if service := s.service(t.Service); service != nil && service.Engine == nil && !t.Leaving() && !s.Evacuated(t.DataCentre) {
			s.add(&Group{ID: t.Name, Service: t.Service, Leader: t, Members: []*Target{t}, Slots: t.Slots})
		}
	}
	domains := map[string][]string{}
	for _, record := range s.Plans {
		domains[record.Plan.Service] = append(domains[record.Plan.Service], record.Plan.Domain)
	}
	s.partitions = map[string]int{}
	for name, list := range domains {
		if service := s.service(name); service != nil && service.Engine != nil {
			s.addPlanned(service, list)
		}
	}
	for _, groups := range s.groups {
		slices.SortFunc(groups, func(a, b *Group) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// addPlanned adds the groups that are in the plans of a service's fabric domains.
func (s *Snapshot) addPlanned(service *rudderroute.Service, domains []string) {
	partition, count := rudderbalance.PartitionDomains(domains)
	s.partitions[service.Name] = count
	for _, domain := range domains {
		for _, p := range s.Plans[PlanPrefix+service.Name+"/"+domain].Plan.Groups {
			if g := s.group(service, p); g != nil {
				g.Partition = partition[domain]
				s.add(g)
			}
		}
	}
}

// HasGroups reports whether the targets of a service form groups.
func (s *Snapshot) HasGroups(service string) bool {
	x := s.service(service)
	return x != nil && x.Engine != nil
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

// group returns a planned group if its leader is open and no member contradicts the plan, and else nil. The
// planner opens a leader only after every member has reported that it is ready. A member whose record was
// removed may still serve its group: the planner probes it, and ends the group if it does not answer.
func (s *Snapshot) group(service *rudderroute.Service, p rudderroster.Group) *Group {
	model, known := service.Engine.Model(p.Model)
	if p.Retiring || !known || len(p.Members) != model.Size || len(p.Members) == 0 {
		return nil
	}
	g := &Group{ID: GroupID(p.Name, p.Epoch), Service: service.Name, Model: p.Model, Slots: service.Engine.Slots}
	for rank, m := range p.Members {
		t, recorded := s.Targets[m.Target]
		if !recorded && rank > 0 {
			t = s.Removed[m.Target]
		}
		if t == nil || t.Born != m.Born || s.Suspected(t) {
			return nil
		}
		if own := t.Membership; recorded && (own.Group != p.Name || own.Epoch != p.Epoch || own.Rank != rank) {
			return nil
		}
		g.Draining = g.Draining || t.Leaving()
		g.Members = append(g.Members, t)
	}
	g.Leader = g.Members[0]
	if !s.isOpen(g.Leader) {
		return nil
	}
	return g
}

// isOpen reports whether the leader of a group takes new requests.
func (s *Snapshot) isOpen(leader *Target) bool {
	return !leader.Leaving() && leader.Membership.Phase == ruddertarget.GroupOpen && !s.Evacuated(leader.DataCentre)
}

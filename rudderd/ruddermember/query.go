package ruddermember

import (
	"slices"

	"comfreyrudder.example/rudderd/rudderpermit"
)

// Registry returns the known registry.
func (n *Node) Registry() Registry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.registry
}

// Members returns the registered entry hosts sorted by name, live or not.
func (n *Node) Members() []Member { return slices.Clone(n.Registry().Members) }

// Live returns the members that are neither suspected nor leaving, sorted by name. It includes this one if it
// is registered and not leaving.
func (n *Node) Live() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view().live()
}

// Alive returns the live members and those that are leaving, sorted by name.
func (n *Node) Alive() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view().alive()
}

// Entry returns the newest entry of a member, or false if there is none.
func (n *Node) Entry(name string) (Entry, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e, found := n.table.entries[memberID(name)]
	return e, found && e.name == name
}

// Acks returns the configuration versions that the other members report in their digests.
func (n *Node) Acks() []rudderpermit.Ack {
	n.mu.Lock()
	defer n.mu.Unlock()
	acks := make([]rudderpermit.Ack, 0, len(n.table.entries))
	for _, e := range n.table.entries {
		if e.hasConfig && e.name != n.Self.Name {
			acks = append(acks, rudderpermit.Ack{Member: e.name, Version: e.config, At: e.observed})
		}
	}
	return acks
}

// acknowledged returns the members that have adopted a registry version or a later one.
func (n *Node) acknowledged(version int64) map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	set := map[string]bool{}
	for _, e := range n.table.entries {
		if e.registry >= version && (e.hasConfig || version == 0) {
			set[e.name] = true
		}
	}
	return set
}

// Package rudderhost defines the interface to the platform's host list. The list can be out of date: it is a hint
// about which hosts exist and which are leaving, never proof that a host is alive.
package rudderhost

import "context"

// State is the state of a host according to the platform.
type State string

// States of a host in the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Kind is the kind of target that runs on a host.
type Kind string

// Kinds of hosts.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name         string `json:"name"`
	Address      string `json:"address"` // IP:port of the target
	Kind         Kind   `json:"kind"`
	Region       string `json:"region"`
	DataCentre   string `json:"data_centre"`
	FabricDomain string `json:"fabric_domain"`
	Accelerators int    `json:"accelerators"`
	State        State  `json:"state"`
	// Labels are set by the platform; operators' labels are in the configuration.
	Labels map[string]string `json:"labels,omitempty"`
}

// List reads the host list.
type List struct {
	// Hosts returns all hosts sorted by name.
	Hosts func(ctx context.Context) ([]Host, error)
}

// Package rudderhost is the port to the platform's list of hosts. The list lags: it is a hint about
// which hosts exist and which are leaving, never proof that a host is alive.
package rudderhost

import "context"

// State says what the platform knows about a host.
type State string

// States of a host in the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Kind says what runs on a host.
type Kind string

// Kinds of hosts.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Host is one line of the platform's host list.
type Host struct {
	Name         string            `json:"name"`
	Address      string            `json:"address"` // host:port of the target, by IP number
	Kind         Kind              `json:"kind"`
	Region       string            `json:"region"`
	DataCentre   string            `json:"data_centre"`
	FabricDomain string            `json:"fabric_domain"`
	Accelerators int               `json:"accelerators"`
	State        State             `json:"state"`
	Labels       map[string]string `json:"labels,omitempty"` // labels set by the platform; operators' labels are in the configuration
}

// List reads the host list.
type List struct {
	// Hosts returns all hosts in name order.
	Hosts func(ctx context.Context) ([]Host, error)
}

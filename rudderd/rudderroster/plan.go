// Package rudderroster defines the stored plan of a fabric domain for services whose groups form in two steps,
// join and open.
package rudderroster

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Member is one target of a group.
type Member struct {
	Target string `json:"target"`
	Born   int64  `json:"born"` // identifies the incarnation of the target
}

// Group is one planned group. The members of a name and epoch never change.
type Group struct {
	Name    string   `json:"name"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []Member `json:"members"` // in rank order
	// Retiring groups get no new requests. Their members are free once the leader has ended the group.
	Retiring bool   `json:"retiring,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// Unconfirmed is set with Retiring while the group may still serve: its leader does not answer, but that has not been
	// confirmed. Its running requests go on.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// Names returns the names of the members in rank order.
func (g Group) Names() []string {
	names := make([]string, len(g.Members))
	for i, m := range g.Members {
		names[i] = m.Target
	}
	return names
}

// Plan is the plan of one service in one fabric domain.
type Plan struct {
	Service string  `json:"service"`
	Domain  string  `json:"domain"`
	Groups  []Group `json:"groups"`
	// Serial rises with each change of the plan, also across a restore of the key-value service.
	Serial int64 `json:"serial,omitempty"`
}

// Key returns the key of the plan below the prefix of all plans.
func (p Plan) Key() string { return p.Service + "/" + p.Domain }

// Encode returns the plan as JSON, as it is stored.
func (p Plan) Encode() ([]byte, error) { return json.Marshal(p) }

// Decode parses a stored plan.
func Decode(value []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(value, &p); err != nil {
		return Plan{}, errors.Wrap(err, "decode plan")
	}
	return p, nil
}

// Package rudderroster holds the stored form of the plan of one fabric domain whose groups are formed
// in two steps, join and open.
package rudderroster

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Member is one target of a group in one of its lives.
type Member struct {
	Target string `json:"target"`
	Born   int64  `json:"born"`
}

// Group is one planned group. Its name and epoch name one list of members for all time.
type Group struct {
	Name    string   `json:"name"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []Member `json:"members"` // in rank order
	// Retiring groups take no work; their members are free when the leader has let go.
	Retiring bool   `json:"retiring,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Names lists the members' names in rank order.
func (g Group) Names() []string {
	names := make([]string, len(g.Members))
	for i, m := range g.Members {
		names[i] = m.Target
	}
	return names
}

// Plan of one fabric domain of one service.
type Plan struct {
	Service string  `json:"service"`
	Domain  string  `json:"domain"`
	Groups  []Group `json:"groups"`
}

// Key of a plan below the prefix of all plans.
func (p Plan) Key() string { return p.Service + "/" + p.Domain }

// Encode returns the stored form.
func (p Plan) Encode() ([]byte, error) { return json.Marshal(p) }

// Decode reads the stored form.
func Decode(value []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(value, &p); err != nil {
		return Plan{}, errors.Wrap(err, "plan")
	}
	return p, nil
}

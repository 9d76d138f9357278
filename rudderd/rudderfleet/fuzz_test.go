package rudderfleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/ruddergroup"
)

// Guards against a stored plan that crashes its readers, or whose groups serve without confirmations.
func FuzzPlan(f *testing.F) {
	f.Add([]byte(`{"domain":"d","seq":3,"fencing":2,"groups":[{"id":"g","state":"serving","members":[{"host":"a","address":"127.0.0.1:1"}]}]}`))
	f.Add([]byte(`{"domain":"d","groups":[{"id":"","state":"serving","members":[]}]}`))
	f.Add([]byte(`{"domain":"d","seq":-1,"groups":[{"state":"serving"},{"state":"serving"}]}`))
	f.Add([]byte(`{"groups":[{"id":"g","members":[{"host":"a"},{"host":"a"}],"state":"?"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var plan ruddergroup.Plan
		if json.Unmarshal(raw, &plan) != nil {
			return
		}
		fleet := &Fleet{ConfirmTTL: time.Second}
		fleet.ObservePlan(plan)
		fleet.ObservePlan(plan)
		for _, g := range plan.Groups {
			_ = g.Leader()
		}
		require.Empty(t, fleet.Serving(time.UnixMilli(1_800_000_000_000), Filter{}), "nothing was confirmed")
	})
}

package rudderconfig

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderhost"
)

// Verifies that operator labels override the platform's labels but not the built-in ones.
func TestLabelsOf(t *testing.T) {
	d := Document{Hosts: []HostSettings{{Name: "h1", Labels: map[string]string{"pool": "b", "region": "fake"}}}}
	h := rudderhost.Host{Name: "h1", Region: "kigali", Kind: rudderhost.KindEngine, FabricDomain: "d1",
		Labels: map[string]string{"pool": "a", "rack": "r"}}
	require.Equal(t, map[string]string{"pool": "b", "rack": "r", "region": "kigali", "kind": "engine",
		"name": "h1", "fabric_domain": "d1", "data_centre": ""}, d.LabelsOf(h))
}

// Covers every label operator, for hosts with and without the label. An unknown operator matches no host.
func TestMatches(t *testing.T) {
	with, without := map[string]string{"pool": "a"}, map[string]string{"x": "y"}
	tests := []struct {
		requirement   LabelRequirement
		with, without bool
	}{
		{LabelRequirement{"pool", OperatorIn, []string{"a", "b"}}, true, false},
		{LabelRequirement{"pool", OperatorIn, []string{"b"}}, false, false},
		{LabelRequirement{"pool", OperatorNotIn, []string{"a"}}, false, true},
		{LabelRequirement{"pool", OperatorNotIn, []string{"b"}}, true, true},
		{LabelRequirement{"pool", OperatorExists, nil}, true, false},
		{LabelRequirement{"pool", OperatorDoesNotExist, nil}, false, true},
		{LabelRequirement{"pool", "Like", nil}, false, false},
	}
	for _, tt := range tests {
		s := Selector{MatchExpressions: []LabelRequirement{tt.requirement}}
		require.Equal(t, tt.with, s.Matches(with), "%v", tt.requirement)
		require.Equal(t, tt.without, s.Matches(without), "%v", tt.requirement)
	}
	require.False(t, Selector{MatchLabels: map[string]string{"pool": "a", "rack": "r"}}.Matches(with))
}

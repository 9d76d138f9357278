package rudderconfig

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderhost"
)

// Verifies that no labels or requirements make the matcher panic, and that opposite operators give opposite results.
func FuzzSelectorMatches(f *testing.F) {
	f.Add([]byte(`{"match_labels":{"pool":"a"},"match_expressions":[{"key":"rack","operator":"In","values":["r"]}]}`), "pool", "a")
	f.Add([]byte(`{"match_expressions":[{"key":"","operator":"Exists"}]}`), "", "")
	f.Add([]byte(`{"match_expressions":[{"key":"region","operator":"NotIn","values":null}]}`), "region", "kigali")
	f.Fuzz(func(t *testing.T, text []byte, key, value string) {
		var s Selector
		if json.Unmarshal(text, &s) != nil {
			return
		}
		d := Document{Hosts: []HostSettings{{Name: "h", Labels: map[string]string{key: value}}}}
		labels := d.LabelsOf(rudderhost.Host{Name: "h", Region: "kigali", Kind: rudderhost.KindEngine})
		require.Equal(t, "kigali", labels["region"], "operator label overrode a built-in label")
		matched := s.Matches(labels)
		require.Equal(t, matched, s.Matches(labels))
		for _, r := range s.MatchExpressions {
			with := func(operator LabelOperator) bool {
				r.Operator = operator
				return Selector{MatchExpressions: []LabelRequirement{r}}.Matches(labels)
			}
			require.NotEqual(t, with(OperatorIn), with(OperatorNotIn))
			require.NotEqual(t, with(OperatorExists), with(OperatorDoesNotExist))
		}
	})
}

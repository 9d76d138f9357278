package rudderconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderhost"
)

func hashOf(digit string) string { return strings.Repeat(digit, 64) }

// validDocument returns a document without findings, with selectors for models and for a plain service.
func validDocument() Document {
	return Document{
		Models:     []Model{{Name: "season", Version: "1", SlotsPerGroup: 8}},
		Services:   []Service{{Name: "booking", Firm: "studios", Idempotent: []IdempotencyRule{{Method: "GET", Path: "/booths/*"}}}},
		Workspaces: []Workspace{{Name: "agents", Firm: "studios", KeyHashes: []string{hashOf("a")}}, {Name: "clerks", Firm: "umuvumu", KeyHashes: []string{hashOf("b")}}},
		Operators:  []Operator{{Name: "op", TokenHash: hashOf("c"), Role: RoleAdmin}},
		Objectives: []Objective{{Firm: "umuvumu", Availability: 0.999}},
		Selectors: []Selector{
			{Name: "day", Firm: "umuvumu", GroupSize: 8, Model: "season", Windows: []Window{{From: "07:00", To: "18:00", TimeZone: "Africa/Kigali"}}},
			{Name: "night", Firm: "studios", GroupSize: 8, Model: "season", Windows: []Window{{From: "18:00", To: "07:00", TimeZone: "Africa/Kigali"}}},
			{Name: "booking", Firm: "studios", GroupSize: 1, Service: "booking", Priority: 5},
		},
	}
}

// Verifies that each kind of invalid document is rejected, with the finding at the path of the invalid field.
func TestValidateReportsEachFinding(t *testing.T) {
	require.Empty(t, Validate(validDocument()))
	requirement := func(key string, o LabelOperator, values ...string) LabelRequirement {
		return LabelRequirement{Key: key, Operator: o, Values: values}
	}
	share := 1.5
	cases := []struct {
		change func(*Document)
		want   string
	}{
		{func(d *Document) { d.Selectors[0].Model = "other" }, "error selectors[0].model unknown_reference"},
		{func(d *Document) { d.Selectors[0].ModelVersion = "9" }, "error selectors[0].model_version unknown_reference"},
		{func(d *Document) { d.Selectors[0].Service = "booking" }, "error selectors[0] value"},
		{func(d *Document) { d.Selectors[2].Service = "other" }, "error selectors[2].service unknown_reference"},
		{func(d *Document) { d.Selectors[2].Firm = "umuvumu" }, "error selectors[2].service other_firm"},
		{func(d *Document) { d.Selectors[2].GroupSize = 2 }, "error selectors[2].group_size range"},
		{func(d *Document) { d.Selectors[0].Workspaces = []string{"agents"} }, "error selectors[0].workspaces[0] other_firm"},
		{func(d *Document) { d.Selectors[0].Workspaces = []string{"nobody"} }, "error selectors[0].workspaces[0] unknown_reference"},
		{func(d *Document) { d.Selectors[0].Firm = "nobody" }, "error selectors[0].firm unknown_reference"},
		{func(d *Document) { d.Selectors[0].GroupSize = 0 }, "error selectors[0].group_size range"},
		{func(d *Document) { d.Selectors[0].WantedGroups = -1 }, "error selectors[0].wanted_groups range"},
		{func(d *Document) { d.Selectors[0].ShortShare = &share }, "error selectors[0].short_share range"},
		{func(d *Document) { d.Selectors[0].Classes = []WorkClass{"huge"} }, "error selectors[0].classes[0] value"},
		{func(d *Document) { d.Selectors[0].Windows[0].TimeZone = "Africa/Nowhere" }, "error selectors[0].windows[0] window"},
		{func(d *Document) { d.Selectors[0].Windows[0].From = "25:00" }, "error selectors[0].windows[0] window"},
		{func(d *Document) {
			d.Selectors[0].MatchLabels = map[string]string{"rack": "a"}
			d.Selectors[0].MatchExpressions = []LabelRequirement{requirement("rack", OperatorNotIn, "a", "b")}
		}, "error selectors[0] never_matches"},
		{func(d *Document) {
			d.Selectors[0].MatchExpressions = []LabelRequirement{requirement("rack", OperatorExists), requirement("rack", OperatorDoesNotExist)}
		}, "error selectors[0] never_matches"},
		{func(d *Document) {
			d.Selectors[0].MatchExpressions = []LabelRequirement{requirement("rack", "Near")}
		}, "error selectors[0].match_expressions[0].operator value,error selectors[0] never_matches"},
		{func(d *Document) { d.Selectors[1].Windows[0].From = "17:45" }, "warning selectors[1] overlap"},
		{func(d *Document) { d.Selectors[2].Priority = 0 }, ""},
		{func(d *Document) {
			d.Selectors[1].Windows[0].From = "17:45"
			d.Selectors[0].MatchLabels = map[string]string{"rack": "a"}
			d.Selectors[1].MatchLabels = map[string]string{"rack": "b"}
		}, ""},
		{func(d *Document) { d.Workspaces[1].Name = "agents" }, "error workspaces[1].name duplicate"},
		{func(d *Document) { d.Workspaces[1].KeyHashes[0] = hashOf("a") }, "error workspaces[1].key_hashes[0] duplicate"},
		{func(d *Document) { d.Workspaces[1].KeyHashes[0] = "secret" }, "error workspaces[1].key_hashes[0] hash"},
		{func(d *Document) { d.Workspaces[1].KeyHashes = nil }, "warning workspaces[1].key_hashes no_effect"},
		{func(d *Document) { d.Workspaces[0].Preset = "fast" }, "error workspaces[0].preset value"},
		{func(d *Document) { d.Workspaces[0].Limits.Concurrent = -1 }, "error workspaces[0].limits.concurrent range"},
		{func(d *Document) { d.Services[0].Idempotent[0].Path = "[" }, "error services[0].idempotent[0].path pattern"},
		{func(d *Document) { d.EvacuatedDataCentres = []string{"a", "b/c", "a"} }, "error evacuated_data_centres[1] name,error evacuated_data_centres[2] duplicate"},
		{func(d *Document) { d.Operators[0].Role = "king" }, "error operators[0].role value"},
		{func(d *Document) { d.Objectives[0].Availability = 99.9 }, "error objectives[0].availability range"},
		{func(d *Document) { d.Models[0].SlotsPerGroup = 0; d.Models[0].Name = "a b" }, "error models[0].name name,error models[0].slots_per_group range,error selectors[0].model unknown_reference,error selectors[1].model unknown_reference"},
	}
	for _, c := range cases {
		d := validDocument()
		c.change(&d)
		var got []string
		for _, f := range Validate(d) {
			got = append(got, fmt.Sprintf("%s %s %s", f.Severity, f.Path, f.Rule))
		}
		require.Equal(t, c.want, strings.Join(got, ","))
	}
}

// Verifies that a selector that needs more hosts than exist gets a warning. Without it, operators would not learn why
// no group forms.
func TestCheckAgainstHosts(t *testing.T) {
	var hosts []rudderhost.Host
	for i := range 12 {
		hosts = append(hosts, rudderhost.Host{Name: fmt.Sprint("h", i), FabricDomain: fmt.Sprint("d", i/6), State: rudderhost.StateLive, Kind: rudderhost.KindEngine})
	}
	cases := []struct {
		selector Selector
		want     Rule
	}{
		{Selector{GroupSize: 6, WantedGroups: 2}, ""},
		{Selector{GroupSize: 6, WantedGroups: 3}, RuleNotEnoughHosts},
		{Selector{GroupSize: 7}, RuleNotEnoughHosts},
		{Selector{GroupSize: 1, Service: "booking"}, RuleNeverMatches},
		{Selector{GroupSize: 1, MatchLabels: map[string]string{"rack": "a"}}, RuleNeverMatches},
	}
	for _, c := range cases {
		var got Rule
		for _, f := range CheckAgainstHosts(Document{Selectors: []Selector{c.selector}}, hosts) {
			got = f.Rule
		}
		require.Equal(t, c.want, got, "%+v", c.selector)
	}
}

// Verifies that applying a partial document loses no items, and the text format of differences.
func TestMergeAndDiff(t *testing.T) {
	partial, err := Parse([]byte("summary: more booths\nselectors:\n- {name: booking, firm: studios, group_size: 1, service: booking, priority: 7}\n- {name: extra, firm: studios, group_size: 8, model: season, priority: 9}\n"))
	require.NoError(t, err)
	base := validDocument()
	base.Version = 4
	merged := Merge(base, partial)
	require.Equal(t, int64(4), merged.Version)
	require.Len(t, merged.Selectors, 4)
	require.Empty(t, Validate(merged))
	require.Equal(t, 5, base.Selectors[2].Priority, "the base is not changed")
	merged.Services = nil
	require.Equal(t, strings.Join([]string{
		"~ selectors booking", "    priority: 5 -> 7", "+ selectors extra", "- services booking",
	}, "\n"), DiffText(Diff(base, merged)))
}

// Verifies that no input makes the parser or the validation panic, that every parse error matches ErrParse, and that a
// document does not differ from itself or from its merge with an empty document.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":1,"hosts":[{"name":"a","labels":{"rack":"1"}}]}`))
	f.Add([]byte("selectors:\n- name: day\n  group_size: 8\n  windows: [{from: '07:00', to: '18:00', time_zone: Africa/Kigali}]\n"))
	f.Add([]byte("# comment\n---\nmodels: [{name: m, version: '1', slots_per_group: 8}]\n"))
	f.Add([]byte("workspaces: [{name: w, firm: f, key_hashes: [ab]}]\nobjectives: [{firm: f, availability: .nan}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data)
		if err != nil {
			require.ErrorIs(t, err, ErrParse)
			return
		}
		_ = Validate(d)
		require.Empty(t, Diff(d, d))
		require.Empty(t, Diff(d, Merge(d, Document{})))
	})
}

// Verifies that misspelt fields, duplicate fields and additional documents are rejected instead of silently ignored.
func TestParseIsStrict(t *testing.T) {
	for _, text := range []string{"selector: []", "version: 1\nversion: 2", "version: x", "version: 1\n---\nversion: 2", "hosts: [{nam: a}]"} {
		_, err := Parse([]byte(text))
		require.ErrorIs(t, err, ErrParse, text)
	}
	for _, text := range []string{"", "---\nversion: 1\n", `{"version": 1}`} {
		_, err := Parse([]byte(text))
		require.NoError(t, err, text)
	}
}

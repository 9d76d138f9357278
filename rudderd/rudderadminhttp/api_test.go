package rudderadminhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderchange"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderstore"
)

// fakeConfig holds the configuration and puts each change in force at once.
type fakeConfig struct {
	mu       sync.Mutex
	document *rudderconfig.Document
	// conflict makes each change fail because another operator's change was written first.
	conflict bool
	state    rudderchange.State
}

func (f *fakeConfig) current() *rudderconfig.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

func (f *fakeConfig) change(_ context.Context, expected int64, d *rudderconfig.Document, author, summary string) (rudderchange.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conflict {
		return rudderchange.Result{Version: expected + 1, ChangedBy: "other", Summary: "label host h9"}, rudderchange.ErrConflict
	}
	d.Version, d.ChangedBy, d.Summary = expected+1, author, summary
	f.document = d
	return rudderchange.Result{Version: d.Version, State: f.state, Missing: []string{"entry-3"}}, nil
}

func testServer(t *testing.T) (*httptest.Server, *fakeConfig) {
	t.Helper()
	f := &fakeConfig{state: rudderchange.StateAccepted, document: &rudderconfig.Document{
		Version: 7, ChangedBy: "ada", Summary: "first",
		Operators: []rudderconfig.Operator{
			{Name: "ada", TokenHash: rudderconfig.HashSecret("token-admin"), Role: rudderconfig.RoleAdmin},
			{Name: "eve", TokenHash: rudderconfig.HashSecret("token-editor"), Role: rudderconfig.RoleEditor, Firms: []string{"umuvumu"}},
			{Name: "vic", TokenHash: rudderconfig.HashSecret("token-viewer"), Role: rudderconfig.RoleViewer},
		},
		Selectors:  []rudderconfig.Selector{{Name: "notes", Firm: "umuvumu", Model: "m", GroupSize: 2}, {Name: "cues", Firm: "vercheres", Model: "m", GroupSize: 2}},
		Workspaces: []rudderconfig.Workspace{{Name: "kigali", Firm: "umuvumu", KeyHashes: []string{rudderconfig.HashSecret("k")}}},
	}}
	api := &API{
		Clock: clockwork.NewFakeClock(), Logger: zerolog.Nop(), Current: f.current, Change: f.change,
		Validate: func(_ context.Context, d *rudderconfig.Document) []rudderadmin.Finding {
			var findings []rudderadmin.Finding
			for _, s := range d.Selectors {
				if s.GroupSize < 1 {
					findings = append(findings, rudderadmin.Finding{Severity: "error", Path: "selectors." + s.Name, Message: "group_size below 1"})
				}
			}
			return findings
		},
		Parse: func(text []byte) (*rudderconfig.Document, error) {
			var d rudderconfig.Document
			return &d, json.Unmarshal(text, &d)
		},
		Merge: func(base, _ *rudderconfig.Document) *rudderconfig.Document { return base },
		Diff: func(before, after *rudderconfig.Document) []string {
			if equalJSON(before, after) {
				return nil
			}
			return []string{"changed"}
		},
		Version: func(_ context.Context, version int64) (*rudderconfig.Document, error) {
			if version == 5 {
				return &rudderconfig.Document{
					Version: 5, Hosts: []rudderconfig.HostSettings{{Name: "h5"}},
					Operators:  []rudderconfig.Operator{{Name: "old", TokenHash: rudderconfig.HashSecret("token-old"), Role: rudderconfig.RoleAdmin}},
					Workspaces: []rudderconfig.Workspace{{Name: "kigali", Firm: "umuvumu", KeyHashes: []string{rudderconfig.HashSecret("revoked")}}, {Name: "gone", Firm: "umuvumu", KeyHashes: []string{rudderconfig.HashSecret("gone")}}},
				}, nil
			}
			return nil, errors.Wrap(rudderstore.ErrNotFound, "history")
		},
		Hosts: func(context.Context) ([]rudderadmin.Host, error) {
			return []rudderadmin.Host{{Name: "h1", DataCentre: "kigali-1"}}, nil
		},
		Explain: func(context.Context, string) (rudderadmin.Explanation, bool, error) {
			return rudderadmin.Explanation{}, false, nil
		},
		ForgetEntryHost: func(_ context.Context, entry string) error {
			if entry == "entry-1" {
				return ruddermember.ErrLiveMember
			}
			return ruddermember.ErrUnknownMember
		},
		BootstrapTokenHash: rudderconfig.HashSecret("token-bootstrap"),
	}
	server := echo.New()
	api.Register(server)
	s := httptest.NewServer(server)
	t.Cleanup(s.Close)
	return s, f
}

func call(t *testing.T, s *httptest.Server, method, path, token, version, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, s.URL+rudderadmin.PathPrefix+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	if version != "" {
		request.Header.Set("If-Match", version)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

// Guards against calls that change the configuration although they must not, and against errors without a code
// and a next step.
func TestRefusedCallsChangeNothing(t *testing.T) {
	label := `{"set":{"tier":"fast"}}`
	tests := []struct {
		name, method, path, token, version, body string
		status                                   int
		code                                     string
	}{
		{"unknown token", "GET", "/config", "nobody", "", "", 401, "unauthorized"},
		{"bootstrap token beside operators", "GET", "/config", "token-bootstrap", "", "", 401, "unauthorized"},
		{"editor forgets an entry host", "DELETE", "/entries/entry-1", "token-editor", "", "", 403, "forbidden"},
		{"forget an unknown entry host", "DELETE", "/entries/entry-9", "token-admin", "", "", 404, "not_found"},
		{"forget a live entry host", "DELETE", "/entries/entry-1", "token-admin", "", "", 409, "invalid"},
		{"viewer changes", "PATCH", "/hosts/h1/labels", "token-viewer", "", label, 403, "forbidden"},
		{"editor changes another firm", "DELETE", "/selectors/cues", "token-editor", "", "", 403, "forbidden"},
		{"editor makes an operator", "PUT", "/config", "token-editor", "", `{"operators":[{"name":"eve","role":"admin"}]}`, 403, "forbidden"},
		{"editor declares fencing", "PUT", "/hosts/h1/fencing", "token-editor", "", "", 403, "forbidden"},
		{"editor evacuates", "PUT", "/data-centres/kigali-1/evacuation", "token-editor", "", "", 403, "forbidden"},
		{"evacuation of an unknown data centre", "PUT", "/data-centres/kigali-9/evacuation", "token-admin", "", "", 404, "not_found"},
		{"restore of one that is not evacuated", "DELETE", "/data-centres/kigali-1/evacuation", "token-admin", "", "", 200, ""},
		{"unknown host", "PATCH", "/hosts/h2/labels", "token-admin", "", label, 404, "not_found"},
		{"unknown selector", "DELETE", "/selectors/none", "token-admin", "", "", 404, "not_found"},
		{"unknown version", "GET", "/config/history/3", "token-admin", "", "", 404, "not_found"},
		{"version not a number", "GET", "/config/history/x", "token-admin", "", "", 400, "invalid"},
		{"older version", "PATCH", "/hosts/h1/labels", "token-admin", "6", label, 409, "conflict"},
		{"not JSON", "PATCH", "/hosts/h1/labels", "token-admin", "", "{", 400, "invalid"},
		{"invalid document", "PUT", "/selectors/notes", "token-admin", "", `{"name":"notes","firm":"umuvumu"}`, 422, "invalid"},
		{"name differs", "PUT", "/selectors/notes", "token-admin", "", `{"name":"other"}`, 400, "invalid"},
		{"rollback to an unknown version", "POST", "/config/rollback?version=3", "token-admin", "", "", 404, "not_found"},
		{"editor rolls other parts back", "POST", "/config/rollback?version=5", "token-editor", "", "", 403, "forbidden"},
		{"wrong method", "DELETE", "/config", "token-admin", "", "", 405, "method_not_allowed"},
		{"encoded slash in a name", "PATCH", "/hosts/h1%2F..%2Fh1/labels", "token-admin", "", label, 404, "not_found"},
		{"dry run with another word", "PATCH", "/hosts/h1/labels?dry_run=yes", "token-admin", "", label, 400, "invalid"},
		{"misspelt field", "PATCH", "/hosts/h1/labels", "token-admin", "", `{"sett":{"tier":"fast"}}`, 400, "invalid"},
		{"two values", "PATCH", "/hosts/h1/labels", "token-admin", "", label + label, 400, "invalid"},
		{"body too large", "PUT", "/config", "token-admin", "", strings.Repeat(" ", maxDocumentBytes+1), 413, "invalid"},
		{"nothing to change", "PUT", "/selectors/notes", "token-admin", "", `{"name":"notes","firm":"umuvumu","model":"m","group_size":2,"priority":0,"wanted_groups":0}`, 200, ""},
		{"dry run", "PATCH", "/hosts/h1/labels?dry_run=true", "token-admin", "", label, 200, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, f := testServer(t)
			status, body := call(t, s, test.method, test.path, test.token, test.version, test.body)
			require.Equal(t, test.status, status, body)
			require.Equal(t, int64(7), f.current().Version)
			if test.code == "" {
				return
			}
			var failure rudderadmin.Error
			require.NoError(t, json.Unmarshal([]byte(body), &failure))
			require.Equal(t, test.code, failure.Code)
			require.NotEmpty(t, failure.NextStep)
		})
	}
}

// Guards against a conflict error that does not name the change that was written first.
func TestConflictNamesTheEarlierChange(t *testing.T) {
	s, f := testServer(t)
	f.conflict = true
	status, body := call(t, s, "PATCH", "/hosts/h1/labels", "token-admin", "7", `{"set":{"a":"b"}}`)
	require.Equal(t, 409, status)
	require.Contains(t, body, `"changed_by":"other"`)
	require.Contains(t, body, "label host h9")
}

// Guards against a pending change that is reported as accepted, and against changes that lose other settings of
// the same item.
func TestChanges(t *testing.T) {
	s, f := testServer(t)
	f.state = rudderchange.StatePending
	status, body := call(t, s, "PATCH", "/hosts/h1/labels", "token-editor", "7", `{"set":{"tier":"fast"}}`)
	require.Equal(t, 202, status, body)
	require.Contains(t, body, `"missing":["entry-3"]`)

	f.state = rudderchange.StateAccepted
	status, _ = call(t, s, "PUT", "/hosts/h1/drain", "token-admin", "", "")
	require.Equal(t, 200, status)
	require.Equal(t, rudderconfig.HostSettings{Name: "h1", Labels: map[string]string{"tier": "fast"}, Drain: true}, f.current().Hosts[0])
	require.Equal(t, "drain host h1", f.current().Summary)

	status, _ = call(t, s, "PUT", "/hosts/h1/fencing", "token-admin", "", "")
	require.Equal(t, 200, status)
	require.Equal(t, rudderconfig.HostSettings{Name: "h1", Labels: map[string]string{"tier": "fast"}, Drain: true, ChecksFencing: true}, f.current().Hosts[0])

	status, body = call(t, s, "POST", "/workspaces/kigali/keys", "token-editor", "", "")
	require.Equal(t, 200, status, body)
	var made rudderadmin.NewKey
	require.NoError(t, json.Unmarshal([]byte(body), &made))
	require.Equal(t, []string{rudderconfig.HashSecret("k"), rudderconfig.HashSecret(made.Key)}, f.current().Workspaces[0].KeyHashes)

	status, _ = call(t, s, "PUT", "/workspaces/kigali", "token-editor", "", `{"name":"kigali","firm":"umuvumu","key_hashes":["hidden"],"weight":3}`)
	require.Equal(t, 200, status)
	require.Len(t, f.current().Workspaces[0].KeyHashes, 2, "a workspace sent back without its hashes keeps them")
}

// Guards against hashes of keys and tokens in responses to operators who are not admins.
func TestHashesAreHidden(t *testing.T) {
	s, _ := testServer(t)
	for _, path := range []string{"/config", "/workspaces"} {
		_, body := call(t, s, "GET", path, "token-viewer", "", "")
		require.NotContains(t, body, rudderconfig.HashSecret("k"))
		require.NotContains(t, body, rudderconfig.HashSecret("token-admin"))
	}
}

// Guards against a new deployment that cannot be configured, and against a bootstrap token that stays valid once
// the configuration names operators.
func TestBootstrap(t *testing.T) {
	s, f := testServer(t)
	first := f.document
	f.document = nil
	body, err := json.Marshal(first)
	require.NoError(t, err)
	status, text := call(t, s, "PUT", "/config", "token-bootstrap", "", string(body))
	require.Equal(t, 200, status, text)
	require.Equal(t, int64(1), f.current().Version)
	status, _ = call(t, s, "GET", "/config", "token-bootstrap", "", "")
	require.Equal(t, 401, status)
}

// Guards against a rollback that restores removed keys and tokens, ends an evacuation, or reuses the earlier version number.
func TestRollbackKeepsCredentials(t *testing.T) {
	s, f := testServer(t)
	status, _ := call(t, s, "PUT", "/data-centres/kigali-1/evacuation", "token-admin", "7", "")
	require.Equal(t, 200, status)
	require.Equal(t, "evacuate data centre kigali-1", f.current().Summary)
	operators := f.current().Operators
	status, body := call(t, s, "POST", "/config/rollback?version=5", "token-admin", "", "")
	require.Equal(t, 200, status, body)
	current := f.current()
	require.Equal(t, int64(9), current.Version)
	require.Equal(t, []string{"kigali-1"}, current.EvacuatedDataCentres)
	require.Equal(t, "go back to version 5", current.Summary)
	require.Equal(t, "h5", current.Hosts[0].Name)
	require.Equal(t, operators, current.Operators)
	require.Equal(t, []string{rudderconfig.HashSecret("k")}, current.Workspaces[0].KeyHashes)
	require.Empty(t, current.Workspaces[1].KeyHashes)
}

// Guards against a summary of the operator that is recorded for some kinds of changes only.
func TestChangeRecordsTheOperatorsSummary(t *testing.T) {
	s, f := testServer(t)
	status, body := call(t, s, "PUT", "/hosts/h1/drain?summary=new+fan", "token-admin", "", "")
	require.Equal(t, 200, status, body)
	require.Equal(t, "new fan", f.current().Summary)
}

package rudderctlapp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderadmin"
)

// recorded is one request that a fake entry host received.
type recorded struct {
	method, path, query, version, token, body string
}

// fakeEntry starts a fake entry host that answers every request with the given status and body, and records
// the requests.
func fakeEntry(t *testing.T, status int, answer any) (address string, calls *[]recorded) {
	t.Helper()
	calls = &[]recorded{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		*calls = append(*calls, recorded{r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Get("If-Match"), r.Header.Get("Authorization"), body.String()})
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), calls
}

func execute(admin, stdin string, arguments ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	environment := map[string]string{"RUDDER_ADMIN": admin, "RUDDER_TOKEN": "t"}
	code = Execute(arguments, strings.NewReader(stdin), &out, &errs, func(name string) (string, bool) {
		value, ok := environment[name]
		return value, ok
	})
	return code, out.String(), errs.String()
}

// Guards against commands that send the wrong method, path, query or body.
func TestCommandsSendTheirCalls(t *testing.T) {
	file := filepath.Join(t.TempDir(), "selector.yaml")
	require.NoError(t, os.WriteFile(file, []byte("name: night\nfirm: umuvumu\ngroup_size: 2\n"), 0o600))
	tests := []struct {
		arguments    []string
		method, path string
		query, body  string
	}{
		{[]string{"host", "label", "h1", "a=b", "c-"}, "PATCH", "/hosts/h1/labels", "", `{"set":{"a":"b"},"remove":["c"]}`},
		{[]string{"drain", "h1", "--dry-run"}, "PUT", "/hosts/h1/drain", "dry_run=true", ""},
		{[]string{"host", "fencing", "h1"}, "PUT", "/hosts/h1/fencing", "", ""},
		{[]string{"host", "fencing", "h1", "--off"}, "DELETE", "/hosts/h1/fencing", "", ""},
		{[]string{"undrain", "h1"}, "DELETE", "/hosts/h1/drain", "", ""},
		{[]string{"data-centre", "evacuate", "kgl-2", "--dry-run"}, "PUT", "/data-centres/kgl-2/evacuation", "dry_run=true", ""},
		{[]string{"data-centre", "restore", "kgl-2"}, "DELETE", "/data-centres/kgl-2/evacuation", "", ""},
		{[]string{"selector", "apply", "-f", file, "--summary", "x"}, "PUT", "/selectors/night", "summary=x", `"group_size":2`},
		{[]string{"selector", "delete", "night"}, "DELETE", "/selectors/night", "", ""},
		{[]string{"apply", "-f", file}, "POST", "/config/apply", "", "name: night"},
		{[]string{"apply", "-f", file, "--replace"}, "PUT", "/config", "", "name: night"},
		{[]string{"config", "rollback", "5", "--dry-run"}, "POST", "/config/rollback", "dry_run=true&version=5", ""},
		{[]string{"config", "await"}, "POST", "/config/await", "", ""},
		{[]string{"workspace", "remove-key", "kigali", "abc"}, "DELETE", "/workspaces/kigali/keys/abc", "", ""},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.arguments[:2], " "), func(t *testing.T) {
			admin, calls := fakeEntry(t, http.StatusOK, rudderadmin.ChangeResult{Version: 8, State: rudderadmin.StateAccepted})
			code, stdout, stderr := execute(admin, "", append(test.arguments, "--output", "json")...)
			require.Equal(t, ExitOK, code, stderr)
			require.Contains(t, stdout, `"version": 8`)
			require.Len(t, *calls, 1)
			call := (*calls)[0]
			require.Equal(t, test.method, call.method)
			require.Equal(t, rudderadmin.PathPrefix+test.path, call.path)
			require.Equal(t, test.query, call.query)
			require.Contains(t, call.body, test.body)
			require.Equal(t, "Bearer t", call.token)
		})
	}
}

// Guards against a response without a body (204) that is reported as malformed.
func TestForgetEntry(t *testing.T) {
	var path string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path = r.Method + " " + r.URL.Path
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	code, stdout, stderr := execute(strings.TrimPrefix(server.URL, "http://"), "", "entry", "forget", "entry-07")
	require.Equal(t, ExitOK, code, stderr)
	require.Contains(t, stdout, "entry-07")
	require.Equal(t, "DELETE "+rudderadmin.PathPrefix+"/entries/entry-07", path)
}

// Guards against exit codes that do not let a script tell a conflict or a pending change from success.
func TestExitCodes(t *testing.T) {
	conflict := rudderadmin.Error{Code: rudderadmin.CodeConflict, Message: "version 9 by ada came first", NextStep: "read again"}
	pending := rudderadmin.ChangeResult{Version: 9, State: rudderadmin.StatePending, Missing: []string{"entry-3"}}
	tests := []struct {
		name      string
		status    int
		answer    any
		arguments []string
		code      int
		text      string
	}{
		{"conflict", 409, conflict, []string{"drain", "h1"}, ExitConflict, "version 9 by ada came first"},
		{"pending", 202, pending, []string{"drain", "h1"}, ExitPending, "entry-3"},
		{"error", 503, rudderadmin.Error{Code: "unavailable", Message: "no configuration yet"}, []string{"status"}, ExitError, "no configuration yet"},
		{"not JSON", 502, "x", []string{"status"}, ExitError, "502"},
		{"missing argument", 200, nil, []string{"drain"}, ExitUsage, "accepts 1 arg"},
		{"unknown flag", 200, nil, []string{"status", "--nothing"}, ExitUsage, "unknown flag"},
		{"bad output", 200, nil, []string{"status", "-o", "xml"}, ExitUsage, "neither table nor json"},
		{"unknown command", 200, nil, []string{"nothing"}, ExitUsage, "unknown command"},
		{"unknown subcommand", 200, nil, []string{"config", "nothing"}, ExitUsage, "unknown command"},
		{"name with a slash", 200, nil, []string{"drain", "a/b"}, ExitUsage, "no slash"},
		{"label of a name with a slash", 200, nil, []string{"host", "label", "../config", "a=b"}, ExitUsage, "no slash"},
		{"no permit", 200, rudderadmin.Status{Entry: "e1", PermitReason: "permit: expired"}, []string{"status"}, ExitOK, "permit none: permit: expired"},
		{"data centres", 200, map[string]any{"data_centres": []rudderadmin.DataCentre{{Name: "kgl-2", Evacuated: true, Hosts: 22, Groups: 4, Running: 3}}}, []string{"data-centre", "list"}, ExitOK, "kgl-2  true       22     4       3"},
		{"entry host never seen", 200, rudderadmin.Status{EntryHosts: []rudderadmin.EntryHost{{Name: "e2", AgeMS: rudderadmin.AgeUnknown}}}, []string{"status"}, ExitOK, "never"},
		{"bad label", 200, nil, []string{"host", "label", "h1", "nothing"}, ExitUsage, "neither KEY=VALUE nor KEY-"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			admin, _ := fakeEntry(t, test.status, test.answer)
			code, stdout, stderr := execute(admin, "", test.arguments...)
			require.Equal(t, test.code, code, stderr)
			require.Contains(t, stdout+stderr, test.text)
		})
	}
}

// Guards against a command that fails because one entry host is down, and against a change that is sent to a
// second entry host although the first may have applied it.
func TestNextAddressIsTriedOnlyWhenNothingWasSent(t *testing.T) {
	admin, calls := fakeEntry(t, http.StatusOK, rudderadmin.ChangeResult{Version: 8, State: rudderadmin.StateAccepted})
	code, _, stderr := execute("127.0.0.1:1,"+admin, "", "drain", "h1")
	require.Equal(t, ExitOK, code, stderr)
	require.Len(t, *calls, 1)

	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	code, _, _ = execute(strings.TrimPrefix(cut.URL, "http://")+","+admin, "", "drain", "h1")
	require.Equal(t, ExitError, code)
	require.Len(t, *calls, 1, "a change whose outcome is unknown must not be sent again")

	code, _, stderr = execute("", "", "status")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "RUDDER_ADMIN")
}

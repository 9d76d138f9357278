package rudderhost

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one odd entry of another writer that hides the whole list.
func TestOddEntryOfTheList(t *testing.T) {
	const whole = `{"name":"b","address":"10.0.0.1:80","kind":"engine","accelerators":8,"state":"live","labels":{"a":"\"],["}}`
	entry := func(field string) string { return strings.Replace(whole, `"name":"b"`, `"name":"a",`+field, 1) }
	for _, odd := range []string{
		strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20), `{"name":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + "}",
		"7", "null", "{}", "\xff", strings.Replace(whole, "8", "1e999", 1), strings.Replace(whole, "8", `"8"`, 1), strings.Replace(whole, "8", "-8", 1),
		strings.Replace(whole, ":80", ":70000", 1), strings.Replace(whole, ":80", "", 1), strings.Replace(whole, "live", "dreaming", 1),
		strings.Replace(whole, "engine", "boat", 1), strings.Replace(whole, `"b"`, `""`, 1), entry(`"state":7,`),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "[ "+whole+","+odd+" , "+whole+"]")
		}))
		skipped := 0
		hosts, err := (&HTTP{BaseURL: server.URL, OnInvalid: func(error) { skipped++ }}).List().Hosts(t.Context())
		server.Close()
		require.NoError(t, err)
		require.Len(t, hosts, 2, "%.60s", odd)
		require.Equal(t, 1, skipped, "%.60s", odd)
		require.Equal(t, map[string]string{"a": `"],[`}, hosts[1].Labels)
	}
	for _, text := range []string{"", "{}", "[", "[" + whole, `["`} {
		_, err := decodeHosts([]byte(text), nil)
		require.ErrorIs(t, err, errNoList)
	}
	hosts, err := decodeHosts([]byte("[ ]"), nil)
	require.NoError(t, err)
	require.Empty(t, hosts)
}

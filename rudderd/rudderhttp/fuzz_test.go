package rudderhttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderstream"
)

// Guards against chat requests that crash the entry host, get a response without an outcome, or pass
// fields to engines that only entry hosts may set.
func FuzzChatRequest(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Add([]byte(`{"model":"ledger-7b","stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"rudder_group":"g","priority":0}`))
	f.Add([]byte(`{"model":"ledger-7b","max_tokens":-1,"messages":[{}]}`))
	f.Add([]byte(`{"model":null,"messages":[null],"stream_options":null}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"MODEL":"ledger-7b","Rudder_Attempt":7,"messages":[{"role":"user","content":"x"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		api := testAPI()
		start := api.Start
		api.Start = func(r rudderstream.Request, a *rudderstream.Answer) {
			for name := range r.Body {
				lower := strings.ToLower(name)
				require.False(t, strings.HasPrefix(lower, "rudder_") || lower == "priority", "field %s of the caller is forwarded", name)
			}
			start(r, a)
		}
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
		request.Header.Set("Authorization", "Bearer key-kigali")
		w := httptest.NewRecorder()
		api.Handler().ServeHTTP(w, request)
		require.Contains(t, []int{200, 400, 404, 413}, w.Code)
		require.NotEmpty(t, w.Header().Get(HeaderRequestID))
		if w.Code != http.StatusOK {
			var failure errorBody
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &failure))
			require.Equal(t, rudderstream.OutcomeNotRun, failure.Error.Outcome)
			require.NotEmpty(t, failure.Error.NextStep)
		}
	})
}

package rudderhttp

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against unsupported fields that are silently ignored: a caller that asks for three answers would get
// only one.
func TestUnsupportedFields(t *testing.T) {
	for _, test := range []struct{ body, named string }{
		{`{"n": 3}`, `"n"`},
		{`{"N": 2}`, `"N"`},
		{`{"n": 1, "logprobs": false, "tools": [], "modalities": ["text"], "tool_choice": null}`, ""},
		{`{"n": "3"}`, `"n"`},
		{`{"tools": [{"type": "function"}], "n": 1}`, `"tools"`},
		{`{"logprobs": true, "top_logprobs": 5}`, `"logprobs"`},
		{`{"audio": {"voice": "x"}}`, `"audio"`},
		{`{"temperature": 0.2, "seed": 7, "stop": ["a"], "response_format": {"type": "json_object"}}`, ""},
	} {
		var fields map[string]json.RawMessage
		require.NoError(t, json.Unmarshal([]byte(test.body), &fields))
		refusal := checkSupported(fields)
		if test.named == "" {
			require.Nil(t, refusal, test.body)
			continue
		}
		require.NotNil(t, refusal, test.body)
		require.Contains(t, refusal.Error(), test.named)
	}
}

package rudderhttp

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// supportedValues holds, by field of a chat request, the values that do not change the form of the answer. An answer is
// always a single text, so that with any other value a part of it would be dropped silently.
var supportedValues = map[string][]string{
	"n":             {"1"},
	"best_of":       {"1"},
	"logprobs":      {"false"},
	"top_logprobs":  {"0"},
	"tools":         {"[]"},
	"functions":     {"[]"},
	"audio":         {},
	"modalities":    {`["text"]`},
	"tool_choice":   {`"none"`},
	"function_call": {`"none"`},
}

// checkSupported refuses requests with a field that asks for more than a single text, and names the first such field. The
// comparison ignores case, as many JSON decoders do.
func checkSupported(fields map[string]json.RawMessage) *Refusal {
	var unsupported []string
	for name, value := range fields {
		values, known := supportedValues[strings.ToLower(name)]
		var compact bytes.Buffer
		if !known || json.Compact(&compact, value) != nil || compact.String() == "null" || slices.Contains(values, compact.String()) {
			continue
		}
		unsupported = append(unsupported, name)
	}
	if len(unsupported) == 0 {
		return nil
	}
	slices.Sort(unsupported)
	return refuseBadRequest(quote(unsupported[0]) + " is not supported with this value: an answer is one text")
}

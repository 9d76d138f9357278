package rudderhttp

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// neutral holds, by field of a chat request, the values that leave the answer as it is. An answer of the system
// is one text: with any other value, a part of the answer would be lost without a word.
var neutral = map[string][]string{
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

// checkSupported names the first field that asks for more than one text. Many JSON decoders match names without
// regard to case.
func checkSupported(fields map[string]json.RawMessage) *Refusal {
	var unsupported []string
	for name, value := range fields {
		values, known := neutral[strings.ToLower(name)]
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

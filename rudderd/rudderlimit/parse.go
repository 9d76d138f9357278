package rudderlimit

import (
	"strconv"
	"strings"
)

// maxInvalid bounds the part of an invalid limit that Parse returns, in bytes.
const maxInvalid = 32

// Parse parses the values of a header field that names a limit in requests per second, a plain decimal number. Both
// results are empty if there is no value. If the limit is invalid, bad is its beginning.
func Parse(values []string) (rate *float64, bad string) {
	if len(values) == 0 {
		return nil, ""
	}
	text := strings.TrimSpace(strings.Join(values, ","))
	n, err := strconv.ParseFloat(text, 64)
	switch {
	case text == "":
		return nil, "(empty)"
	case err != nil || strings.Trim(text, "0123456789.") != "":
		return nil, text[:min(len(text), maxInvalid)]
	}
	return &n, ""
}

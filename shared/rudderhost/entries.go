package rudderhost

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// errNoList reports a response that is not a complete JSON array.
var errNoList = errors.New("host list: not a complete array")

// decodeHosts decodes a host list. Entries that name no usable host are passed to skip: one that another writer has left
// must not hide the others.
func decodeHosts(text []byte, skip func(err error)) ([]Host, error) {
	entries, err := splitArray(text)
	if err != nil {
		return nil, err
	}
	hosts := make([]Host, 0, len(entries))
	for _, entry := range entries {
		var h Host
		err := json.Unmarshal(entry, &h)
		if err == nil {
			err = h.check()
		}
		if err != nil {
			skip(err)
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

func (h *Host) check() error {
	switch {
	case h.Name == "" || !ValidAddress(h.Address):
		return errors.Newf("host %q with address %q", h.Name, h.Address)
	case h.Kind != KindEngine && h.Kind != KindService, h.State != StateLive && h.State != StateLeaving:
		return errors.Newf("host %q of kind %q in state %q", h.Name, h.Kind, h.State)
	case h.Accelerators < 0:
		return errors.Newf("host %q with %d accelerators", h.Name, h.Accelerators)
	}
	return nil
}

// splitArray returns the elements of a JSON array, which it does not check. A JSON decoder cannot go on after an element
// that is nested too deeply.
func splitArray(text []byte) ([][]byte, error) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 || text[0] != '[' {
		return nil, errNoList
	}
	var elements [][]byte
	add := func(element []byte) {
		if element = bytes.TrimSpace(element); len(element) > 0 {
			elements = append(elements, element)
		}
	}
	depth, start, quoted := 0, 1, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			depth++
		case c == ',' && depth == 1:
			add(text[start:i])
			start = i + 1
		case c == ']' || c == '}':
			if depth--; depth == 0 {
				add(text[start:i])
				return elements, nil
			}
		}
	}
	return nil, errNoList
}

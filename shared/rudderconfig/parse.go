package rudderconfig

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"
)

// ErrParse reports input that is malformed, too large, has unknown or duplicate fields, or contains more than one
// YAML document.
var ErrParse = errors.New("configuration: malformed document")

// MaxDocumentBytes is the size limit of Parse; the key-value service accepts no larger values.
const MaxDocumentBytes = 1 << 20

// Parse decodes a full or partial document in YAML or JSON. Its errors match ErrParse. It does not validate the
// document.
func Parse(data []byte) (Document, error) {
	var d Document
	if len(data) > MaxDocumentBytes {
		return d, errors.Wrapf(ErrParse, "%d bytes, the limit is %d", len(data), MaxDocumentBytes)
	}
	if hasMultipleDocuments(data) {
		// The YAML library decodes only the first document and silently ignores the others.
		return d, errors.Wrap(ErrParse, "more than one YAML document")
	}
	if err := yaml.UnmarshalStrict(data, &d); err != nil {
		return Document{}, errors.Wrapf(ErrParse, "%v", err)
	}
	return d, nil
}

// hasMultipleDocuments reports whether a document marker follows content.
func hasMultipleDocuments(data []byte) bool {
	content := false
	for line := range bytes.Lines(data) {
		text := bytes.TrimRight(line, " \t\r\n")
		marker := bytes.Equal(text, []byte("---")) || bytes.HasPrefix(line, []byte("--- "))
		switch {
		case marker && content:
			return true
		case !marker && len(text) > 0 && text[0] != '#' && text[0] != '%':
			content = true
		}
	}
	return false
}

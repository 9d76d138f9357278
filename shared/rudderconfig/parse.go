package rudderconfig

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"
)

// ErrParse reports a document that is not well-formed, or has unknown or repeated fields.
var ErrParse = errors.New("configuration: malformed document")

// MaxDocumentBytes is the largest document that Parse accepts; the key-value service holds no more.
const MaxDocumentBytes = 1 << 20

// Parse reads a whole or partial document in YAML or JSON. It returns ErrParse. It does not validate.
func Parse(data []byte) (Document, error) {
	var d Document
	if len(data) > MaxDocumentBytes {
		return d, errors.Wrapf(ErrParse, "%d bytes, the limit is %d", len(data), MaxDocumentBytes)
	}
	if severalDocuments(data) {
		// The YAML library reads the first one only and would drop the others.
		return d, errors.Wrap(ErrParse, "more than one YAML document")
	}
	if err := yaml.UnmarshalStrict(data, &d); err != nil {
		return Document{}, errors.Wrapf(ErrParse, "%v", err)
	}
	return d, nil
}

// severalDocuments tells whether a document marker follows content.
func severalDocuments(data []byte) bool {
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

// Package rudderbody reads request bodies up to a limit.
package rudderbody

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge reports a body above the limit.
var ErrTooLarge = errors.New("request body too large")

// drainBytes of a body above the limit are read and dropped. A server that answers and closes while its
// client still writes resets the connection, and the client may lose the answer that says why.
const drainBytes = 8 << 20

// Read returns a body of at most limit bytes. It returns ErrTooLarge, or the error of reading.
func Read(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading the request body")
	}
	if int64(len(data)) <= limit {
		return data, nil
	}
	_, _ = io.CopyN(io.Discard, body, drainBytes)
	return nil, errors.WithStack(ErrTooLarge)
}

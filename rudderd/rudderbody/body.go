// Package rudderbody reads request bodies up to a limit.
package rudderbody

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge reports a request body above the limit.
var ErrTooLarge = errors.New("request body too large")

// drainBytes is how much of the rest of a body above the limit is read and discarded. A server that responds
// and closes the connection while the client still writes resets the connection, and the client may lose the
// response with the reason.
const drainBytes = 8 << 20

// Read reads a body of at most limit bytes. It returns ErrTooLarge for a larger body, or the read error.
func Read(body io.Reader, limit int64) ([]byte, error) {
	return new(Reservation).Read(body, -1, limit)
}

package rudderbody

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that is off by one, and against an oversized body that is left unread, whose client
// sees a connection reset instead of the error response.
func TestRead(t *testing.T) {
	const limit = 10
	tests := []struct {
		name       string
		size       int
		unread     int
		wantTooBig bool
	}{
		{"empty", 0, 0, false},
		{"at the limit", limit, 0, false},
		{"above the limit", limit + 1, 0, true},
		{"far above the limit", limit + 1 + drainBytes + 5, 5, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body := bytes.NewReader(make([]byte, test.size))
			data, err := Read(body, limit)
			require.Equal(t, test.wantTooBig, errors.Is(err, ErrTooLarge))
			require.Equal(t, test.unread, body.Len())
			if !test.wantTooBig {
				require.Len(t, data, test.size)
			}
		})
	}
	_, err := Read(iotest.ErrReader(io.ErrUnexpectedEOF), limit)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

package rudderresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingConn is a connection whose writes fail.
type failingConn struct{ net.Conn }

func (failingConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Guards against taking a part of a response for the whole, because the connection was reset while its request was written: the
// write had the error, and the read the end of file.
func TestEndBesideAWrite(t *testing.T) {
	for _, test := range []struct {
		name                   string
		wrote, failed, writing bool
		want                   error
	}{
		{"request written", true, false, false, nil},
		{"request not written", false, false, false, ErrCutOff},
		{"write failed", true, true, false, ErrCutOff},
		{"write not over", true, false, true, ErrCutOff},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn, err := Dial(func(context.Context, string, string) (net.Conn, error) { return failingConn{}, nil })(t.Context(), "tcp", "")
			require.NoError(t, err)
			if test.failed {
				_, err = conn.Write([]byte("request"))
				require.ErrorIs(t, err, syscall.ECONNRESET)
			}
			if test.writing {
				conn.(*writeConn).writing <- struct{}{}
			}
			w := &write{conn: conn, done: make(chan struct{})}
			if test.wrote {
				w.end(nil)
			}
			text, err := io.ReadAll(&endBody{io.NopCloser(strings.NewReader("part")), w})
			require.ErrorIs(t, err, test.want)
			require.Equal(t, "part", string(text))
		})
	}
}

// Guards against heads that net/http accepts although no response can have them.
func TestCheckHead(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		field  string
		want   error
	}{
		{"final", 200, "X-Odd", nil}, {"last", 599, "!#$%&'*+-.^_`|~9z", nil},
		{"zero", 0, "X", ErrInvalidHead}, {"below", 99, "X", ErrInvalidHead}, {"informational", 101, "X", ErrInvalidHead}, {"above", 600, "X", ErrInvalidHead},
		{"blank before the colon", 200, "Content-Length ", ErrInvalidHead}, {"blank inside", 200, "X Odd", ErrInvalidHead},
		{"control byte", 200, "X\x01", ErrInvalidHead}, {"separator", 200, "X(y)", ErrInvalidHead}, {"not ASCII", 200, "X\u00e9", ErrInvalidHead}, {"empty", 200, "", ErrInvalidHead},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.ErrorIs(t, CheckHead(test.status, http.Header{test.field: {"v"}}), test.want)
		})
	}
}

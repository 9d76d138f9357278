package rudderpath

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an ID that is sent twice on a connection, and against a connection that remembers IDs without a bound.
func TestClaim(t *testing.T) {
	dial := Track(func(context.Context, string, string) (net.Conn, error) {
		c, other := net.Pipe()
		t.Cleanup(func() { _ = other.Close() })
		return c, nil
	})
	var connections [2]net.Conn
	for i := range connections {
		c, err := dial(t.Context(), "", "")
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		connections[i] = c
	}
	for i := range maxRequests {
		id := fmt.Sprint(i)
		require.True(t, Claim(connections[0], id))
		require.False(t, Claim(connections[0], id))
	}
	require.False(t, Claim(connections[0], "new"))
	require.True(t, Claim(connections[1], "0"))
	require.True(t, Claim(nil, "0"), "no connection of this host")
}

// Guards against a connection that carries requests after a refusal, and against one that is closed under another request.
func TestRetire(t *testing.T) {
	for _, test := range []struct {
		name   string
		claims []string // "a" is refused
		open   bool
	}{
		{"refused", []string{"a"}, false},
		{"refused after another request", []string{"b", "a"}, false},
		{"claimed by another request meanwhile", []string{"a", "b"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			inner, other := net.Pipe()
			defer func() { _ = other.Close() }()
			go func() { _, _ = io.Copy(io.Discard, other) }()
			c, err := Track(func(context.Context, string, string) (net.Conn, error) { return inner, nil })(t.Context(), "", "")
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			for _, id := range test.claims {
				require.True(t, Claim(c, id))
			}
			Retire(c, "a")
			require.False(t, Claim(c, "c"))
			_, err = c.Write([]byte("x"))
			require.Equal(t, test.open, err == nil, "%v", err)
		})
	}
}

package rudderpath

import (
	"context"
	"fmt"
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

package rudderconfig

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Verifies that the stored hash format does not change, which would invalidate all existing keys and tokens, and that
// the comparison ignores only the case of the stored hash.
func TestSecrets(t *testing.T) {
	// Output of `printf %s first-token | sha256sum`, the command that the operator documentation gives.
	const known = "55b4b48f529c3d2daa027cbffa6cfb6a03690424550f22109e39917406c8243b"
	require.Equal(t, known, HashSecret("first-token"))
	require.True(t, SameHash(strings.ToUpper(known), HashSecret("first-token")))
	require.False(t, SameHash(known, HashSecret("first-token ")))
	require.False(t, SameHash("", HashSecret("")))
}

package rudderconfig

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a change of the stored form, which would make all keys and tokens useless, and against
// a comparison that ignores a difference.
func TestSecrets(t *testing.T) {
	// From `printf %s first-token | sha256sum`, as the operators' page makes hashes.
	const known = "55b4b48f529c3d2daa027cbffa6cfb6a03690424550f22109e39917406c8243b"
	require.Equal(t, known, HashSecret("first-token"))
	require.True(t, SameHash(strings.ToUpper(known), HashSecret("first-token")))
	require.False(t, SameHash(known, HashSecret("first-token ")))
	require.False(t, SameHash("", HashSecret("")))
}

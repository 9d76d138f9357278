package ruddermember

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stored registry that crashes its readers, changes when it is encoded again, or accepts an
// empty set as a quorum.
func FuzzParseRegistry(f *testing.F) {
	f.Add([]byte(`{"version":3,"members":[{"name":"b"},{"name":"a"}],"base":["a"],"uncommitted":true}`))
	f.Add([]byte(`{"members":[{"name":"a"},{"name":"a"}]}`))
	f.Add([]byte(`{"version":-1,"members":null,"base":[""]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := ParseRegistry(raw)
		if err != nil {
			require.True(t, errors.Is(err, ErrRegistryInvalid))
			return
		}
		again, err := ParseRegistry(r.Encode())
		require.NoError(t, err)
		require.Equal(t, string(r.Encode()), string(again.Encode()))
		if len(r.Members) > 0 {
			require.False(t, r.Quorum(map[string]bool{}))
		}
		_, _ = r.With(Member{Name: "x"})
		_, _ = r.Without("a")
		_ = r.Names()
	})
}

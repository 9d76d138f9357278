package rudderedge

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// Guards against failed calls to the key-value service that are counted as another failure or as a success.
func TestOutcomesOfStoreCalls(t *testing.T) {
	for _, test := range []struct {
		err  error
		want string
	}{
		{nil, "ok"},
		{errors.Mark(errors.New("x"), rudderstore.ErrConflict), "conflict"},
		{rudderstore.ErrNotFound, "not_found"},
		{rudderstore.ErrCompacted, "compacted"},
		{rudderstore.ErrRateLimited, "rate_limited"},
		{errors.Mark(rudderstore.ErrUnknownOutcome, rudderstore.ErrIncomplete), "unknown"},
		{errors.Mark(rudderstore.ErrUnavailable, rudderstore.ErrIncomplete), "unavailable"},
		{errors.New("other"), "unavailable"},
	} {
		require.Equal(t, test.want, storeOutcome(test.err))
	}
}

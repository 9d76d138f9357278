package ruddermember

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a membership change that moves keys between members that stay.
func TestRankMovesOnlyTheLeaversKeys(t *testing.T) {
	var members []Member
	for i := range 18 {
		members = append(members, Member{Name: fmt.Sprintf("entry-%02d", i)})
	}
	left := members[7]
	rest := append(append([]Member{}, members[:7]...), members[8:]...)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprintf("shard-%d", i)
		before, after := Rank(key, members), Rank(key, rest)
		if before[0] == left {
			moved++
			require.Equal(t, before[1], after[0], "the second in rank takes over %s", key)
			continue
		}
		require.Equal(t, before[0], after[0], "owner of %s changed although it stayed", key)
	}
	require.InDelta(t, 1000.0/18, moved, 30, "keys are spread evenly")
}

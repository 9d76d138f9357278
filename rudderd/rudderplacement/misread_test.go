package rudderplacement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Targets do not carry out half of the orders other than to leave, and answer them with copies of earlier answers. Guards against such an
// answer that frees a member of an open group, opens a group without all of its members, or keeps a group from forming for good.
func TestOrdersAnsweredWithCopies(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			draw := rand.New(rand.NewPCG(seed, 0))
			f := newFleet(t, large(), small())
			f.misread = func(Order) (accepted, inapplicable bool) {
				n := draw.IntN(4)
				return n == 0, n == 1
			}
			f.addMany("d", 6+draw.IntN(14))
			f.run(2 * time.Minute)
			f.traffic = true
			for range 3 {
				leader := f.leader(large().Name)
				f.dead[[]string{leader.Name, f.follower(leader).Name}[draw.IntN(2)]] = true
				f.run(20 * time.Second) // in the middle of the change
				clear(f.dead)
				f.run(2 * time.Minute)
				require.Positive(t, f.open()[large().Name])
			}
		})
	}
}

package rudderbalance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A model gets 1.3 to 3 times what its groups can process, in requests whose prompt sizes differ a
// hundredfold. Guards against a choice that serves the largest tenth of the requests, or the fifth below it,
// less than half as often as all requests.
func TestLargeRequestsAreServedAsOftenAsOthers(t *testing.T) {
	for _, load := range []float64{1.3, 1.6, 3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			const requests, meanPrompt = 6000, 1400
			engine := Speed{PromptTokensPerSecond: 56_000, Step: 9 * time.Millisecond, Slots: 38}
			draw := rand.New(rand.NewPCG(7, 7))
			list := groups("a", "b", "c")
			l := NewLedger()
			type request struct {
				prompt int
				served bool
			}
			type run struct {
				id   string
				ends time.Duration
			}
			var all []request
			var running []run
			service := defaultAnswerTokens * engine.Step
			gap := time.Duration(float64(service) / (load * float64(len(list)*engine.Slots)))
			now := time.Duration(0)
			for i := range requests {
				now += time.Duration(draw.ExpFloat64() * float64(gap))
				running = slices.DeleteFunc(running, func(r run) bool {
					if r.ends > now {
						return false
					}
					l.Done(now, r.id)
					return true
				})
				prompt := max(int(meanPrompt*math.Exp(draw.NormFloat64()-0.5)), 1)
				id := fmt.Sprint(i)
				group, wait, _ := l.Pick(now, engine, list, Request{ID: id, PromptTokens: prompt, Limit: time.Minute, Objective: 400 * time.Millisecond})
				if group != "" {
					reading := time.Duration(float64(prompt) / engine.PromptTokensPerSecond * float64(time.Second))
					running = append(running, run{id, now + wait + reading + service})
				}
				all = append(all, request{prompt, group != ""})
			}
			slices.SortFunc(all, func(a, b request) int { return a.prompt - b.prompt })
			share := func(list []request) float64 {
				served := 0
				for _, r := range list {
					if r.served {
						served++
					}
				}
				return float64(served) / float64(len(list))
			}
			whole, largest, below := share(all), share(all[requests*9/10:]), share(all[requests*7/10:requests*9/10])
			t.Logf("served %.2f, of the largest tenth %.2f, of the fifth below it %.2f", whole, largest, below)
			require.Less(t, whole, 0.95, "there is an overload")
			require.GreaterOrEqual(t, largest, whole/2)
			require.GreaterOrEqual(t, below, whole/2)
		})
	}
}

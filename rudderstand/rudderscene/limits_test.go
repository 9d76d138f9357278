package rudderscene

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// Guards against an engine that gets more chats than the limit that it names, summed over all entry hosts, and against
// limits that are not used up.
func TestEngineNamesALimit(t *testing.T) {
	const rate, length = 3, 6 * time.Second
	s := startSmallScene(t, 3)
	key, model := rudderfleetstand.WorkspaceKey(s.Fleet.Document.Workspaces[0].Name), s.Fleet.Document.Models[0].Name
	awaitAnswers(t, s)
	for _, h := range s.Fleet.Hosts {
		if h.Engine != nil {
			h.Engine.SetRequestLimit(fmt.Sprint(rate))
		}
	}
	begin := time.Now()
	var running sync.WaitGroup
	for _, e := range s.Entries() {
		for range 6 {
			running.Go(func() {
				for time.Since(begin) < length {
					status, _ := sendChat(t, e.App.CallerAddress(), key, model, "short "+rudderengine.LengthMark(2), 2)
					if status != http.StatusOK {
						time.Sleep(50 * time.Millisecond)
					}
				}
			})
		}
	}
	running.Wait()
	settled, counts := begin.Add(2*time.Second), map[string]int{}
	for _, run := range s.Fleet.Fabric.Ledger.Runs() {
		if run.Start.After(settled) && run.Start.Before(settled.Add(4*time.Second)) {
			counts[run.Host]++
		}
	}
	t.Log(counts)
	require.NotEmpty(t, counts)
	for host, n := range counts {
		require.LessOrEqual(t, n, rate*6+5, host)
		require.GreaterOrEqual(t, n, rate*4/2, host)
	}
}

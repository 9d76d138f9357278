package rudderstream

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against engines whose events or answers do not end and that exhaust the memory of a host together, and against such an
// answer that looks complete, or a short sound one that is ended because of them.
func TestEndlessStreamsAreBoundedTogether(t *testing.T) {
	const (
		limit      = 4 << 20
		requests   = 60
		perRequest = 128 << 10 // buffers and goroutines, and what takes no memory of the budget
	)
	manyTokens := func(x ruddertarget.WorkExtension) string {
		var text strings.Builder
		for seq := 1; seq <= 5000; seq++ {
			_, _ = fmt.Fprintf(&text, "data: {\"rudder_request_id\":%q,\"rudder_attempt\":%d,\"rudder_seq\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", x.RequestID, x.Attempt, seq, strings.Repeat("x", 40))
		}
		return text.String()
	}
	for _, test := range []struct {
		name string
		text func(x ruddertarget.WorkExtension) string
	}{
		{"lines", func(ruddertarget.WorkExtension) string { return "data: {\"choices\":" + strings.Repeat(" ", 900<<10) }},
		{"answers", manyTokens},
	} {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int32
			hold := make(chan struct{})
			release := sync.OnceFunc(func() { close(hold) })
			defer release()
			endless := newFakeEngine(t, func(w http.ResponseWriter, x ruddertarget.WorkExtension, _ *http.Request) {
				_, _ = w.Write([]byte(test.text(x)))
				_ = http.NewResponseController(w).Flush()
				written.Add(1)
				<-hold
			})
			sound := newFakeEngine(t, func(w http.ResponseWriter, x ruddertarget.WorkExtension, r *http.Request) {
				for seq := 1; seq <= 100; seq++ {
					writeToken(w, x, seq, "")
				}
				<-hold
				tokens(200, 200)(w, ruddertarget.WorkExtension{RequestID: x.RequestID, Attempt: x.Attempt, ResumeAfter: 100}, r)
			})
			memory := rudderbody.NewBudget(limit)
			start := func(address string) (*Answer, *sync.WaitGroup) {
				r := testRunner(address)
				r.Engine.Responses, r.MaxAttempts, r.SilenceAfter = memory, 1, time.Minute
				a := NewAnswer("entry.1", "w", "m", time.Now())
				a.SetMemory(memory)
				var running sync.WaitGroup
				running.Go(func() { r.Run(t.Context(), Request{ID: "entry.1", Arrived: time.Now()}, a) })
				return a, &running
			}
			good, finished := start(sound.address())
			require.Eventually(t, func() bool { return good.Received() == 100 }, 5*time.Second, time.Millisecond)
			heap := heapBytes()
			var answers []*Answer
			for range requests {
				a, _ := start(endless.address())
				answers = append(answers, a)
			}
			require.Eventually(t, func() bool { return written.Load() == requests }, 30*time.Second, 10*time.Millisecond)
			time.Sleep(time.Second)
			ended := 0
			for i, a := range answers {
				result, done := a.Done()
				if done {
					ended++
					answers[i] = nil // the registry of answers bounds those that have ended
					require.Equal(t, CodeMemoryFull, result.Code, result.Message)
					require.Equal(t, OutcomeMayHaveRun, result.Outcome)
				}
			}
			grown := heapBytes() - heap
			runtime.KeepAlive(answers)
			t.Logf("%d answers hold %d kB, %d kB are reserved, %d have ended", requests, grown>>10, memory.Held()>>10, ended)
			require.Less(t, grown, int64(limit+requests*perRequest))
			require.Positive(t, ended)
			release()
			finished.Wait()
			page, err := good.Read(context.Background(), 0)
			require.NoError(t, err)
			require.Equal(t, OutcomeComplete, page.Result.Outcome, page.Result.Message)
			require.Eventually(t, func() bool { return memory.Held() == 0 }, 5*time.Second, 10*time.Millisecond)
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // pools keep what they hold for one cycle
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

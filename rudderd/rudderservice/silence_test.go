package rudderservice

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against calls that are cut or moved because their target is silent for a while, against calls of which a lost target
// or one that hangs is given up late, and against once-only calls that are sent twice.
func TestSilentTargets(t *testing.T) {
	const never = time.Hour
	get := Call{Method: http.MethodGet, Path: "/balance", Header: http.Header{}}
	always := func(time.Duration) bool { return true }
	tests := []struct {
		name     string
		call     Call
		interval time.Duration
		answer   time.Duration               // of the first target
		silent   func(at time.Duration) bool // probes are not answered
		idle     bool                        // the target reports that nothing runs
		other    bool                        // there is another target
		outcome  Outcome
		runs     int64 // of both targets
		within   time.Duration
	}{
		{"once-only, silent at each probe", keyedCall("100"), 300 * time.Millisecond, time.Second,
			func(at time.Duration) bool { return at%(300*time.Millisecond) < 100*time.Millisecond }, false, true, OutcomeComplete, 1, 2 * time.Second},
		{"once-only, lost", keyedCall("100"), 300 * time.Millisecond, never, always, false, true, OutcomeMayHaveRun, 1, time.Second},
		{"once-only, hangs", keyedCall("100"), 300 * time.Millisecond, never, nil, true, true, OutcomeMayHaveRun, 1, time.Second},
		{"repeatable, silent for a while", get, 0, 2100 * time.Millisecond,
			func(at time.Duration) bool { return at > 700*time.Millisecond && at < 1800*time.Millisecond }, false, true, OutcomeComplete, 1, 3 * time.Second},
		{"repeatable, lost", get, 0, never, always, false, true, OutcomeComplete, 2, 2500 * time.Millisecond},
		{"repeatable, hangs", get, 0, never, nil, true, true, OutcomeComplete, 2, 2 * time.Second},
		{"repeatable, no other target", get, 0, 2 * time.Second, always, false, false, OutcomeComplete, 1, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			stop := make(chan struct{})
			first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				select {
				case <-stop:
				case <-time.After(test.answer):
				}
				_, _ = w.Write([]byte("done"))
			}))
			defer first.Close()
			defer close(stop)
			second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { runs.Add(1) }))
			defer second.Close()
			targets := []string{address(first)}
			if test.other {
				targets = append(targets, address(second))
			}
			d, _ := newDispatcher(targets...)
			d.ProbeInterval, d.Timeout = test.interval, 10*time.Second
			begin := time.Now()
			d.Probe = func(ctx context.Context, _ string) (ruddertarget.Status, error) {
				if test.silent != nil && test.silent(time.Since(begin)) {
					limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
					defer cancel()
					<-limited.Done()
					return ruddertarget.Status{}, ruddertarget.ErrUnreachable
				}
				load := ruddertarget.Load{Running: 1}
				if test.idle {
					load.Running = 0
				}
				return ruddertarget.Status{Load: load}, nil
			}
			result := d.Do(context.Background(), test.call)
			require.Equal(t, test.outcome, result.Outcome, result.Reason)
			require.Equal(t, test.runs, runs.Load())
			require.Less(t, time.Since(begin), test.within)
		})
	}
}

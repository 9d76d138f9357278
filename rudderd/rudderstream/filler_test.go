package rudderstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddertestnet"
	"comfreyrudder.example/shared/ruddertarget"
)

// An engine writes chunks and lines that add nothing to the answer. Guards against an attempt, or the end of an answer, that waits longer
// because of them than because of silence, and against an attempt that is given up sooner.
func TestChunksWithoutNewsAreSilence(t *testing.T) {
	const interval = 30 * time.Millisecond
	chunk := func(id string, attempt, seq int, text string) string {
		return fmt.Sprintf("data: {\"rudder_request_id\":%q,\"rudder_attempt\":%d,\"rudder_seq\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, attempt, seq, text)
	}
	fillers := []struct{ name, text string }{
		{"silence", ""}, {"blank lines", "\n\n"}, {"comments", ": still here\n\n"}, {"empty chunk", chunk("entry.1", 1, 0, "")},
		{"repeated token", chunk("entry.1", 1, 1, "t1 ")}, {"older attempt", chunk("entry.1", 0, 3, "t3 ")}, {"usage without tokens", strings.Replace(chunk("entry.1", 1, 2, ""), "}\n", ",\"usage\":{}}\n", 1)},
	}
	alive := func(context.Context, string, string) (ruddertarget.RequestStatus, error) {
		return ruddertarget.RequestStatus{Attempt: 1}, nil
	}
	for _, test := range []struct {
		name     string
		tokens   int // written before
		finished bool
		stalled  bool
		probe    func(context.Context, string, string) (ruddertarget.RequestStatus, error) // nil for an engine that does not answer
		want     string
	}{
		{"engine makes no progress", 2, false, true, alive, "2 attempts, 530ms"},
		{"engine has not begun", 0, false, true, alive, "2 attempts, 530ms"},
		{"engine does not respond", 2, false, true, nil, "2 attempts, 230ms"},
		{"engine goes on", 2, false, false, alive, "1 attempts, 300ms"},
		{"last token has come", 5, true, true, alive, "1 attempts, 80ms"},
	} {
		for _, filler := range fillers {
			if test.tokens == 0 && filler.name == "repeated token" {
				continue
			}
			t.Run(test.name+"/"+filler.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					network := &ruddertestnet.Network{}
					engine := newFakeEngineOn(t, network, func(w http.ResponseWriter, x ruddertarget.WorkExtension, r *http.Request) {
						for seq := 1; seq <= test.tokens; seq++ {
							writeToken(w, x, seq, "")
						}
						if test.finished {
							writeToken(w, x, test.tokens, "stop")
						}
						for n := 0; test.stalled || n < 10; n++ {
							_, _ = io.WriteString(w, filler.text)
							_ = http.NewResponseController(w).Flush()
							select {
							case <-r.Context().Done():
								return
							case <-time.After(interval):
							}
						}
						x.ResumeAfter = test.tokens
						tokens(5, 5)(w, x, r)
					}, tokens(5, 5))
					transport := &http.Transport{DialContext: network.Dial}
					t.Cleanup(transport.CloseIdleConnections)
					r := testRunner(engine.address())
					r.Engine.Client = &http.Client{Transport: transport}
					if test.probe != nil {
						r.Probe = test.probe
					}
					begin := time.Now()
					page, timing := runRequest(t, r)
					require.Equal(t, OutcomeComplete, page.Result.Outcome, page.Result.Message)
					require.Equal(t, expectedTokens(5), page.Tokens)
					require.Equal(t, test.want, fmt.Sprintf("%d attempts, %v", timing.Attempts, time.Since(begin)))
				})
			})
		}
	}
}

package rudderforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// A target writes bytes that bring its stream no further. Guards against a stream that such bytes keep with its target for longer than
// silence would, and against one that is cut sooner because of them, or that loses them.
func TestBytesWithoutNewsAreSilence(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		writes   = 9 // of a sound target, before it goes on
		first    = "id: 1\ndata: a\n\n"
	)
	fillers := []struct {
		name, text string
		after      bool // after an event
	}{
		{"silence", "", false}, {"blank lines", "\n\n", false}, {"line ends", "\n", false}, {"comments", ": still here\n\n", false},
		{"open comment", ": still here\n", false}, {"empty ID", "id:\n\n", false}, {"retry time", "retry: 5\n\n", false}, {"event name", "event: ping\n\n", false},
		{"repeated event", first, true}, {"repeated ID", "id: 1\n\n", true},
	}
	for _, test := range []struct {
		name      string
		resumable bool
		relayed   bool
		begins    []string // what the sends get before the target writes the bytes; all but the last one are cut then
		last      string   // event that the caller has
		stalled   string   // outcome if nothing else follows
		sound     string
	}{
		{"resumable", true, false, []string{""}, "", "200 [2], 2 sends, 1s", "200 [2], 1 sends, 900ms"},
		{"resumable, relayed", true, true, []string{""}, "", "200 [2], 2 sends, 1s", "200 [2], 1 sends, 900ms"},
		{"resumable, begun", true, false, []string{first}, "", "200 [1 2], 2 sends, 1.7s", "200 [1 2], 1 sends, 900ms"},
		{"resumable, begun, relayed", true, true, []string{first}, "", "200 [1 2], 2 sends, 1.7s", "200 [1 2], 1 sends, 900ms"},
		{"resumed", true, false, []string{first, ""}, "", "200 [1 2], 3 sends, 1s", "200 [1 2], 2 sends, 900ms"},
		{"resumed by its caller", true, false, []string{""}, "1", "200 [2], 2 sends, 1s", "200 [2], 1 sends, 900ms"},
		{"once", false, false, []string{""}, "", "502 [], 1 sends, 1.9s", "200 [2], 1 sends, 900ms"},
		{"once, relayed", false, true, []string{""}, "", "502 [], 1 sends, 1.9s", "200 [2], 1 sends, 900ms"},
		{"once, begun", false, false, []string{first}, "", "200 [1], 1 sends, 8s", "200 [1 2], 1 sends, 900ms"},
	} {
		for _, filler := range fillers {
			for _, stalled := range []bool{true, false} {
				if filler.after && test.last == "" && test.begins[0] == "" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/stalled %t", test.name, filler.name, stalled), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						b := newBubbleTestbed(t)
						b.route("/s/", func(r *rudderroute.Route) {
							streamRoute(test.resumable)(r)
							r.CallerIdleTimeout, r.Timeout, r.MaxAttempts = 2*time.Second, 8*time.Second, len(test.begins)+1
						})
						var sends atomic.Int32
						var targets []rudderpath.Target
						for range len(test.begins) + 1 {
							b.target("llm", func(w http.ResponseWriter, r *http.Request) {
								write := func(text string) {
									_, _ = io.WriteString(w, text)
									_ = http.NewResponseController(w).Flush()
								}
								events(w, 0, 0, 0)
								send := int(sends.Add(1))
								if send <= len(test.begins) {
									write(test.begins[send-1])
								}
								if send < len(test.begins) {
									cut(w)
									return
								}
								for n := 0; send == len(test.begins) && (stalled || n < writes); n++ {
									write(filler.text)
									select {
									case <-r.Context().Done():
										return
									case <-time.After(interval):
									}
								}
								write("id: 2\ndata: b\n\n")
							})
							targets = append(targets, rudderpath.Target{Name: fmt.Sprint("t", b.targets), Born: 1, Service: "llm"})
						}
						b.start()
						b.forwarder.ExamineGroup = func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
							return GroupFinding{}, true
						}
						decode := b.forwarder.Protocol.DecodeRequest
						b.forwarder.Protocol.DecodeRequest = func(r *http.Request) (Request, error) {
							q, err := decode(r)
							q.LastEvent = test.last
							return q, err
						}
						if test.relayed {
							b.relayThrough(t, targets)
						}
						begin := time.Now()
						response, body, err := b.send("POST", "/s/x", "prompt")
						got := fmt.Sprintf("%d %v, %d sends, %v", response.StatusCode, eventIDs(strings.ReplaceAll(body, "id:\n", "")), sends.Load(), time.Since(begin))
						if stalled {
							require.Equal(t, test.stalled, got, err)
							return
						}
						require.NoError(t, err)
						require.Equal(t, test.sound, got)
						if !filler.after {
							require.Equal(t, strings.Join(test.begins, "")+strings.Repeat(filler.text, writes)+"id: 2\ndata: b\n\n", body)
						}
					})
				})
			}
		}
	}
}

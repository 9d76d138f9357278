package rudderscene

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
)

// refusalLimit is the longest time that a refusal may take when no request waits for a slot.
const refusalLimit = time.Second

// stopScene is an entry host that is stopped while requests arrive.
type stopScene struct {
	*Scene
	recorder rudderoracle.Recorder
	running  sync.WaitGroup
	mu       sync.Mutex
	results  map[string][]ruddercaller.Result
	sent     int
}

func (s *stopScene) caller() *ruddercaller.Caller {
	name := rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1)
	c := &ruddercaller.Caller{
		Key: rudderfleetstand.WorkspaceKey(name), Workspace: name, HTTP: http.DefaultClient, Record: s.recorder.Answer, MaxAttempts: 1,
	}
	return c.UseEntry(s.Entries()[0].App.CallerAddress())
}

// start sends a request of the given kind in the background: a chat of some tokens, or a call with a key if tokens is 0.
func (s *stopScene) start(kind string, tokens int, stream bool) {
	s.sent++
	name := fmt.Sprint(kind, " ", s.sent, " ")
	s.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var r ruddercaller.Result
		if tokens == 0 {
			r = s.caller().Call(ctx, ruddercaller.Call{Service: rudderfleetstand.ServiceLedger, Method: http.MethodPost, Path: "/book", Body: name, Key: name})
		} else {
			prompt := name + rudderengine.LengthMark(tokens)
			r = s.caller().Chat(ctx, ruddercaller.Chat{Model: rudderfleetstand.ModelLedger, Prompt: prompt, MaxTokens: tokens, Stream: stream})
		}
		s.mu.Lock()
		s.results[kind] = append(s.results[kind], r)
		s.mu.Unlock()
	})
}

// counts returns the number of completed requests and of refused ones of a kind, and fails the test for any other
// outcome.
func (s *stopScene) counts(t *testing.T, kind string) (complete, refused int) {
	t.Helper()
	for _, r := range s.results[kind] {
		switch r.Answer.Outcome {
		case rudderoracle.OutcomeComplete:
			complete++
		case rudderoracle.OutcomeNotRun:
			refused++
		default:
			t.Errorf("%s: %s %s %d after %v", kind, r.Answer.Outcome, r.Answer.Code, r.Answer.Status, r.Answer.EndedAt.Sub(r.Answer.SentAt))
		}
	}
	t.Logf("%s: %d complete, %d refused", kind, complete, refused)
	return complete, refused
}

// sendHalfBody sends the head and a part of the body of a chat, and returns the connection.
func sendHalfBody(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: 500\r\n\r\n{",
		rudderfleetstand.WorkspaceKey(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1)))
	require.NoError(t, err)
	return conn
}

// Guards against requests that a stopping entry host takes and then cuts, for any grace time, time limit and kind of
// request, and against refusals that are late.
func TestStopTakesOnlyWhatEndsInTime(t *testing.T) {
	tests := []struct {
		name               string
		grace, callTimeout time.Duration
		interval           time.Duration
		calls              bool // calls fit into the time left
	}{
		{"grace above the time limit of calls", 2 * time.Second, 4 * time.Second, 300 * time.Millisecond, true},
		{"grace below the time limit of calls", 500 * time.Millisecond, 30 * time.Second, 300 * time.Millisecond, false},
		{"requests wait for slots", 2 * time.Second, 4 * time.Second, 40 * time.Millisecond, true},
		{"longer requests wait for slots", 8 * time.Second, 4 * time.Second, 40 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &stopScene{Scene: &Scene{
				Fleet: &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small(), Tune: func(_ *rudderengine.Engine, b *rudderbackend.Backend) {
					if b != nil {
						b.Slots = 200
						b.SetDelay(time.Minute)
					}
				}},
				Locations: []Location{{rudderfleetstand.RegionKigali, "kigali-1"}, {rudderfleetstand.RegionKigali, "kigali-1"}},
				Settings:  map[string]string{"stop-grace": test.grace.String(), "call-timeout": test.callTimeout.String(), "entry-lifetime": "1s"},
			}, results: map[string][]ruddercaller.Result{}}
			t.Cleanup(s.Close)
			if os.Getenv("SCENE_LOGS") != "" {
				s.Logs = os.Stderr
			}
			require.NoError(t, s.Start())
			awaitAnswers(t, s.Scene)
			for range 3 {
				s.start("earlier", 60, true)
			}
			s.running.Wait()
			s.counts(t, "earlier")

			entry := s.Entries()[0]
			s.start("cut", 3000, true)
			s.start("cut", 3000, false)
			s.start("cut", 0, false)
			time.Sleep(500 * time.Millisecond)
			s.Fleet.Host("kigali-1-ledger").Backend.SetDelay(time.Second)
			half := sendHalfBody(t, entry.App.CallerAddress())
			stopped := make(chan error, 1)
			go func() { stopped <- entry.Stop() }()
			for ended := false; !ended; {
				s.start("short stream", 5, true)
				s.start("stream", 100, true)
				s.start("long stream", 450, true)
				s.start("chat", 100, false)
				s.start("long chat", 450, false)
				s.start("call", 0, false)
				select {
				case err := <-stopped:
					require.NoError(t, err)
					ended = true
				case <-time.After(test.interval):
				}
			}
			s.running.Wait()
			s.check(t, test.calls)
			_ = half.SetReadDeadline(time.Now().Add(time.Second))
			head, _ := io.ReadAll(half)
			require.Contains(t, string(head), "503 Service Unavailable", "half-read body")
			require.Contains(t, string(head), "Rudder-Outcome: not_run", "half-read body")
			if test.interval > 100*time.Millisecond {
				s.checkRefusals(t)
			}
		})
	}
}

// check checks the outcomes of the requests that were sent before the stop and during it.
func (s *stopScene) check(t *testing.T, calls bool) {
	t.Helper()
	completed := map[string]bool{"short stream": true, "call": calls, "long stream": false, "long chat": false}
	for _, kind := range []string{"short stream", "stream", "long stream", "chat", "long chat", "call"} {
		complete, refused := s.counts(t, kind)
		if want, known := completed[kind]; known {
			require.Equal(t, want, complete > 0, "%s: complete", kind)
		}
		require.Positive(t, refused, "%s: refused", kind)
	}
	for _, r := range s.results["cut"] {
		require.Equal(t, rudderoracle.OutcomeMayHaveRun, r.Answer.Outcome, "%+v", r.Answer)
	}
	require.Empty(t, rudderoracle.Check(s.recorder.Evidence(s.Fleet.Fabric.Ledger.Runs(), s.Fleet.Calls.Calls())))
}

func (s *stopScene) checkRefusals(t *testing.T) {
	t.Helper()
	for kind, results := range s.results {
		for _, r := range results {
			if r.Answer.Outcome == rudderoracle.OutcomeNotRun {
				require.Less(t, r.Answer.EndedAt.Sub(r.Answer.SentAt), refusalLimit, "%s %s", kind, r.Answer.Code)
			}
		}
	}
}

// Guards against a stopping entry host that ends before a caller that lost its connection has picked up its answer.
func TestStopWaitsForCallersThatResume(t *testing.T) {
	location := Location{rudderfleetstand.RegionKigali, "kigali-1"}
	s := &Scene{
		Fleet: &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}, Locations: []Location{location, location},
		Settings: map[string]string{"stop-grace": "20s", "entry-lifetime": "1s"},
	}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start())
	awaitAnswers(t, s)
	send := func(ctx context.Context, method, address, path, body string) *http.Response {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+rudderfleetstand.WorkspaceKey(s.Fleet.Document.Workspaces[0].Name))
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		return response
	}
	stopping, other := s.Entries()[0], s.Entries()[1].App.CallerAddress()
	ctx, disconnect := context.WithCancel(context.Background())
	stream := send(ctx, http.MethodPost, stopping.App.CallerAddress(), "/v1/chat/completions",
		`{"model":"`+rudderfleetstand.ModelLedger+`","stream":true,"messages":[{"role":"user","content":"long `+rudderengine.LengthMark(100)+`"}]}`)
	id := stream.Header.Get("Rudder-Request-Id")
	disconnect()
	_ = stream.Body.Close()
	begin, stopped := time.Now(), make(chan error, 1)
	go func() { stopped <- stopping.Stop() }()
	select {
	case err := <-stopped:
		t.Fatal(err, "stopped before the answer was picked up, after ", time.Since(begin))
	case <-time.After(8 * time.Second):
	}
	resumed := send(context.Background(), http.MethodGet, other, "/v1/requests/"+id+"/stream?after=1", "")
	text, err := io.ReadAll(resumed.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), "[DONE]")
	require.NoError(t, <-stopped)
	require.Less(t, time.Since(begin), 15*time.Second, "waits for nobody")
}

// Guards against chats that a stopping entry host takes by the pace of earlier answers and then cuts, because the groups have
// become slow since and none of the answers that show it has ended.
func TestStopTakesNoChatsFromSlowGroups(t *testing.T) {
	location := Location{rudderfleetstand.RegionKigali, "kigali-1"}
	s := &stopScene{Scene: &Scene{
		Fleet: &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}, Locations: []Location{location, location},
		Settings: map[string]string{"stop-grace": "2s", "entry-lifetime": "1s"},
	}, results: map[string][]ruddercaller.Result{}}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start())
	awaitAnswers(t, s.Scene)
	for range 3 {
		s.start("earlier", 60, true)
	}
	s.running.Wait()
	s.counts(t, "earlier")
	for _, host := range s.Fleet.Hosts {
		if host.Engine != nil {
			host.Engine.SetSlowdown(10)
		}
	}
	for range 3 {
		s.start("in flight", 60, true)
	}
	time.Sleep(500 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Entries()[0].Stop() }()
	for ended := false; !ended; {
		s.start("stream", 100, true)
		s.start("chat", 100, false)
		select {
		case err := <-stopped:
			require.NoError(t, err)
			ended = true
		case <-time.After(300 * time.Millisecond):
		}
	}
	s.running.Wait()
	for _, kind := range []string{"stream", "chat"} {
		_, refused := s.counts(t, kind)
		require.Positive(t, refused, kind)
	}
}

package rudderscene

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// rawCaller sends requests on connections of its own to one entry host.
type rawCaller struct {
	address string
	mu      sync.Mutex
	counts  map[string]int // by kind and outcome
	errs    []string
}

func (c *rawCaller) add(kind, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind+" "+outcome]++
}

func (c *rawCaller) request(method, path, header, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path,
		rudderfleetstand.WorkspaceKey(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1)), header, len(body), body)
}

func (c *rawCaller) chat(name string, tokens int, stream bool) string {
	return c.request(http.MethodPost, "/v1/chat/completions", "", fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"%s %s"}]}`,
		rudderfleetstand.ModelLedger, stream, tokens, name, rudderengine.LengthMark(tokens)))
}

func (c *rawCaller) call(name, header string) string {
	return c.request(http.MethodPost, "/v1/services/"+rudderfleetstand.ServiceLedger+"/book", header, name)
}

// read reads a response and records its outcome. It returns false if the connection ends.
func (c *rawCaller) read(kind string, reader *bufio.Reader) bool {
	response, err := http.ReadResponse(reader, nil)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	outcome := "no answer"
	switch {
	case err != nil:
	case response.StatusCode == http.StatusOK && (response.Header.Get("Rudder-Outcome") == "complete" || strings.Contains(string(text), "[DONE]")):
		outcome = "complete"
	case response.StatusCode >= 400 && response.Header.Get("Rudder-Outcome") == "not_run":
		outcome = "refused"
	default:
		outcome = "cut"
	}
	c.add(kind, outcome)
	if outcome == "no answer" || outcome == "cut" {
		c.mu.Lock()
		c.errs = append(c.errs, fmt.Sprintf("%s: %v: %s", kind, err, text))
		c.mu.Unlock()
	}
	return err == nil && !response.Close
}

// send sends parts of a request, a second apart, on a connection; nil opens one.
func (c *rawCaller) send(kind string, conn net.Conn, parts ...string) {
	if conn == nil {
		var err error
		if conn, err = net.Dial("tcp", c.address); err != nil {
			c.add(kind, "not connected")
			return
		}
	}
	defer func() { _ = conn.Close() }()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(time.Second)
		}
		if _, err := io.WriteString(conn, part); err != nil && !errors.Is(err, net.ErrClosed) {
			break // the response may have arrived before the rest of the body
		}
	}
	reader := bufio.NewReader(conn)
	if c.read(kind, reader) && kind == "pipelined" {
		c.read(kind, reader)
	}
}

// Guards against requests that a stopping entry host takes in calm and then cuts, or leaves without an answer, whatever their kind
// and however they arrive.
func TestStopInCalm(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 60 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			location := Location{rudderfleetstand.RegionKigali, "kigali-1"}
			s := &Scene{
				Fleet: &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}, Locations: []Location{location, location},
				Settings: map[string]string{"stop-grace": grace.String(), "entry-lifetime": "1s"},
			}
			t.Cleanup(s.Close)
			require.NoError(t, s.Start())
			awaitAnswers(t, s)
			entry := s.Entries()[0]
			c := &rawCaller{address: entry.App.CallerAddress(), counts: map[string]int{}}
			for i := range 3 {
				c.send("earlier", nil, c.chat(fmt.Sprint("earlier ", i), 20, true))
			}
			var kept []net.Conn
			for i := range 20 {
				conn, err := net.Dial("tcp", c.address)
				require.NoError(t, err)
				_, err = io.WriteString(conn, c.chat(fmt.Sprint("before ", i), 2, false))
				require.NoError(t, err)
				require.True(t, c.read("before", bufio.NewReader(conn)))
				kept = append(kept, conn)
			}
			stopped := make(chan error, 1)
			go func() { stopped <- entry.Stop() }()
			var running sync.WaitGroup
			begin := time.Now()
			for i, ended := 0, false; !ended; i++ {
				name := fmt.Sprint("request ", i)
				body := c.chat(name, 20, true)
				running.Go(func() { c.send("stream", nil, body) })
				running.Go(func() { c.send("chat", nil, c.chat(name+" whole", 20, false)) })
				running.Go(func() {
					c.send("slow body", nil, body[:len(body)-20], body[len(body)-20:len(body)-10], body[len(body)-10:])
				})
				running.Go(func() { c.send("call", nil, c.call(name, "")) })
				running.Go(func() {
					c.send("call with key", nil, c.call(name+" key", "Idempotency-Key: "+strings.ReplaceAll(name, " ", "-")+"\r\n"))
				})
				running.Go(func() { c.send("pipelined", nil, c.chat(name+" first", 2, false)+c.chat(name+" second", 2, false)) })
				if i < len(kept) {
					running.Go(func() { c.send("kept connection", kept[i], c.chat(name+" kept", 20, true)) })
				}
				select {
				case err := <-stopped:
					require.NoError(t, err)
					ended = true
				case <-time.After(250 * time.Millisecond):
				}
			}
			t.Log("stopped after", time.Since(begin))
			running.Wait()
			t.Log(c.counts)
			require.Empty(t, c.errs)
			if grace < time.Minute {
				return // on a busy machine nothing may be expected to end within a short grace time
			}
			for _, kind := range []string{"stream", "chat", "slow body", "kept connection", "pipelined", "call", "call with key"} {
				require.Positive(t, c.counts[kind+" complete"], kind)
			}
		})
	}
}

package rudderforward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
)

// Guards against targets whose responses do not end and that exhaust the memory of a host together: each of them stays below the
// limit of one response.
func TestEndlessResponsesAreBoundedTogether(t *testing.T) {
	const (
		limit    = 8 << 20
		requests = 240
		perConn  = 96 << 10 // buffers and goroutines of the caller, the forwarder and the target
	)
	fields := func() string {
		var head strings.Builder
		for i := 0; head.Len() < 60<<10; i++ {
			_, _ = fmt.Fprintf(&head, "%x:\r\n", 1<<16+i)
		}
		return head.String()
	}()
	for _, test := range []struct{ name, route, text string }{
		{"header fields", "/p/", "HTTP/1.1 200 OK\r\n" + fields},
		{"head that stays held", "/p/", "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\nContent-Length: 9\r\n" + fields + "\r\n"},
		{"body", "/p/", answerHead("200 OK") + strings.Repeat("x", 250<<10)},
		{"body of an error", "/p/", answerHead("404 None") + strings.Repeat("x", 250<<10)},
		{"event", "/s/", streamHead + chunk("id: 1\ndata: a\n\n") + "f0000\r\ndata: " + strings.Repeat("x", 250<<10)},
		{"no event", "/s/", streamHead + chunk(strings.Repeat(": x\n\n", 50<<10))},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(r *rudderroute.Route) { r.Kind, r.Timeout = rudderroute.KindAtMostOnce, 20*time.Second })
			b.route("/s/", func(r *rudderroute.Route) { streamRoute(false)(r); r.Timeout = 20 * time.Second })
			hold := make(chan struct{})
			release := sync.OnceFunc(func() { close(hold) })
			var runs, written atomic.Int32
			for range requests / 2 {
				for _, service := range []string{"plain", "llm"} {
					b.rawTarget(service, func(c net.Conn, r *http.Request, _, _ int) {
						if r.URL.Path == "/s/sound" {
							_, _ = io.WriteString(c, streamHead+chunk("id: 1\ndata: a\n\n"))
							<-hold
							_, _ = io.WriteString(c, chunk("id: 2\ndata: b\n\n")+"0\r\n\r\n")
							return
						}
						if r.Header.Get("Id") != "q1" {
							return // of another process that has had the port
						}
						runs.Add(1)
						_, _ = io.WriteString(c, test.text)
						written.Add(1)
						<-hold
						_ = c.Close()
					})
				}
			}
			b.start()
			t.Cleanup(release) // before the server is closed, which waits for its requests
			bodies, memory := rudderbody.NewBudget(limit), rudderbody.NewBudget(limit)
			b.forwarder.Bodies, b.forwarder.Responses = bodies, memory
			transport := b.forwarder.Client.Transport.(*http.Transport)
			transport.MaxResponseHeaderBytes = rudderbody.MaxHeadBytes
			transport.DialContext = rudderpath.Track(memory.Dial((&net.Dialer{}).DialContext))
			sound := make(chan string, 1)
			go func() { _, text, _ := b.send(http.MethodPost, "/s/sound", "prompt"); sound <- text }()
			heap := heapBytes()
			outcomes := make(chan string, requests)
			for range requests {
				go func() {
					outcomes <- b.post(test.route + "x")
				}()
			}
			require.Eventually(t, func() bool { return written.Load() >= requests }, 10*time.Second, 10*time.Millisecond)
			time.Sleep(time.Second)
			grown := heapBytes() - heap
			t.Logf("%d requests hold %d kB, %d kB are reserved, %d have ended", requests, grown>>10, (bodies.Held()+memory.Held())>>10, len(outcomes))
			require.LessOrEqual(t, grown, int64(2*limit+requests*perConn))
			require.LessOrEqual(t, memory.Held(), int64(limit))
			require.LessOrEqual(t, bodies.Held(), int64(limit))
			for range len(outcomes) {
				text := <-outcomes
				if strings.Contains(test.text, "id: 1") {
					require.Regexp(t, "^200 id: 1\ndata: a\n\n .*unexpected EOF$", text, "a stream that is cut does not look complete")
					continue
				}
				require.Regexp(t, `^502 .*"memory_full".*<nil>$`, text)
			}
			require.Equal(t, int32(requests), runs.Load(), "each request runs once")
			release()
			require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", <-sound)
			require.Eventually(t, func() bool { return memory.Held()+bodies.Held() == 0 }, 5*time.Second, 10*time.Millisecond)
		})
	}
}

// Guards against memory that a stream keeps after a long event, and against sound streams that end because there is none: short
// events need none.
func TestLongEventsTakeMemoryWhileHeld(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 200<<10) + "\n\n"
	for _, test := range []struct {
		name  string
		limit int64
		sent  []string
		want  error
	}{
		{"long events", 2 << 20, []string{long, "id: 2\ndata: b\n\n", long}, nil},
		{"short events without memory", 1, []string{"id: 1\ndata: a\n\n", strings.Repeat("id: 2\ndata: b\n\n", 1000)}, nil},
		{"long event without memory", 100 << 10, []string{long}, rudderbody.ErrNoMemory},
	} {
		t.Run(test.name, func(t *testing.T) {
			memory := rudderbody.NewBudget(test.limit)
			r := eventReader{source: strings.NewReader(strings.Join(test.sent, "")), memory: memory.ReservationAbove(freeEventBytes, 1)}
			var got strings.Builder
			for {
				event, _, err := r.next()
				if errors.Is(err, io.EOF) {
					break
				}
				if test.want != nil {
					require.ErrorIs(t, err, test.want)
					return
				}
				require.NoError(t, err)
				got.Write(event)
			}
			require.Equal(t, strings.Join(test.sent, ""), got.String())
			require.LessOrEqual(t, memory.Held(), test.limit)
			r.source, r.readErr = strings.NewReader("id: 3\ndata: c\n\n"), nil
			_, _, err := r.next()
			require.NoError(t, err)
			require.Zero(t, memory.Held(), "a stream of short events holds no memory")
		})
	}
}

// post sends a request and returns the status and the beginning of the response; the caller does not hold the rest.
func (b *testbed) post(target string) string {
	r, err := http.NewRequest(http.MethodPost, b.server.URL+target, strings.NewReader("prompt"))
	if err != nil {
		return err.Error()
	}
	r.Host, r.Header = "h", http.Header{"Id": {"q1"}, "Key": {"key"}}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, 500))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return fmt.Sprint(response.StatusCode, " ", string(text), " ", err)
}

func answerHead(status string) string {
	return "HTTP/1.1 " + status + "\r\nSeal: s\r\nId: q1\r\nTransfer-Encoding: chunked\r\n\r\nf0000\r\n"
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // pools keep what they hold for one cycle
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

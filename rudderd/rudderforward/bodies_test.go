package rudderforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
)

// Guards against long bodies that exceed the memory of a host together, against short ones that are refused because of them, and
// against memory that stays reserved after its request.
func TestBodiesAreBoundedTogether(t *testing.T) {
	const limit, long, sent, fit = 1 << 20, 64 << 10, 32, 15
	for _, test := range []struct {
		name string
		body func() io.Reader
	}{
		{"known length", func() io.Reader { return strings.NewReader(strings.Repeat("x", long)) }},
		{"chunked", func() io.Reader { return io.MultiReader(strings.NewReader(strings.Repeat("x", long))) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(r *rudderroute.Route) { r.Kind = rudderroute.KindAtMostOnce; r.Timeout = 20 * time.Second })
			hold := make(chan struct{})
			for range sent { // with room for all requests
				b.target("plain", func(w http.ResponseWriter, r *http.Request) {
					body, _ := io.ReadAll(r.Body)
					if len(body) == long {
						<-hold
					}
					sealed(w)
				})
			}
			b.start()
			release := sync.OnceFunc(func() { close(hold) })
			t.Cleanup(release) // before the servers are closed, which wait for their requests
			b.forwarder.Bodies = rudderbody.NewBudget(limit)
			post := func(body io.Reader) (status int, text string) {
				r, err := http.NewRequest(http.MethodPost, b.server.URL+"/p/x", body)
				if err != nil {
					return 0, err.Error()
				}
				r.Host = "h"
				r.Header.Set("Id", "q1")
				r.Header.Set("Key", "key")
				response, err := http.DefaultClient.Do(r)
				if err != nil {
					return 0, err.Error()
				}
				defer func() { _ = response.Body.Close() }()
				answer, _ := io.ReadAll(response.Body)
				return response.StatusCode, string(answer) + response.Header.Get("Retry-After")
			}
			type outcome struct {
				status int
				text   string
			}
			outcomes := make(chan outcome, sent)
			for range sent {
				go func() {
					status, text := post(test.body())
					outcomes <- outcome{status, text}
				}()
			}
			// At least those above the bound are refused while all others are held.
			for range sent - fit - 1 {
				select {
				case got := <-outcomes:
					require.Equal(t, http.StatusServiceUnavailable, got.status, got.text)
					require.Contains(t, got.text, `"memory_full"`)
					require.Contains(t, got.text, "0.3")
				case <-time.After(5 * time.Second):
					t.Fatalf("%d bytes are held and nothing is refused", b.forwarder.Bodies.Held())
				}
			}
			require.LessOrEqual(t, b.forwarder.Bodies.Held(), int64(limit))
			for range 10 {
				status, text := post(strings.NewReader(strings.Repeat("x", 4<<10)))
				require.Equal(t, http.StatusOK, status, text)
			}
			release()
			served := 0
			for range fit + 1 {
				if got := <-outcomes; got.status == http.StatusOK {
					served++
				} else {
					require.Contains(t, got.text, `"memory_full"`)
				}
			}
			require.Positive(t, served)
			require.Eventually(t, func() bool { return b.forwarder.Bodies.Held() == 0 }, 5*time.Second, time.Millisecond)
			status, text := post(test.body())
			require.Equal(t, http.StatusOK, status, text)
		})
	}
}

// Guards against a body that is refused only after it has arrived, and against memory that stays reserved for a body that is
// refused, too long or broken off.
func TestMemoryOfBodiesThatDoNotArrive(t *testing.T) {
	for _, test := range []struct {
		name, head, part string
		free             int64
		status           int // 0 if the caller leaves
		code             string
	}{
		{"no memory", "Content-Length: 100000", "part", 1000, 503, "memory_full"},
		{"no memory, chunked", "Transfer-Encoding: chunked", "4\r\npart\r\n", 1000, 503, "memory_full"},
		{"too long", "Content-Length: 200000", strings.Repeat("x", 100001), 1 << 20, 413, "body_too_large"},
		{"caller leaves", "Content-Length: 100000", "part", 1 << 20, 0, ""},
		{"caller leaves, chunked", "Transfer-Encoding: chunked", "4\r\npart\r\n", 1 << 20, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.document.Limits.BodyBytes = 100000
			b.route("/p/", func(*rudderroute.Route) {})
			b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
			b.start()
			b.forwarder.Bodies = rudderbody.NewBudget(4 << 20)
			var others []*rudderbody.Reservation
			for free := int64(4 << 20); free > test.free; { // by halves, as one reservation takes at most half
				others = append(others, b.forwarder.Bodies.Reservation(1))
				size := min(free/2, free-test.free)
				require.NoError(t, others[len(others)-1].Resize(size))
				free -= size
			}
			held := b.forwarder.Bodies.Held()
			c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nKey: key\r\n%s\r\n\r\n%s", test.head, test.part)
			require.NoError(t, err)
			if test.status == 0 {
				require.Eventually(t, func() bool { return b.forwarder.Bodies.Held() > held }, time.Second, time.Millisecond)
				require.NoError(t, c.Close())
			} else {
				require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				text, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				require.Equal(t, test.status, response.StatusCode)
				require.Contains(t, string(text), test.code)
			}
			require.Eventually(t, func() bool { return b.forwarder.Bodies.Held() == held }, time.Second, time.Millisecond)
		})
	}
}

// Guards against responses that exceed the memory of a host together: without memory they are passed on as they arrive.
func TestResponseWithoutMemoryIsStreamed(t *testing.T) {
	for _, free := range []int64{1 << 20, 1000} {
		b := newTestbed(t)
		b.route("/p/", func(*rudderroute.Route) {})
		b.target("plain", func(w http.ResponseWriter, _ *http.Request) {
			sealed(w)
			_, _ = w.Write(make([]byte, 100<<10))
		})
		b.start()
		b.forwarder.Bodies = rudderbody.NewBudget(free)
		response, text, err := b.send(http.MethodGet, "/p/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Len(t, text, 100<<10)
		require.Equal(t, free == 1<<20, response.ContentLength >= 0)
		require.Eventually(t, func() bool { return b.forwarder.Bodies.Held() == 0 }, time.Second, time.Millisecond)
	}
}

// Guards against relayed requests of other entry hosts whose bodies are read although there is no memory for them.
func TestRelayedBodiesAreBounded(t *testing.T) {
	b := newTestbed(t)
	b.start()
	b.forwarder.Bodies = rudderbody.NewBudget(1 << 20)
	var mu sync.Mutex
	var passed []int64
	h := b.forwarder.LimitRelayed(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		passed = append(passed, b.forwarder.Bodies.Held())
	}))
	for _, test := range []struct {
		length  int64
		outcome string
	}{{1 << 10, ""}, {256 << 10, ""}, {256<<10 + 1, rudderpath.OutcomeBusy}, {-1, rudderpath.OutcomeBusy}} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, rudderpath.PathPrefix, nil)
		r.ContentLength = test.length
		h.ServeHTTP(w, r)
		require.Equal(t, test.outcome, w.Header().Get(rudderpath.HeaderOutcome), test.length)
		require.Zero(t, b.forwarder.Bodies.Held())
	}
	require.Equal(t, []int64{2 << 10, 512 << 10}, passed)
}

package rudderservice

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
)

// endlessTarget starts a target that answers /endless with a text and then keeps the connection open until hold is closed, and
// other calls with as many bytes as their path names.
func endlessTarget(t *testing.T, text []byte, written *atomic.Int64, hold chan struct{}) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if size, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/")); err == nil {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("y", size))
			return
		}
		_, _ = conn.Write(text)
		written.Add(1)
		<-hold
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// Guards against targets whose responses do not end and that exhaust the memory of a host together, and against such a call that
// runs twice, looks complete or is said not to have run.
func TestEndlessResponsesAreBoundedTogether(t *testing.T) {
	const (
		limit   = 16 << 20
		perCall = 96 << 10 // buffers and goroutines
	)
	fields := func(size int) string {
		var head strings.Builder
		for i := 0; head.Len() < size; i++ {
			_, _ = fmt.Fprintf(&head, "%x: %s\r\n", 1<<20+i, strings.Repeat("x", 1000))
		}
		return head.String()
	}
	for _, test := range []struct {
		name, text string
		calls      int
	}{
		{"heads", "HTTP/1.1 200 OK\r\n" + fields(9<<20), 60},
		{"heads below the limit of one", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X:\r\n", 15<<10), 240},
		{"bodies", "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n" + strings.Repeat("x", 15<<20), 60},
		{"bodies below half of the memory", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20), 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			hold := make(chan struct{})
			defer sync.OnceFunc(func() { close(hold) })()
			d, _ := newDispatcher(endlessTarget(t, []byte(test.text), &written, hold))
			memory := rudderbody.NewBudget(limit)
			d.Timeout, d.Responses = time.Minute, memory
			checkSound := func(size int) {
				answer := memory.ReservationAbove(8<<10, 2)
				defer answer.Release()
				sound := d.Do(t.Context(), Call{RequestID: "q", Method: http.MethodPost, Path: fmt.Sprint("/", size), Memory: answer})
				require.Equal(t, OutcomeComplete, sound.Outcome, "%s %s", sound.Code, sound.Reason)
				require.Len(t, sound.Body, size)
			}
			checkSound(3 << 20)
			heap := heapBytes()
			ctx, cancel := context.WithCancel(t.Context())
			results := make(chan Result, test.calls)
			for range test.calls {
				go func() {
					response := memory.ReservationAbove(8<<10, 2)
					defer response.Release()
					results <- d.Do(ctx, Call{RequestID: "q", Method: http.MethodPost, Path: "/endless", Memory: response})
				}()
			}
			require.Eventually(t, func() bool { return written.Load() == int64(test.calls) }, 30*time.Second, 10*time.Millisecond)
			time.Sleep(time.Second)
			grown := heapBytes() - heap
			t.Logf("%d calls hold %d kB, %d kB are reserved, %d have ended", test.calls, grown>>10, memory.Held()>>10, len(results))
			require.LessOrEqual(t, grown, int64(limit+test.calls*perCall))
			require.LessOrEqual(t, memory.Held(), int64(limit))
			checkSound(4000)
			cancel()
			for range test.calls {
				result := <-results
				require.Equal(t, OutcomeMayHaveRun, result.Outcome)
			}
			require.Equal(t, int64(test.calls), written.Load(), "each call runs once")
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

package rudderforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// frozenTargetEnv makes the test binary serve as a target; its value is the length of its queue of connections.
const frozenTargetEnv = "RUDDER_TEST_TARGET_BACKLOG"

func TestMain(m *testing.M) {
	if text := os.Getenv(frozenTargetEnv); text != "" {
		backlog, err := strconv.Atoi(text)
		if err == nil {
			err = serveAsTarget(backlog)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// serveAsTarget writes its address, and then the ID of each request that it has read to the end, to the standard output. After SIGUSR1
// it closes the connection of each request without a response.
func serveAsTarget(backlog int) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return err
	}
	listener, err := net.FileListener(os.NewFile(uintptr(fd), "listener"))
	if err != nil {
		return err
	}
	breaking := make(chan os.Signal, 1)
	signal.Notify(breaking, syscall.SIGUSR1)
	var breaks atomic.Bool
	go func() { breaks.Store((<-breaking) != nil) }()
	fmt.Println(listener.Addr())
	return http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		fmt.Println(r.Header.Get("Id"))
		if breaks.Load() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		if strings.HasPrefix(r.URL.Path, "/refused/") {
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Pause", "5")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Seal", "s")
		if strings.HasPrefix(r.URL.Path, "/s/") {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		}
	}))
}

// targetProcess is a target in a process of its own, which can be suspended.
type targetProcess struct {
	process *os.Process
	address string

	mu       sync.Mutex
	arrivals map[string]int // by request ID
	changed  time.Time
}

func startTargetProcess(t *testing.T, backlog int) *targetProcess {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), frozenTargetEnv+"="+strconv.Itoa(backlog))
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	p := &targetProcess{process: command.Process, arrivals: map[string]int{}}
	lines := bufio.NewScanner(output)
	require.True(t, lines.Scan())
	p.address = lines.Text()
	read := make(chan struct{})
	go func() {
		defer close(read)
		for lines.Scan() {
			p.mu.Lock()
			p.arrivals[lines.Text()]++
			p.changed = time.Now()
			p.mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		_ = p.process.Kill()
		<-read
		_ = command.Wait()
	})
	return p
}

func (p *targetProcess) signal(t *testing.T, s syscall.Signal) {
	require.NoError(t, p.process.Signal(s))
}

// await returns the arrivals once no more of them have come for a time.
func (p *targetProcess) await(quiet time.Duration) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < quiet || time.Since(p.changed) < quiet; {
		p.mu.Unlock()
		time.Sleep(quiet / 10)
		p.mu.Lock()
	}
	return p.arrivals
}

// sendAs sends a request with an ID and returns the status of its response, or 0 without one.
func (b *testbed) sendAs(ctx context.Context, client *http.Client, id, target, body string, extra http.Header) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+target, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h"
	r.Header.Set("Id", id)
	r.Header.Set("Key", "key")
	maps.Copy(r.Header, extra)
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Targets are suspended while requests that must run once are sent, and their sends end at random moments: by the caller, the time
// limit or a stop of the host, while connecting, writing or waiting. Guards against a request that runs twice, and against a refusal as
// not run of one that its target reads when it goes on.
func TestSuspendedTargetsRunRefusedRequestsNever(t *testing.T) {
	const requests = 150
	for _, test := range []struct {
		name     string
		backlog  int // connections that a suspended target accepts
		kept     int // connections that are open before
		bodySize int
		header   int
		relays   bool // another entry host is asked, which does not answer
		extra    http.Header
	}{
		{"new connections", 1000, 0, 10, 0, false, nil},
		{"kept connections", 1000, 40, 10, 0, false, nil},
		{"no body", 1000, 20, 0, 0, false, nil},
		{"head above the buffer", 1000, 20, 0, 30 << 10, false, nil},
		{"body above the socket's buffers", 1000, 10, 6 << 20, 0, false, nil},
		{"expected continue", 1000, 20, 10, 0, false, http.Header{"Expect": {"100-continue"}}},
		{"few connections are accepted", 4, 4, 10, 0, false, nil},
		{"few connections are accepted, relaying", 4, 4, 10, 0, true, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t)
			b.slots, b.document.Limits.BodyBytes = 1000, 8<<20
			b.route("/p/", func(r *rudderroute.Route) {
				r.Kind, r.MaxAttempts, r.Timeout = rudderroute.KindAtMostOnce, 3, 700*time.Millisecond
			})
			b.route("/s/", func(r *rudderroute.Route) {
				r.Kind, r.MaxAttempts, r.Timeout = rudderroute.KindStream, 3, 700*time.Millisecond
			})
			var targets []*targetProcess
			for range 2 {
				p := startTargetProcess(t, test.backlog)
				b.add("plain", p.address)
				targets = append(targets, p)
			}
			b.start()
			b.forwarder.Client.Transport.(*http.Transport).MaxIdleConnsPerHost = 100
			if test.relays {
				b.forwarder.Relay.Transport = &http.Transport{}
				b.forwarder.Relay.Peers = func() []rudderpath.Peer { return []rudderpath.Peer{{Name: "e1", Address: "127.0.0.1:1"}} }
			}
			transport := &http.Transport{MaxIdleConnsPerHost: requests}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			body := strings.Repeat("b", test.bodySize)
			var warm sync.WaitGroup
			for i := range test.kept {
				warm.Go(func() { b.sendAs(t.Context(), client, fmt.Sprint("warm", i), "/p/x", "", nil) })
			}
			warm.Wait()
			for _, p := range targets {
				p.signal(t, syscall.SIGSTOP)
			}
			var mu sync.Mutex
			status := map[string]int{}
			var sending sync.WaitGroup
			for i := range requests {
				sending.Go(func() {
					time.Sleep(rand.N(300 * time.Millisecond))
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					if i%3 == 0 {
						time.AfterFunc(rand.N(20*time.Millisecond), cancel)
					}
					id, path := fmt.Sprint("q", i), "/p/x"+strings.Repeat("y", test.header)
					if i%2 == 0 {
						path = "/s/x"
					}
					got := b.sendAs(ctx, client, id, path, body, test.extra)
					mu.Lock()
					defer mu.Unlock()
					status[id] = got
				})
			}
			for range 4 {
				time.Sleep(100 * time.Millisecond)
				b.forwarder.CancelUnanswered()
			}
			time.Sleep(rand.N(time.Second))
			for _, p := range targets {
				p.signal(t, syscall.SIGCONT)
			}
			sending.Wait()
			arrivals := map[string]int{}
			for _, p := range targets {
				for id, n := range p.await(1500 * time.Millisecond) {
					arrivals[id] += n
				}
			}
			promised, late := 0, 0
			for id, got := range status {
				require.LessOrEqual(t, arrivals[id], 1, "%s ran twice", id)
				if promisesNotRun(got) {
					promised++
					require.Zero(t, arrivals[id], "%s ran and was answered %d", id, got)
				} else if got != http.StatusOK {
					late += arrivals[id]
				}
			}
			t.Logf("%d refused as not run, %d others, %d of them ran late", promised, requests-promised, late)
		})
	}
}

// Guards against repeated sends beyond the budget when all targets of a service fall silent at once: at the hosts together, for streams
// and calls, and also if all sends break at the same moment when the targets go on.
func TestBudgetHoldsWhileTargetsAreSilentTogether(t *testing.T) {
	const (
		hosts, perHost = 4, 50
		ratio, extra   = 0.2, 8
	)
	for _, breaks := range []bool{false, true} {
		t.Run(fmt.Sprint("sends break ", breaks), func(t *testing.T) {
			var targets []*targetProcess
			for range 3 {
				targets = append(targets, startTargetProcess(t, 1000))
			}
			var beds []*testbed
			for range hosts {
				b := newTestbed(t)
				b.slots = 1000
				b.route("/p/", func(r *rudderroute.Route) { r.MaxAttempts, r.Timeout = 3, 3*time.Second })
				b.route("/s/", func(r *rudderroute.Route) {
					r.Kind, r.Resumable, r.MaxAttempts, r.Timeout = rudderroute.KindStream, true, 3, 3*time.Second
				})
				for _, p := range targets {
					b.add("plain", p.address)
				}
				for i := range hosts {
					name := fmt.Sprint("e", i)
					b.record(rudderview.EntryPrefix+name, rudderview.EntryHost{Name: name, Address: "127.0.0.1:1"})
				}
				b.start()
				b.forwarder.Retries = RetryLimits{Ratio: ratio, Extra: extra, Window: 10 * time.Second}
				require.Len(t, b.forwarder.View.Snapshot().EntryHosts, hosts)
				beds = append(beds, b)
			}
			for i := range 8 { // of each host, so that it knows the usual time to a response
				for _, b := range beds {
					require.Equal(t, 200, b.sendAs(t.Context(), http.DefaultClient, fmt.Sprint("warm", i), []string{"/p/x", "/s/x"}[i%2], "", nil))
				}
			}
			for _, p := range targets {
				p.signal(t, syscall.SIGSTOP)
			}
			var sending sync.WaitGroup
			for h, b := range beds {
				for i := range perHost {
					sending.Go(func() {
						b.sendAs(t.Context(), http.DefaultClient, fmt.Sprint("q", h, "-", i), []string{"/p/x", "/s/x"}[i%2], "body", nil)
					})
				}
			}
			time.Sleep(1200 * time.Millisecond)
			for _, p := range targets {
				if breaks {
					p.signal(t, syscall.SIGUSR1)
				}
				p.signal(t, syscall.SIGCONT)
			}
			sending.Wait()
			all, repeats := 0, 0
			arrivals := map[string]int{}
			for _, p := range targets {
				for id, n := range p.await(500 * time.Millisecond) {
					arrivals[id] += n
				}
			}
			for id, n := range arrivals {
				if strings.HasPrefix(id, "q") {
					all++
					repeats += n - 1
				}
			}
			t.Logf("%d requests arrived, %d of them again", all, repeats)
			require.LessOrEqual(t, float64(repeats), ratio*hosts*(perHost+8)+extra)
			if breaks {
				require.Positive(t, repeats, "nothing was sent again")
			}
		})
	}
}

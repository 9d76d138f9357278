package rudderpath

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// frozenPeerEnv makes the test binary serve as an entry host that relays requests.
	frozenPeerEnv    = "RUDDER_TEST_PEER"
	frozenPeerSecret = "secret-of-the-entry-hosts"
)

func TestMain(m *testing.M) {
	if os.Getenv(frozenPeerEnv) != "" {
		fmt.Fprintln(os.Stderr, serveAsPeer())
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// serveAsPeer writes its address, and then the ID of each request that it would send to a target, to the standard output.
func serveAsPeer() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	verifier := &rudderpeer.Verifier{Keys: rudderpeer.NewKeyring([]byte(frozenPeerSecret)), Clock: clockwork.NewRealClock(), MaxBodyBytes: MaxBodyBytes + MaxHeadBytes}
	return rudderpeer.NewServer(verifier.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := DecodeRequest(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fmt.Println(q.ID)
		_ = CopyResponse(w, &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, func() {})
	}))).Serve(listener)
}

// peerProcess is an entry host in a process of its own, which can be suspended.
type peerProcess struct {
	process *os.Process
	address string

	mu       sync.Mutex
	arrivals map[string]int // by request ID
	changed  time.Time
}

func startPeerProcess(t *testing.T) *peerProcess {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), frozenPeerEnv+"=1")
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	p := &peerProcess{process: command.Process, arrivals: map[string]int{}}
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

// await returns the arrivals once no more of them have come for a time.
func (p *peerProcess) await(quiet time.Duration) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < quiet || time.Since(p.changed) < quiet; {
		p.mu.Unlock()
		time.Sleep(quiet / 10)
		p.mu.Lock()
	}
	return p.arrivals
}

// Entry hosts that relay requests are suspended, and the calls to them end at random moments, while connecting, writing or waiting.
// Guards against a request that counts as not sent, or is offered to the next entry host, although a suspended one reads it when it goes
// on.
func TestSuspendedPeersReadNoCallThatCountsAsNotSent(t *testing.T) {
	const calls = 150
	for _, test := range []struct {
		name string
		kept bool // connections are open before
		size int
	}{
		{"new connections", false, 10}, {"kept connections", true, 10}, {"bodies above the flow-control window", true, 200 << 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			pool := &rudderpeer.Pool{Dial: (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext}
			defer pool.CloseIdleConnections()
			var peers []*peerProcess
			var list []Peer
			for i := range 2 {
				p := startPeerProcess(t)
				peers, list = append(peers, p), append(list, Peer{Name: fmt.Sprint("e", i), Address: p.address})
			}
			begin := time.Now()
			relay := &Relay{
				Uptime: func() time.Duration { return time.Since(begin) + 1 }, Peers: func() []Peer { return list },
				Transport: &rudderpeer.Transport{Keys: rudderpeer.NewKeyring([]byte(frozenPeerSecret)), Clock: clockwork.NewRealClock(), Base: pool},
			}
			send := func(ctx context.Context, id string, size int) error {
				response, err := relay.Send(ctx, Request{ID: id, Target: "t", Service: id, Method: http.MethodPost, RequestTarget: "/", Body: []byte(strings.Repeat("b", size))})
				if err == nil {
					_ = response.Body.Close()
				}
				return err
			}
			for i := range 8 {
				if test.kept {
					require.NoError(t, send(t.Context(), fmt.Sprint("warm", i), 10))
				}
			}
			for _, p := range peers {
				require.NoError(t, p.process.Signal(syscall.SIGSTOP))
			}
			var mu sync.Mutex
			errs := map[string]error{}
			var sending sync.WaitGroup
			for i := range calls {
				sending.Go(func() {
					time.Sleep(rand.N(300 * time.Millisecond))
					limit := time.Second
					if i%2 == 0 {
						limit = rand.N(3 * time.Millisecond)
					}
					ctx, cancel := context.WithTimeout(t.Context(), limit)
					defer cancel()
					id := fmt.Sprint("q", i)
					err := send(ctx, id, test.size)
					mu.Lock()
					defer mu.Unlock()
					errs[id] = err
				})
			}
			time.Sleep(700*time.Millisecond + rand.N(600*time.Millisecond))
			for _, p := range peers {
				require.NoError(t, p.process.Signal(syscall.SIGCONT))
			}
			sending.Wait()
			arrivals := map[string]int{}
			for _, p := range peers {
				for id, n := range p.await(time.Second) {
					arrivals[id] += n
				}
			}
			notSent, late := 0, 0
			for id, err := range errs {
				require.LessOrEqual(t, arrivals[id], 1, "%s was read twice", id)
				switch {
				case errors.Is(err, ErrNoPeer):
					notSent++
					require.Zero(t, arrivals[id], "%s: %v", id, err)
				case err != nil:
					late += arrivals[id]
				}
			}
			t.Logf("%d not sent, %d others, %d of them read after their call had ended", notSent, calls-notSent, late)
		})
	}
}

package rudderforward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// asking is a stand-in for a target that counts the requests that reach it and can leave or ask for a pause.
type asking struct {
	arrivals atomic.Int32
	leaving  atomic.Bool
	mu       sync.Mutex
	pause    time.Duration // asked for by the next answers
	until    time.Time     // of the last pause that was asked for
	begin    time.Time     // from which on requests within the pause count
	within   int           // requests that came within a pause
	runs     map[string]int
}

// late is the time after an answer from which on a pause binds: requests may have been under way.
const late = 500 * time.Millisecond

func (a *asking) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.arrivals.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.After(a.begin) && now.Before(a.until) {
		a.within++
	}
	if a.leaving.Load() {
		w.Header().Set("Leaving", "1")
	}
	if a.pause > 0 {
		a.begin, a.until = now.Add(late), now.Add(a.pause)
		w.Header().Set("Pause", strconv.FormatFloat(a.pause.Seconds(), 'f', 3, 64))
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if a.runs != nil {
		a.runs[r.Header.Get("Id")]++
	}
	w.Header().Set("Seal", "s")
	w.Header().Set("Id", r.Header.Get("Id"))
}

func (a *asking) ask(pause time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pause = pause
}

// Guards against requests that go on reaching a target after one of its answers has said that it leaves, while its record
// still says that it is live.
func TestLeavingByAnswerTakesATargetOutOfTheChoice(t *testing.T) {
	for _, test := range []struct {
		name    string
		service string
		route   func(r *rudderroute.Route)
	}{
		{"plain service", "plain", func(*rudderroute.Route) {}},
		{"group", "llm", func(r *rudderroute.Route) { r.Shares = []rudderroute.Share{{Service: "llm", Weight: 1}} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.route("/p/", test.route)
			targets := []*asking{{}, {}}
			for _, a := range targets {
				b.target(test.service, a.ServeHTTP)
			}
			b.start()
			targets[0].leaving.Store(true)
			for targets[0].arrivals.Load() == 0 {
				response, _, _ := b.send("GET", "/p/x", "")
				require.Equal(t, 200, response.StatusCode)
			}
			for range 50 {
				response, _, _ := b.send("GET", "/p/x", "")
				require.Equal(t, 200, response.StatusCode)
			}
			require.Equal(t, int32(1), targets[0].arrivals.Load(), "nothing reaches the leaving target after its answer")
			require.Equal(t, []rudderview.Announcement{{Target: "t1", Born: 1}}, b.forwarder.View.UnrecordedAnnouncements())

			targets[1].leaving.Store(true)
			response, _, _ := b.send("GET", "/p/x", "")
			require.Equal(t, 200, response.StatusCode, "what is under way ends well")
			response, _, _ = b.send("GET", "/p/x", "")
			require.Equal(t, 503, response.StatusCode)
		})
	}
}

// Guards against an answer of another request that takes a sound target out of service.
func TestLeavingByAnswerOfAnotherRequestDoesNotCount(t *testing.T) {
	b := newBench(t)
	b.route("/p/", func(r *rudderroute.Route) { r.MaxAttempts = 1 })
	b.target("plain", func(w http.ResponseWriter, _ *http.Request) {
		sealed(w)
		w.Header().Set("Id", "q0")
		w.Header().Set("Leaving", "1")
	})
	b.start()
	_, _, _ = b.send("GET", "/p/x", "")
	require.Empty(t, b.forwarder.View.UnrecordedAnnouncements())
}

// Guards against requests that reach a target within a pause that it has asked this entry host for, by a retry, another
// request or the choice without an owner.
func TestPauseOfATargetIsKept(t *testing.T) {
	for _, service := range []string{"plain", "llm"} {
		t.Run(service, func(t *testing.T) {
			b := newBench(t)
			b.route("/p/", func(r *rudderroute.Route) { r.Shares = []rudderroute.Share{{Service: service, Weight: 1}} })
			targets := []*asking{{pause: 1200 * time.Millisecond}, {}}
			for _, a := range targets {
				b.target(service, a.ServeHTTP)
			}
			b.start()
			for begin := time.Now(); targets[0].arrivals.Load() == 0 || time.Since(begin) < 1100*time.Millisecond; {
				response, _, _ := b.send("GET", "/p/x", "")
				require.Equal(t, 200, response.StatusCode, "the other target serves")
			}
			require.Equal(t, int32(1), targets[0].arrivals.Load())
			targets[0].ask(0)
			require.Eventually(t, func() bool {
				_, _, _ = b.send("GET", "/p/x", "")
				return targets[0].arrivals.Load() > 1
			}, 5*time.Second, 5*time.Millisecond, "it is asked again after the pause")
		})
	}
}

// Guards against callers that wait for, or come back before, targets that all want nothing, and against callers that are
// all told the same moment.
func TestCallersAreToldWhenTargetsTakeRequestsAgain(t *testing.T) {
	const pause = 3 * time.Second
	b := newBench(t)
	b.route("/p/", func(*rudderroute.Route) {})
	targets := []*asking{{pause: pause}, {pause: 2 * pause}}
	for _, a := range targets {
		b.target("plain", a.ServeHTTP)
	}
	b.start()
	begin := time.Now()
	_, _, _ = b.send("GET", "/p/x", "")
	told := map[string]bool{}
	for range 20 {
		sent := time.Now()
		response, _, _ := b.send("GET", "/p/x", "")
		require.Equal(t, 503, response.StatusCode)
		require.Less(t, time.Since(sent), 200*time.Millisecond, "the refusal does not wait")
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		left := pause - time.Since(begin)
		require.GreaterOrEqual(t, after, left.Seconds()-0.001)
		require.Less(t, after, 1.5*pause.Seconds(), "the sooner target counts")
		told[response.Header.Get("Retry-After")] = true
	}
	require.Greater(t, len(told), 10, "callers are spread")
	require.Equal(t, int32(1), targets[0].arrivals.Load())
	require.Equal(t, int32(1), targets[1].arrivals.Load())
}

// Guards against pauses that outlive the life of the target that asked, and against pauses that bind other targets.
func TestPauseBindsOneLife(t *testing.T) {
	var p pauses
	a := &rudderview.Target{Born: 1}
	a.Name = "a"
	again, other := *a, *a
	again.Born, other.Name = 2, "b"
	p.set(a, 10*time.Second, time.Second)
	p.set(a, 5*time.Second, 2*time.Second) // a shorter one does not end it
	require.Equal(t, 8*time.Second, p.left(a, 2*time.Second))
	require.Zero(t, p.left(a, 11*time.Second))
	require.Zero(t, p.left(&again, 2*time.Second))
	require.Zero(t, p.left(&other, 2*time.Second))
	p.forget(time.Minute)
	require.Empty(t, p.targets)
}

// Targets leave, ask for pauses and take requests again, by turns and together, while callers send requests that must not
// repeat. Guards against any sequence after which a target sees more than two requests within a pause, or any after it
// said that it leaves, and against requests that run twice.
func TestRandomPausesAndLeaves(t *testing.T) {
	for _, service := range []string{"plain", "llm"} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprint(service, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				playPauses(t, service, seed)
			})
		}
	}
}

func playPauses(t *testing.T, service string, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 1))
	b := newBench(t)
	b.route("/p/", func(r *rudderroute.Route) {
		r.Kind, r.MaxAttempts = rudderroute.KindAtMostOnce, 2
		r.Shares = []rudderroute.Share{{Service: service, Weight: 1}}
	})
	targets := make([]*asking, 6)
	for i := range targets {
		targets[i] = &asking{runs: map[string]int{}}
		b.target(service, targets[i].ServeHTTP)
	}
	b.start()
	var callers sync.WaitGroup
	stop := make(chan struct{})
	var next, refused atomic.Int64
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r, err := http.NewRequest(http.MethodGet, b.server.URL+"/p/x", nil)
				if err != nil {
					return
				}
				r.Host = "h"
				r.Header = http.Header{"Id": {fmt.Sprint("r", next.Add(1))}, "Key": {"key"}}
				response, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Error(err)
					return
				}
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					refused.Add(1)
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	left := map[int]int32{}
	for range 25 {
		time.Sleep(time.Duration(20+draw.IntN(160)) * time.Millisecond)
		i := draw.IntN(len(targets))
		switch draw.IntN(4) {
		case 0:
			if len(left) < 3 && left[i] == 0 {
				targets[i].leaving.Store(true)
			}
		case 1, 2:
			targets[i].ask(time.Duration(600+draw.IntN(1200)) * time.Millisecond)
		default:
			targets[i].ask(0)
		}
		for i, a := range targets {
			if _, noted := left[i]; a.leaving.Load() && !noted {
				time.Sleep(late) // a request with the answer must have come
				left[i] = a.arrivals.Load()
			}
		}
	}
	close(stop)
	callers.Wait()
	runs := map[string]int{}
	for i, a := range targets {
		require.LessOrEqual(t, a.within, 2, "target %d within its pauses", i)
		if arrivals, noted := left[i]; noted && len(b.forwarder.View.UnrecordedAnnouncements()) > 0 {
			require.LessOrEqual(t, a.arrivals.Load(), arrivals+1, "target %d after it left", i)
		}
		for id, n := range a.runs {
			runs[id] += n
		}
	}
	for id, n := range runs {
		require.Equal(t, 1, n, "request %s", id)
	}
	t.Logf("%d requests, %d not served", next.Load(), refused.Load())
	require.NotEmpty(t, runs)
}

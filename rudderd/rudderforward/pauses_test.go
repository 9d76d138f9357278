package rudderforward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// fakeTarget counts the requests that it receives. It can announce that it leaves, or request a pause.
type fakeTarget struct {
	arrivals atomic.Int32
	leaving  atomic.Bool
	mu       sync.Mutex
	pause    time.Duration // sent with the next responses
	until    time.Time     // end of the last pause that was sent
	begin    time.Time     // time from which requests within the pause are counted
	within   int           // number of requests that arrived within a pause
	runs     map[string]int
}

// pauseGrace is the time after a response in which requests within its pause are tolerated, because they may
// have been in flight.
const pauseGrace = 500 * time.Millisecond

func (a *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		a.begin, a.until = now.Add(pauseGrace), now.Add(a.pause)
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

func (a *fakeTarget) setPause(pause time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pause = pause
}

// Guards against sending requests to a target that has announced in a response that it leaves, while its
// record still has the state live.
func TestTargetIsNotChosenAfterLeavingResponse(t *testing.T) {
	for _, test := range []struct {
		name    string
		service string
		route   func(r *rudderroute.Route)
	}{
		{"plain service", "plain", func(*rudderroute.Route) {}},
		{"group", "llm", func(r *rudderroute.Route) { r.Shares = []rudderroute.Share{{Service: "llm", Weight: 1}} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", test.route)
			targets := []*fakeTarget{{}, {}}
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
			require.Equal(t, int32(1), targets[0].arrivals.Load(), "no request reaches the target after it announced that it leaves")
			require.Equal(t, []rudderview.Announcement{{Target: "t1", Born: 1}}, b.forwarder.View.UnrecordedAnnouncements())

			targets[1].leaving.Store(true)
			response, _, _ := b.send("GET", "/p/x", "")
			require.Equal(t, 200, response.StatusCode, "a request in flight still succeeds")
			response, _, _ = b.send("GET", "/p/x", "")
			require.Equal(t, 503, response.StatusCode)
		})
	}
}

// Guards against taking a working target out of service because of a response that belongs to another
// request.
func TestLeavingByAnswerOfAnotherRequestDoesNotCount(t *testing.T) {
	b := newTestbed(t)
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

// Guards against requests that reach a target within a pause that it has requested, whether by a retry,
// another request or a choice without the model's owner.
func TestPauseOfATargetIsKept(t *testing.T) {
	for _, service := range []string{"plain", "llm"} {
		t.Run(service, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(r *rudderroute.Route) { r.Shares = []rudderroute.Share{{Service: service, Weight: 1}} })
			targets := []*fakeTarget{{pause: 1200 * time.Millisecond}, {}}
			for _, a := range targets {
				b.target(service, a.ServeHTTP)
			}
			b.start()
			for begin := time.Now(); targets[0].arrivals.Load() == 0 || time.Since(begin) < 1100*time.Millisecond; {
				response, _, _ := b.send("GET", "/p/x", "")
				require.Equal(t, 200, response.StatusCode, "the other target serves")
			}
			require.Equal(t, int32(1), targets[0].arrivals.Load())
			targets[0].setPause(0)
			require.Eventually(t, func() bool {
				_, _, _ = b.send("GET", "/p/x", "")
				return targets[0].arrivals.Load() > 1
			}, 5*time.Second, 5*time.Millisecond, "it gets requests again after the pause")
		})
	}
}

// Guards against holding callers while all targets have a pause, against retry times before the end of the
// first pause, and against the same retry time for all of them.
func TestRetryAfterIsEndOfFirstPause(t *testing.T) {
	const pause = 3 * time.Second
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	targets := []*fakeTarget{{pause: pause}, {pause: 2 * pause}}
	for _, a := range targets {
		b.target("plain", a.ServeHTTP)
	}
	b.start()
	begin := time.Now()
	_, _, _ = b.send("GET", "/p/x", "")
	retryTimes := map[string]bool{}
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
		retryTimes[response.Header.Get("Retry-After")] = true
	}
	require.Greater(t, len(retryTimes), 10, "the retry times are spread")
	require.Equal(t, int32(1), targets[0].arrivals.Load())
	require.Equal(t, int32(1), targets[1].arrivals.Load())
}

// Guards against pauses that apply to a later incarnation of a target, or to other targets.
func TestPauseAppliesToOneIncarnation(t *testing.T) {
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
	p.prune(time.Minute)
	require.Empty(t, p.targets)
}

// Targets leave, request pauses and accept requests again, in random order, while callers send requests that
// must run at most once. Guards against a target that gets more than two requests within a pause, or any
// after it announced that it leaves, and against requests that run twice.
func TestRandomPausesAndLeaves(t *testing.T) {
	for _, service := range []string{"plain", "llm"} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprint(service, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runRandomPauses(t, service, seed) })
			})
		}
	}
}

func runRandomPauses(t *testing.T, service string, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 1))
	b := newBubbleTestbed(t)
	b.route("/p/", func(r *rudderroute.Route) {
		r.Kind, r.MaxAttempts = rudderroute.KindAtMostOnce, 2
		r.Shares = []rudderroute.Share{{Service: service, Weight: 1}}
	})
	targets := make([]*fakeTarget, 6)
	for i := range targets {
		targets[i] = &fakeTarget{runs: map[string]int{}}
		b.target(service, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(10 * time.Millisecond) // or the clock would not advance
			targets[i].ServeHTTP(w, r)
		})
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
				response, err := b.client.Do(r)
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
			targets[i].setPause(time.Duration(600+draw.IntN(1200)) * time.Millisecond)
		default:
			targets[i].setPause(0)
		}
		for i, a := range targets {
			if _, noted := left[i]; a.leaving.Load() && !noted {
				time.Sleep(pauseGrace) // wait until a request has received the announcement
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

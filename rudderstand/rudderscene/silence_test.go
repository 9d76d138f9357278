package rudderscene

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderapp"
	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderswitch"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// silences holds back the packets of silent targets: their connections live on without traffic, and new ones are not
// accepted.
type silences struct {
	mu   sync.Mutex
	ends map[string]chan struct{} // by address of a silent target
}

func (s *silences) set(address string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, was := s.ends[address]
	switch {
	case silent && !was:
		s.ends[address] = make(chan struct{})
	case !silent && was:
		delete(s.ends, address)
		close(end)
	}
}

// wait waits until the target is not silent. It returns false if the channel is closed first.
func (s *silences) wait(address string, done <-chan struct{}) bool {
	for {
		s.mu.Lock()
		end, silent := s.ends[address]
		s.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-end:
		case <-done:
			return false
		}
	}
}

func (s *silences) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !s.wait(address, ctx.Done()) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: conn, silences: s, address: address, closed: make(chan struct{})}, nil
}

type silentConn struct {
	net.Conn
	silences *silences
	address  string
	once     sync.Once
	closed   chan struct{}
}

// Read implements net.Conn.
func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.silences.wait(c.address, c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *silentConn) Write(b []byte) (int, error) {
	if !c.silences.wait(c.address, c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// silentScene is a scene whose targets fall silent.
type silentScene struct {
	stopScene
	silences silences
	live     []*Entry // not stopping; guarded by stopScene.mu
}

// entry returns the address of an entry host that is not stopping.
func (s *silentScene) entry(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[i%len(s.live)].App.CallerAddress()
}

func startSilentScene(t *testing.T, change func(*rudderfleetstand.Layout)) *silentScene {
	t.Helper()
	layout := rudderfleetstand.Small()
	change(&layout)
	location := Location{rudderfleetstand.RegionKigali, "kigali-1"}
	s := &silentScene{silences: silences{ends: map[string]chan struct{}{}}}
	s.results = map[string][]ruddercaller.Result{}
	s.Scene = &Scene{
		Fleet: &rudderfleetstand.Fleet{Layout: layout}, Locations: []Location{location, location, location},
		Settings:     map[string]string{"entry-lifetime": "1s", "stop-grace": "10s"},
		BeforeListen: func(_ int, app *rudderapp.App) { app.TargetDial = s.silences.dial },
	}
	if os.Getenv("SCENE_LOGS") != "" {
		s.Logs = os.Stderr
	}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start())
	awaitAnswers(t, s.Scene)
	planned := layout.Document.Selectors[0].WantedGroups + len(layout.Services)
	require.NoError(t, Await(20*time.Second, "groups", func() bool { return len(plannedGroups(t, s.Scene)) == planned }))
	awaitAnswers(t, s.Scene)
	s.live = s.Entries()
	return s
}

// callAt starts a request at an entry host. It is sent again only if the entry host says that it did not run.
func (s *silentScene) callAt(address, kind string, request func(context.Context, *ruddercaller.Caller) ruddercaller.Result) {
	workspace := rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1)
	s.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		c := &ruddercaller.Caller{Key: rudderfleetstand.WorkspaceKey(workspace), Workspace: workspace, HTTP: http.DefaultClient, Record: s.recorder.Answer, MaxAttempts: 1}
		r := request(ctx, c.UseEntry(address))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results[kind] = append(s.results[kind], r)
	})
}

func (s *silentScene) chatAt(address, name string, tokens int) {
	s.callAt(address, "chat", func(ctx context.Context, c *ruddercaller.Caller) ruddercaller.Result {
		return c.Chat(ctx, ruddercaller.Chat{Model: rudderfleetstand.ModelLedger, Prompt: name + rudderengine.LengthMark(tokens), MaxTokens: tokens, Stream: true})
	})
}

// Half of the targets fall silent for a time and go on, again and again, beside changes of the configuration and planned
// stops of entry hosts. Guards against answers that are cut, groups that are dropped and attempts that are spent
// because of it.
func TestSilentTargetsGoOn(t *testing.T) {
	const period, length, interval, gapLimit = 2900 * time.Millisecond, 15 * time.Second, 120 * time.Millisecond, 4 * time.Second
	for _, silence := range []time.Duration{500 * time.Millisecond, 1100 * time.Millisecond, 1300 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			s := startSilentScene(t, func(*rudderfleetstand.Layout) {})
			groups := plannedGroups(t, s.Scene)
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			var background sync.WaitGroup
			background.Go(func() { s.silenceHalf(ctx, silence, period) })
			background.Go(func() { s.changeAndStop(ctx, t) })
			for i := 0; ctx.Err() == nil; i++ {
				name := fmt.Sprint("silence ", i, " ")
				address := s.entry(i)
				if i%4 == 3 {
					s.callAt(address, "call", func(ctx context.Context, c *ruddercaller.Caller) ruddercaller.Result {
						return c.Call(ctx, ruddercaller.Call{Service: rudderfleetstand.ServiceLedger, Method: http.MethodPost, Path: "/book", Body: name, Key: name})
					})
				} else {
					s.chatAt(address, name, []int{20, 150, 300}[i%3])
				}
				time.Sleep(interval)
			}
			background.Wait()
			s.running.Wait()
			require.Less(t, s.report(t), gapLimit, "longest gap")
			require.Equal(t, groups, plannedGroups(t, s.Scene), "groups")
			require.Empty(t, rudderoracle.Check(s.recorder.Evidence(s.Fleet.Fabric.Ledger.Runs(), s.Fleet.Calls.Calls())))
		})
	}
}

// report logs the outcomes, and fails the test for an answer that has begun and was cut. It returns the longest gap.
func (s *silentScene) report(t *testing.T) time.Duration {
	t.Helper()
	outcomes, cut := map[string]int{}, 0
	var longest time.Duration
	for kind, results := range s.results {
		for _, r := range results {
			outcomes[kind+" "+r.Answer.Outcome+" "+r.Answer.Code]++
			if r.Answer.Text != "" && r.Answer.Outcome != rudderoracle.OutcomeComplete {
				cut++
			}
			for _, gap := range r.Gaps {
				longest = max(longest, gap)
			}
		}
	}
	attempts := map[int]int{}
	for _, run := range s.Fleet.Fabric.Ledger.Runs() {
		attempts[run.Attempt]++
	}
	t.Logf("outcomes %v, begun answers cut %d, longest gap %v, runs by attempt %v", outcomes, cut, longest, attempts)
	require.Zero(t, cut, "answers that have begun were cut")
	return longest
}

// silenceHalf silences a random half of the targets in each period.
func (s *silentScene) silenceHalf(ctx context.Context, silence, period time.Duration) {
	random := rand.New(rand.NewPCG(45, 1))
	var addresses []string
	for _, h := range s.Fleet.Hosts {
		addresses = append(addresses, h.Address)
	}
	slices.Sort(addresses)
	for ctx.Err() == nil {
		random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		half := addresses[:len(addresses)/2]
		for _, a := range half {
			s.silences.set(a, true)
		}
		time.Sleep(silence)
		for _, a := range half {
			s.silences.set(a, false)
		}
		time.Sleep(period - silence)
	}
}

// changeAndStop changes the configuration and stops and replaces an entry host, in turn.
func (s *silentScene) changeAndStop(ctx context.Context, t *testing.T) {
	for i := 0; ctx.Err() == nil; i++ {
		s.mu.Lock()
		admin := &rudderadmin.Client{Addresses: []string{s.live[len(s.live)-1].App.AdminAddress()}, Token: rudderfleetstand.OperatorToken, HTTP: http.DefaultClient}
		s.mu.Unlock()
		selector := s.Fleet.Document.Selectors[slices.IndexFunc(s.Fleet.Document.Selectors, func(c rudderconfig.Selector) bool { return c.Service == "" })]
		selector.Priority += 1 + i
		if err := admin.Do(ctx, http.MethodPut, "/selectors/"+selector.Name, nil, 0, selector, &rudderadmin.ChangeResult{}); err != nil {
			t.Log("change: ", err)
		}
		s.mu.Lock()
		stopping := s.live[0]
		s.live = slices.Clone(s.live[1:])
		s.mu.Unlock()
		if err := stopping.Stop(); err != nil {
			t.Error(err)
		}
		next, err := s.StartEntry(i % len(s.Locations))
		if err != nil {
			t.Error(err)
			return
		}
		s.mu.Lock()
		s.live = append(s.live, next)
		s.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// Guards against streams that wait long for targets that are lost for good.
func TestLostTargetsAreRepairedSoon(t *testing.T) {
	const limit, tokens = 1500 * time.Millisecond, 250
	for _, test := range []struct {
		name string
		lose func(s *silentScene, host *rudderfleetstand.Host)
	}{
		{"killed", func(_ *silentScene, host *rudderfleetstand.Host) { host.Engine.Kill() }},
		{"restarted", func(_ *silentScene, host *rudderfleetstand.Host) { _ = host.Engine.Restart() }},
		{"silent for good", func(s *silentScene, host *rudderfleetstand.Host) { s.silences.set(host.Address, true) }},
		{"open connections silent for good", func(_ *silentScene, host *rudderfleetstand.Host) { host.Engine.StallConnections() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSilentScene(t, func(*rudderfleetstand.Layout) {})
			for i := range 8 {
				s.chatAt(s.entry(i), fmt.Sprint("loss ", i, " "), tokens)
			}
			time.Sleep(time.Second)
			runs := s.Fleet.Fabric.Ledger.Runs()
			lost, on := runs[len(runs)-1].Host, 0
			for _, r := range runs {
				if r.Host == lost && r.End.IsZero() {
					on++
				}
			}
			test.lose(s, s.Fleet.Host(lost))
			s.running.Wait()
			var longest time.Duration
			for _, r := range s.results["chat"] {
				require.Equal(t, rudderoracle.OutcomeComplete, r.Answer.Outcome, "%+v", r.Answer)
				longest = max(longest, slices.Max(r.Gaps))
			}
			t.Logf("%d streams on the lost group, longest gap %v", on, longest)
			require.Positive(t, on)
			require.Less(t, longest, limit)
		})
	}
}

// Guards against begun streams that are cut because few groups are left on which no other stream of the lost group runs.
func TestStreamsOfALostGroupGoOnBesideEachOther(t *testing.T) {
	s := startSilentScene(t, func(l *rudderfleetstand.Layout) { l.Document.Selectors[0].WantedGroups = 2 })
	for i := range 14 {
		s.chatAt(s.entry(0), fmt.Sprint("beside ", i, " "), 400)
	}
	time.Sleep(time.Second)
	runs := s.Fleet.Fabric.Ledger.Runs()
	_ = s.Fleet.Host(runs[len(runs)-1].Host).Engine.Restart()
	s.running.Wait()
	s.report(t)
}

// A third of the targets accept requests and never answer them, for a time in each period, while they report that they are
// sound. Guards against requests that wait for such a target until their callers leave, and against once-only calls that are
// sent twice or reported as not run.
func TestHangingTargets(t *testing.T) {
	const hang, period, length, interval = 1200 * time.Millisecond, 2900 * time.Millisecond, 12 * time.Second, 100 * time.Millisecond
	const chatLimit, callLimit = 3 * time.Second, 8 * time.Second
	s := startSilentScene(t, func(l *rudderfleetstand.Layout) {
		for i := range 2 {
			more := l.Services[0]
			more.Name = fmt.Sprint(more.Name, "-", i+2)
			l.Services = append(l.Services, more)
		}
		l.Document.Services[0].Idempotent = []rudderconfig.IdempotencyRule{{Method: http.MethodGet, Path: "/balance/*"}}
	})
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	hosts := slices.Clone(s.Fleet.Hosts)
	random := rand.New(rand.NewPCG(45, 2))
	s.running.Go(func() {
		for ctx.Err() == nil {
			random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
			for _, off := range []bool{false, true} {
				for _, h := range hosts[:len(hosts)/3] {
					if err := h.Set(rudderswitch.Fault{Kind: rudderswitch.KindHang, Off: off}); err != nil {
						t.Error(err)
					}
				}
				if off {
					time.Sleep(period - hang)
				} else {
					time.Sleep(hang)
				}
			}
		}
	})
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprint("hang ", i, " ")
		call := ruddercaller.Call{Service: rudderfleetstand.ServiceLedger, Method: http.MethodPost, Path: "/book", Body: name, Key: name}
		kind := "once-only"
		if i%2 == 0 {
			kind, call = "repeatable", ruddercaller.Call{Service: rudderfleetstand.ServiceLedger, Method: http.MethodGet, Path: fmt.Sprint("/balance/", i), Idempotent: true}
		}
		s.chatAt(s.entry(i), name, 15)
		s.callAt(s.entry(i), kind, func(ctx context.Context, c *ruddercaller.Caller) ruddercaller.Result { return c.Call(ctx, call) })
		time.Sleep(interval)
	}
	s.running.Wait()
	s.report(t)
	require.Empty(t, rudderoracle.Check(s.recorder.Evidence(s.Fleet.Fabric.Ledger.Runs(), s.Fleet.Calls.Calls())))
	for kind, results := range s.results {
		var longest time.Duration
		for _, r := range results {
			longest = max(longest, r.Answer.EndedAt.Sub(r.Answer.SentAt))
		}
		t.Logf("%s: %d sent, longest %v", kind, len(results), longest)
		limit := chatLimit
		if kind == "once-only" {
			limit = callLimit
		}
		require.Less(t, longest, limit, kind)
	}
}

// Guards against new requests that spend attempts at a target which is known to be silent.
func TestNewRequestsAvoidSilentTargets(t *testing.T) {
	const requests, limit, interval = 40, 4, 60 * time.Millisecond
	s := startSilentScene(t, func(*rudderfleetstand.Layout) {})
	runs := s.Fleet.Fabric.Ledger.Runs()
	s.silences.set(s.Fleet.Host(runs[len(runs)-1].Host).Address, true)
	for i := range requests {
		s.chatAt(s.entry(0), fmt.Sprint("new ", i, " "), 5)
		time.Sleep(interval)
	}
	s.running.Wait()
	s.report(t)
	later := 0
	for _, r := range s.Fleet.Fabric.Ledger.Runs() {
		if r.Attempt > 1 {
			later++
		}
	}
	require.Less(t, later, limit, "requests that spent an attempt")
}

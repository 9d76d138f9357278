package rudderscene

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderapp"
	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/shared/ruddergroup"
)

// linkCut is the way in which an entry host has lost its links to targets.
type linkCut int

const (
	cutNone   linkCut = iota
	cutSilent         // connections hang, new ones too
	cutReset          // connections are reset, new ones refused
	cutNew            // connections live on, new ones are refused
)

// links are the connections of one entry host to targets.
type links struct {
	mu    sync.Mutex
	cut   linkCut
	conns map[*linkConn]bool
	heal  chan struct{} // closed when the cut ends
}

type linkConn struct {
	net.Conn
	links *links
}

func (l *links) set(cut linkCut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if l.heal != nil {
		close(l.heal)
		l.heal = nil
	}
	if cut == cutSilent {
		l.heal = make(chan struct{})
	}
	if cut == cutReset {
		for c := range l.conns {
			_ = c.Conn.Close()
		}
	}
}

func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	switch cut {
	case cutSilent:
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case cutReset, cutNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{conn, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*linkConn]bool{}
	}
	l.conns[c] = true
	return c, nil
}

// Read implements net.Conn. What has arrived during a silent cut is delivered after it.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.links.mu.Lock()
	heal := c.links.heal
	c.links.mu.Unlock()
	if heal != nil && err == nil {
		<-heal
	}
	return n, err
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// plannedGroups returns the IDs of the groups in the plans, sorted.
func plannedGroups(t *testing.T, s *Scene) []string {
	t.Helper()
	entries, _, err := s.Fleet.KV.Store().List(t.Context(), ruddergroup.PlanPrefix)
	require.NoError(t, err)
	var groups []string
	for _, e := range entries {
		var plan ruddergroup.Plan
		require.NoError(t, json.Unmarshal(e.Value, &plan))
		for _, g := range plan.Groups {
			groups = append(groups, g.ID)
		}
	}
	slices.Sort(groups)
	return groups
}

// Two of three entry hosts lose their links to all targets, while callers, the key-value service and the other entry host
// still reach them. Guards against callers of these hosts that are refused meanwhile, and against groups that the whole
// fleet drops because these hosts do not reach them.
func TestHostsWithoutLinksToTargetsServe(t *testing.T) {
	const settle, length, interval = 2 * time.Second, 8 * time.Second, 150 * time.Millisecond
	for _, test := range []struct {
		name string
		cut  linkCut
	}{{"silent", cutSilent}, {"reset", cutReset}, {"new connections refused", cutNew}} {
		t.Run(test.name, func(t *testing.T) {
			var dialers []*links
			location := Location{rudderfleetstand.RegionKigali, "kigali-1"}
			s := &Scene{
				Fleet: &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}, Locations: []Location{location, location, location},
				BeforeListen: func(_ int, app *rudderapp.App) {
					dialers = append(dialers, &links{})
					app.TargetDial = dialers[len(dialers)-1].dial
				},
			}
			t.Cleanup(s.Close)
			require.NoError(t, s.Start())
			awaitAnswers(t, s)
			var recorder rudderoracle.Recorder
			workspace := rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1)
			var mu sync.Mutex
			var running sync.WaitGroup
			served, sent, codes := map[string]int{}, map[string]int{}, map[string]int{}
			send := func(entry int, kind string, request func(context.Context, *ruddercaller.Caller) ruddercaller.Result) {
				name := fmt.Sprint(kind, " at the linked host")
				if entry < 2 {
					name = fmt.Sprint(kind, " at a cut host")
				}
				c := &ruddercaller.Caller{Key: rudderfleetstand.WorkspaceKey(workspace), Workspace: workspace, HTTP: http.DefaultClient, Record: recorder.Answer, MaxAttempts: 1}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				r := request(ctx, c.UseEntry(s.Entries()[entry].App.CallerAddress()))
				mu.Lock()
				defer mu.Unlock()
				sent[name]++
				if r.Answer.Outcome == rudderoracle.OutcomeComplete {
					served[name]++
				} else {
					codes[name+": "+r.Answer.Outcome+" "+r.Answer.Code]++
				}
			}
			groups := plannedGroups(t, s)
			dialers[0].set(test.cut)
			dialers[1].set(test.cut)
			time.Sleep(settle)
			for begin, i := time.Now(), 0; time.Since(begin) < length; i++ {
				for entry := range 3 {
					name := fmt.Sprint("path ", i, " ", entry, " ")
					running.Go(func() {
						send(entry, "chat", func(ctx context.Context, c *ruddercaller.Caller) ruddercaller.Result {
							return c.Chat(ctx, ruddercaller.Chat{Model: rudderfleetstand.ModelLedger, Prompt: name + rudderengine.LengthMark(10), MaxTokens: 10})
						})
					})
					running.Go(func() {
						send(entry, "call", func(ctx context.Context, c *ruddercaller.Caller) ruddercaller.Result {
							return c.Call(ctx, ruddercaller.Call{Service: rudderfleetstand.ServiceLedger, Method: http.MethodPost, Path: "/book", Body: name, Key: name})
						})
					})
				}
				time.Sleep(interval)
			}
			running.Wait()
			dialers[0].set(cutNone)
			dialers[1].set(cutNone)
			t.Log(served, sent, codes)
			require.Equal(t, groups, plannedGroups(t, s))
			for kind, count := range sent {
				require.GreaterOrEqual(t, 50*served[kind], 49*count-50*2, kind)
			}
			require.Empty(t, rudderoracle.Check(recorder.Evidence(s.Fleet.Fabric.Ledger.Runs(), s.Fleet.Calls.Calls())))
		})
	}
}

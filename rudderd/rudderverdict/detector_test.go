package rudderverdict

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

var (
	errDown   = errors.New("down")
	alive     = Finding{Path: true, Answered: true, Alive: true, Report: ruddertarget.GroupReport{Orders: 5, Born: 1}}
	restarted = Finding{Path: true, Answered: true, Report: ruddertarget.GroupReport{Born: 2}}
	dead      = Finding{Path: true}
	refused   = Finding{Path: true, Refused: true}
	noPath    = Finding{}
)

// newDetector returns the detector of entry host e0 in data centre z0, beside others in z1 and z2 that answer in the order in which they
// are asked first.
// Targets t0, t1 and t2 exist. Its own probes find own, and with path its connections to targets succeed.
func newDetector(own Finding, path bool, others ...func() (Finding, error)) (*Detector, *atomic.Int32) {
	s := &rudderview.Snapshot{Targets: map[string]*rudderview.Target{}, EntryHosts: []rudderview.EntryHost{{Name: "e0", Peer: "e0"}}}
	s.Table = rudderroute.NewTable(rudderroute.Document{Services: []rudderroute.Service{{Name: "llm", Engine: &rudderroute.Engine{}}}})
	for i := range 3 {
		name := fmt.Sprint("t", i)
		s.Targets[name] = &rudderview.Target{
			Host: rudderhost.Host{Name: name, Address: name, FabricDomain: name}, Service: "llm", Born: 1, Membership: ruddertarget.Membership{Group: "g", Epoch: 3},
		}
	}
	for i := range others {
		name := fmt.Sprint("e", i+1)
		s.EntryHosts = append(s.EntryHosts, rudderview.EntryHost{Name: name, Peer: name, DataCentre: fmt.Sprint("z", 1+i%2)})
	}
	var mu sync.Mutex
	var probes atomic.Int32
	started, asked := time.Now(), map[string]int{}
	return &Detector{
		Name: "e0", DataCentre: "z0", Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Since(started) + time.Minute },
		Snapshot: func() *rudderview.Snapshot { return s },
		Probe: func(_ context.Context, _ *rudderview.Target, failed func()) (ruddertarget.GroupReport, bool) {
			probes.Add(1)
			if !own.Answered {
				failed()
			}
			return own.Report, own.Alive
		},
		Connect: func(context.Context, string) error {
			if path {
				return nil
			}
			return errDown
		},
		Ask: func(_ context.Context, x rudderview.EntryHost, _ *rudderview.Target, _ Question) (Finding, error) {
			mu.Lock()
			defer mu.Unlock()
			if _, known := asked[x.Name]; !known {
				asked[x.Name] = len(asked)
			}
			return others[asked[x.Name]]()
		},
	}, &probes
}

func says(f Finding) func() (Finding, error) { return func() (Finding, error) { return f, nil } }

func silent() (Finding, error) { return Finding{}, errDown }

// Guards against a target that is dead for all because one entry host has no path to it, and against one that stays in service
// because some have none.
func TestVerdict(t *testing.T) {
	type answer = func() (Finding, error)
	for _, test := range []struct {
		name   string
		own    Finding
		path   bool
		others []answer
		alive  bool
		report ruddertarget.GroupReport
	}{
		{"it answers", alive, true, nil, true, alive.Report},
		{"it has restarted", restarted, true, []answer{says(alive)}, false, restarted.Report},
		{"a single entry host without a path", dead, false, nil, false, ruddertarget.GroupReport{}},
		{"all agree", dead, true, []answer{says(dead), says(dead)}, false, ruddertarget.GroupReport{}},
		{"another one reaches it", dead, true, []answer{says(dead), says(alive)}, true, alive.Report},
		{"another one finds it restarted", dead, false, []answer{says(restarted)}, false, restarted.Report},
		{"only others have a path", dead, false, []answer{says(dead), says(dead)}, false, ruddertarget.GroupReport{}},
		{"only one of many has a path", dead, false, []answer{says(noPath), silent, says(noPath), says(noPath), says(noPath), says(dead)}, false, ruddertarget.GroupReport{}},
		{"only one of many reaches it", dead, false, []answer{says(noPath), silent, says(noPath), says(noPath), says(noPath), says(alive)}, true, alive.Report},
		{"only this one has a path", dead, true, []answer{says(noPath), says(noPath)}, false, ruddertarget.GroupReport{}},
		{"no other one answers", dead, true, []answer{silent, silent}, false, ruddertarget.GroupReport{}},
		{"nobody has a path", dead, false, []answer{says(noPath), silent}, true, ruddertarget.GroupReport{Membership: ruddertarget.Membership{Group: "g", Epoch: 3}, Orders: 1, Born: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, _ := newDetector(test.own, test.path, test.others...)
			report, alive := d.Verdict(t.Context(), d.Snapshot().Targets["t0"])
			require.Equal(t, test.alive, alive)
			require.Equal(t, test.report, report)
		})
	}
}

// Guards against an entry host that waits for one that does not answer.
func TestVerdictIsBounded(t *testing.T) {
	d, _ := newDetector(dead, true)
	d.Snapshot().EntryHosts = append(d.Snapshot().EntryHosts, rudderview.EntryHost{Name: "e1", Peer: "e1"}, rudderview.EntryHost{Name: "e2", Peer: "e2"})
	d.Ask = func(ctx context.Context, _ rudderview.EntryHost, _ *rudderview.Target, _ Question) (Finding, error) {
		<-ctx.Done()
		return Finding{}, ctx.Err()
	}
	begin := time.Now()
	_, alive := d.Verdict(t.Context(), d.Snapshot().Targets["t0"])
	require.False(t, alive)
	require.Less(t, time.Since(begin), askTimeout+200*time.Millisecond)
}

// Guards against questions that all go to the entry hosts of the own data centre, which a cut affects together.
func TestOtherDataCentresAreAskedFirst(t *testing.T) {
	d, _ := newDetector(dead, true, silent, silent, silent, silent)
	for i := range 4 {
		name := fmt.Sprint("near", i)
		d.Snapshot().EntryHosts = append(d.Snapshot().EntryHosts, rudderview.EntryHost{Name: name, Peer: name, DataCentre: "z0"})
	}
	for i, x := range d.others(d.Snapshot().Targets["t0"]) {
		require.Equal(t, i >= 4, strings.HasPrefix(x.Name, "near"))
	}
}

// Guards against findings of an entry host without a path, and against a probe for each entry host that asks.
func TestProbeForPeer(t *testing.T) {
	for _, test := range []struct {
		name    string
		own     Finding
		path    bool
		silence time.Duration
		want    Finding
		probes  int32 // for two questions
	}{
		{"alive, and silent for longer", alive, true, lostTTL, alive, 1},
		{"alive before the silence", alive, true, 0, alive, 2},
		{"unreachable", dead, true, 0, dead, 1},
		{"refused", refused, true, 0, refused, 1},
		{"no path", dead, false, 0, noPath, 1},
		{"restarted", restarted, false, 0, restarted, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, probes := newDetector(test.own, test.path)
			if test.own.Refused {
				refuse(d)
			}
			for range 2 {
				require.Equal(t, test.want, d.ProbeForPeer(d.Snapshot().Targets["t0"], Question{Silence: test.silence}))
			}
			require.Equal(t, test.probes, probes.Load())
		})
	}
}

// Guards against a planner that yields although no other entry host can do better.
func TestCutOff(t *testing.T) {
	for _, test := range []struct {
		name string
		path bool
		say  func() (Finding, error)
		want bool
	}{
		{"path", true, says(dead), false}, {"no path, another has one", false, says(dead), true},
		{"nobody has a path", false, says(noPath), false}, {"no answer", false, silent, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, _ := newDetector(dead, test.path, test.say)
			d.Isolated = func() bool { return true }
			require.Equal(t, test.want, d.CutOff(t.Context()))
		})
	}
}

// refuse makes the entry host of a detector that has a path find that nothing listens at the address of t0.
func refuse(d *Detector) {
	connect := d.Connect
	d.Connect = func(ctx context.Context, address string) error {
		if err := connect(ctx, address); err != nil || address != "t0" {
			return err
		}
		return syscall.ECONNREFUSED
	}
}

// Guards against a cut between a target and a part of the entry hosts that is taken for the end of its process, and against the
// silence of a target for the others that is taken for a confirmation.
func TestEnded(t *testing.T) {
	type answer = func() (Finding, error)
	gone, mute, others := says(refused), says(dead), func(n int, first ...answer) []answer {
		list := first
		for len(list) < n {
			list = append(list, says(refused))
		}
		return list
	}
	for _, test := range []struct {
		name   string
		path   bool
		others []answer
		want   bool
	}{
		{"enough confirm it", true, others(17), true},
		{"the first two are cut off as well", true, others(17, gone, gone, says(alive)), false},
		{"all but the last one asked are cut off", true, others(17, gone, gone, gone, gone, gone, gone, gone, says(alive)), false},
		{"it is silent for the others", true, others(17, mute, mute, mute, mute, mute, mute, mute, mute), false},
		{"it is silent for one of them", true, others(17, gone, gone, gone, gone, gone, gone, gone, mute), false},
		{"it is silent for one of two", true, others(2, mute), false},
		{"it is silent for many, and refuses a part of a large fleet", true, others(200, gone, mute, gone, mute, mute, gone, mute, mute), false},
		{"another incarnation answers", true, others(17, mute, says(restarted)), true},
		{"no path of its own", false, others(17), false},
		{"few have a path", true, []answer{says(noPath), says(noPath), gone, says(noPath), silent}, false},
		{"others replace those without a path", true, others(5, says(noPath), silent), true},
		{"one of two is cut off as well", true, others(2, gone, says(alive)), false},
		{"one of two does not answer", true, others(2, silent), true},
		{"most of few do not answer", true, others(4, silent, silent, silent), false},
		{"nobody else", true, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, _ := newDetector(dead, test.path, test.others...)
			refuse(d)
			require.Equal(t, test.want, d.Ended(t.Context(), d.Snapshot().Targets["t0"]))
			d, _ = newDetector(dead, test.path, test.others...)
			refuse(d)
			require.Equal(t, test.want || test.others == nil, d.Examine(t.Context(), d.Snapshot().Targets["t0"], false).Ended(), "by a verdict")
		})
	}
}

// A cut between data centres makes a target refuse the connections of all hosts but those beside it. Guards against an end that none of
// these has confirmed.
func TestHostsBesideATargetConfirmItsEnd(t *testing.T) {
	var others []func() (Finding, error)
	for range 100 {
		others = append(others, says(refused))
	}
	d, _ := newDetector(dead, true, others...)
	refuse(d)
	target := d.Snapshot().Targets["t0"]
	target.DataCentre = "near"
	d.Snapshot().EntryHosts[100].DataCentre = "near"
	asked := d.Ask
	d.Ask = func(ctx context.Context, x rudderview.EntryHost, t *rudderview.Target, q Question) (Finding, error) {
		if x.DataCentre == "near" {
			return alive, nil
		}
		return asked(ctx, x, t, q)
	}
	require.False(t, d.Ended(t.Context(), target))
}

// Open connections to a target live on while new ones are refused. Guards against the end of a process that sends events.
func TestStreamingTargetHasNotEnded(t *testing.T) {
	for _, test := range []struct {
		name         string
		here, nearby bool // events arrive at this entry host, or at another one
		ended        bool
	}{
		{"no events", false, false, true}, {"at this entry host", true, false, false}, {"at another one", false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer, _ := newDetector(dead, true)
			refuse(peer)
			peer.Streaming = func(*rudderview.Target) bool { return test.nearby }
			d, _ := newDetector(dead, true, func() (Finding, error) { return peer.ProbeForPeer(peer.Snapshot().Targets["t0"], Question{}), nil })
			refuse(d)
			d.Streaming = func(*rudderview.Target) bool { return test.here }
			require.Equal(t, test.ended, d.Ended(t.Context(), d.Snapshot().Targets["t0"]))
			require.Equal(t, test.ended, d.Examine(t.Context(), d.Snapshot().Targets["t0"], false).Ended())
		})
	}
}

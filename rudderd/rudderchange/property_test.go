package rudderchange

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// event is one thing that happens in a random history.
type event struct {
	Kind string
	Host int
	Wait time.Duration // before the next event
}

// forgetful hosts may be killed, which loses their memory. They are a minority: a majority that knows
// the newest version is what lets a restored platform be noticed.
var forgetful = []int{3, 4}

func drawHistory(rt *rapid.T) []event {
	kinds := []string{
		"change", "change", "race", "platform-cut", "platform-joined", "peers-cut", "peers-joined", "zone-left", "zone-joined",
		"pause", "resume", "kill", "start", "down", "up", "lose", "snapshot", "restore",
	}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), Host: rapid.IntRange(0, 4).Draw(rt, "host"),
			Wait: time.Duration(rapid.IntRange(0, 8000).Draw(rt, "wait")) * time.Millisecond,
		}
	}), 5, 30).Draw(rt, "history")
}

// player carries a history out.
type player struct {
	w       *world
	older   func()
	working sync.WaitGroup
}

// operator makes a change at a host in the background, based on the version that the host knows.
func (p *player) operator(i int, author string) {
	p.w.mu.Lock()
	h := p.w.hosts[i]
	p.w.mu.Unlock()
	if h == nil {
		return
	}
	version := h.keeper.Version().Number
	p.working.Go(func() { _, _ = p.w.change(i, version, author, 20*time.Second) })
}

func (p *player) play(e event) {
	w, i := p.w, e.Host
	switch e.Kind {
	case "change":
		p.operator(i, "kigali")
	case "race":
		p.operator(i, "kigali")
		p.operator((i+1)%5, "montréal")
	case "platform-cut", "platform-joined":
		w.set(func() { w.platformCut[i] = e.Kind == "platform-cut" })
	case "peers-cut", "peers-joined":
		w.set(func() { w.peersCut[i] = e.Kind == "peers-cut" })
	case "zone-left":
		w.set(func() { w.zone[i] = 1 })
	case "zone-joined":
		w.set(func() { w.zone[i] = 0 })
	case "pause", "resume":
		w.pause(i, e.Kind == "pause")
	case "kill":
		w.pause(forgetful[i%2], false)
		w.kill(forgetful[i%2])
	case "start":
		if w.hosts[forgetful[i%2]] == nil {
			w.start(forgetful[i%2])
		}
	case "down", "up":
		w.set(func() { w.platform.down = e.Kind == "down" })
	case "lose":
		w.set(func() { w.platform.lose = 2 })
	case "snapshot":
		p.older = w.platform.snapshot()
	case "restore":
		if p.older != nil {
			p.older()
		}
	}
}

// heal ends all faults.
func (p *player) heal() {
	w := p.w
	w.set(func() {
		w.platform.down, w.platform.lose = false, 0
		for i := range w.hosts {
			w.platformCut[i], w.peersCut[i], w.zone[i] = false, false, 0
		}
	})
	for i := range w.hosts {
		w.pause(i, false)
		if w.hosts[i] == nil {
			w.start(i)
		}
	}
	p.working.Wait()
}

// recoveredWithin bounds the time from healing until every host serves the newest version. It is the
// time in which a change must be in force everywhere.
const recoveredWithin = 17 * time.Second

// verdict runs a history and returns what was wrong, and how many versions were accepted before healing.
func verdict(t *testing.T, history []event) (faults []string, accepted int64) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		defer w.close()
		w.settle()
		p := &player{w: w}
		for _, e := range history {
			p.play(e)
			time.Sleep(e.Wait)
		}
		w.set(func() { accepted = w.accepted.Number })
		p.heal()
		time.Sleep(recoveredWithin)
		result, err := w.change(0, w.hosts[0].keeper.Version().Number, "after", recoveredWithin)
		if err != nil || result.State != StateAccepted {
			w.faults = append(w.faults, "no change is accepted after healing: "+string(result.State))
		}
		w.set(func() { faults = append(faults, w.faults...) })
	})
	return faults, accepted
}

// Guards against an accepted configuration that is not in force, or reverts, in any history of cuts,
// pauses, restarts, outages, restored platforms and racing operators, and against a system that takes
// no change afterwards.
func TestRandomHistories(t *testing.T) {
	changed := 0
	rapid.Check(t, func(rt *rapid.T) {
		faults, accepted := verdict(t, drawHistory(rt))
		if len(faults) > 0 {
			rt.Fatalf("%d faults, first: %s", len(faults), faults[0])
		}
		if accepted > 1 {
			changed++
		}
	})
	require.Positive(t, changed, "no history had a change beside the first")
	t.Logf("%d histories had an accepted change beside the first", changed)
}

package rudderchange

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// step is a random event. All steps are drawn before the run, because rapid cannot draw inside a synctest bubble.
type step struct {
	kind  string
	host  int
	pause time.Duration
}

var stepKinds = []string{
	"platform cut", "peers cut", "zone", "pause", "restart", "stop", "change", "change", "change",
	"platform down", "lose answer", "heal", "heal", "older",
}

func drawSteps(t *rapid.T, size int) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			host:  rapid.IntRange(0, size-1).Draw(t, "host"),
			pause: time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause ms")) * time.Millisecond,
		}
	}), 5, 25).Draw(t, "steps")
}

// apply executes a step. Changes run in the background.
func (w *world) apply(s step, changes *sync.WaitGroup) {
	i := s.host
	switch s.kind {
	case "platform cut":
		w.set(func() { w.platformCut[i] = true })
	case "peers cut":
		w.set(func() { w.peersCut[i] = true })
	case "zone":
		w.set(func() { w.zone[i] = 1 - w.zone[i] })
	case "pause":
		w.pause(i, true)
	case "restart":
		w.pause(i, false)
		w.kill(i)
		w.start(i)
	case "stop":
		w.pause(i, false)
		w.kill(i)
	case "platform down":
		w.set(func() { w.platform.down = true })
	case "lose answer":
		w.set(func() { w.platform.lose++ })
	case "heal":
		w.heal()
	case "older":
		w.revertPlatform()
	case "change":
		if h := w.hosts[i]; h != nil {
			changes.Go(func() {
				_, _ = w.change(i, h.controller.Version().Number, fmt.Sprintf("operator %d", i), 20*time.Second)
			})
		}
	}
	time.Sleep(s.pause)
}

func (w *world) heal() {
	w.set(func() {
		w.platform.down = false
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
}

// Guards against sequences of cuts, pauses, restarts, lost answers and changes after which two hosts serve
// different versions although a change was accepted, a process goes back to an older version, or the hosts do
// not converge once all faults are healed.
func TestNoSequenceOfFaultsBreaksTheConfiguration(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r, 5)
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 5)
			defer w.close()
			w.settle()
			var changes sync.WaitGroup
			for _, s := range steps {
				w.apply(s, &changes)
			}
			changes.Wait()
			w.heal()
			time.Sleep(time.Minute)
			w.checkInvariants()
			want := w.serving(0)
			for i := range w.hosts {
				if v := w.serving(i); v != want || v.Number == 0 {
					w.set(func() {
						w.violations = append(w.violations, fmt.Sprintf("host %d serves %s, host 0 %s after healing: %v",
							i, v, want, w.hosts[i].controller.Permit(time.Now())))
					})
				}
			}
			w.set(func() { problems = w.violations })
		})
		if len(problems) > 0 {
			r.Fatalf("%d faults, first: %s", len(problems), problems[0])
		}
	})
}

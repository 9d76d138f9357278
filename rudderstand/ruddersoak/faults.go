package ruddersoak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderswitch"
)

// faultKind describes a kind of fault that is injected from outside the rudderd processes.
type faultKind struct {
	name string
	// interruptsRequests is true if requests may be lost, so that a planned stop at the same time can't be
	// checked.
	interruptsRequests bool
	// minDuration and maxDuration bound the time until the fault is healed.
	minDuration, maxDuration time.Duration
	// inject starts the fault and returns the function that ends it. The victim number selects the entry host,
	// target or fabric domain, modulo their count.
	inject func(s *Soak, victim int) (heal func())
}

// faultKinds returns all kinds of faults. The long ones last longer than the time-outs in the settings: a
// pause can outlast a permit and a lease, and an outage the maximum age of a confirmation.
func faultKinds() []faultKind {
	const short, long = 300 * time.Millisecond, 6 * time.Second
	return []faultKind{
		{"entry_killed", true, short, 4 * time.Second, killEntry},
		{"entry_stopped", false, short, 2 * time.Second, stopEntry},
		{"entry_paused", true, short, long, pauseEntry},
		{"entry_without_key_value", false, short, long, func(s *Soak, victim int) func() {
			return s.cut(s.entry(victim).name, partyKeyValue, true)
		}},
		{"entry_hears_no_key_value", false, short, long, func(s *Soak, victim int) func() {
			return s.cut(partyKeyValue, s.entry(victim).name, false)
		}},
		{"entry_without_peers", false, short, long, func(s *Soak, victim int) func() {
			return s.cut(s.entry(victim).name, partyPeers, true)
		}},
		{"entry_hears_no_peers", false, short, long, func(s *Soak, victim int) func() {
			return s.cut(partyPeers, s.entry(victim).name, false)
		}},
		{"entry_without_callers", true, short, 3 * time.Second, func(s *Soak, victim int) func() {
			return s.cut(s.entry(victim).name, partyCallers, true)
		}},
		{"connections_reset", true, short, short, func(s *Soak, victim int) func() {
			name := s.entry(victim).name
			s.network.Sever(name)
			return func() { s.network.Reconnect(name) }
		}},
		{"connections_silent", true, short, short, func(s *Soak, _ int) func() {
			s.network.BlackholeOpen()
			return func() {}
		}},
		{"key_value_down", false, short, long, keyValueFault(rudderswitch.Fault{Kind: rudderswitch.KindDown})},
		{"key_value_slow", false, short, long, keyValueFault(rudderswitch.Fault{Kind: rudderswitch.KindDelay, DelayMS: 400})},
		{"key_value_answers_lost", false, short, short, keyValueFault(rudderswitch.Fault{Kind: rudderswitch.KindLoseAnswers, Count: 5})},
		{"member_killed", true, short, 4 * time.Second, memberFault(rudderswitch.KindKill, rudderswitch.KindRestart)},
		{"member_paused", true, short, long, memberFault(rudderswitch.KindPause, "")},
		{"member_dark", true, short, long, memberFault(rudderswitch.KindDark, "")},
		{"member_slow", false, time.Second, long, memberFault(rudderswitch.KindStraggle, "")},
		{"member_leaving", false, time.Second, long, memberLeavingFault},
		{"domain_dark", true, short, long, func(s *Soak, victim int) func() {
			domain := s.fleet.Layout.Domains[victim%len(s.fleet.Layout.Domains)].Name
			_ = s.fleet.Switch.SetDomain(domain, rudderswitch.Fault{Kind: rudderswitch.KindDark})
			return func() {
				_ = s.fleet.Switch.SetDomain(domain, rudderswitch.Fault{Kind: rudderswitch.KindDark, Off: true})
			}
		}},
		{"configuration_changed", false, short, short, func(s *Soak, victim int) func() {
			changed := make(chan struct{})
			go func() {
				defer close(changed)
				_ = s.change(s.entry(victim), fmt.Sprintf("soak-%d", victim)) // may be refused while another fault is active
			}()
			return func() { <-changed }
		}},
	}
}

// event is one scheduled fault.
type event struct {
	kind     faultKind
	victim   int
	at       time.Duration
	duration time.Duration
}

func (e event) String() string {
	return fmt.Sprintf("%.1fs %s/%d for %.1fs", e.at.Seconds(), e.kind.name, e.victim, e.duration.Seconds())
}

// meanGap is the mean time between the starts of two faults. With a mean duration of about 2.5 s, three
// faults are active at a time.
const meanGap = 800 * time.Millisecond

// drawEvents generates the schedule of a seed. About a third of the faults reuse the victim of the preceding
// one, so that signals and restarts of the same process overlap.
func drawEvents(seed uint64, length time.Duration) []event {
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
	list := faultKinds()
	var events []event
	victim := 0
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		k := list[random.IntN(len(list))]
		if random.IntN(3) > 0 {
			victim = random.IntN(1000)
		}
		events = append(events, event{kind: k, victim: victim, at: at, duration: k.minDuration + time.Duration(random.Int64N(int64(k.maxDuration-k.minDuration)+1))})
	}
	return events
}

func (s *Soak) entry(victim int) *entry { return s.entries[victim%len(s.entries)] }

func (s *Soak) host(victim int) *rudderfleetstand.Host {
	engines := 0
	for _, h := range s.fleet.Hosts {
		if h.Engine != nil {
			engines++
		}
	}
	return s.fleet.Hosts[victim%engines] // engines come first
}

// cut blocks the flow of bytes from one party to another, and with both also the reverse. It returns the
// function that ends the cut.
func (s *Soak) cut(from, to string, both bool) func() {
	s.network.Cut(from, to, true)
	if both {
		s.network.Cut(to, from, true)
	}
	return func() {
		s.network.Cut(from, to, false)
		if both {
			s.network.Cut(to, from, false)
		}
	}
}

func killEntry(s *Soak, victim int) func() {
	e := s.entry(victim)
	e.kill()
	return func() { s.restartEntry(e) }
}

// restartEntry starts the process of an entry host unless it runs, and records an error for the result.
func (s *Soak) restartEntry(e *entry) {
	if err := e.start(); err != nil {
		s.fail(err)
	}
}

func stopEntry(s *Soak, victim int) func() {
	e := s.entry(victim)
	stop := rudderoracle.Stop{Entry: e.name, From: time.Now()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if stopped := e.stop(); stopped {
			stop.To = time.Now()
			s.recordStop(stop)
		}
	}()
	return func() {
		<-ended
		s.restartEntry(e)
	}
}

func pauseEntry(s *Soak, victim int) func() {
	e := s.entry(victim)
	p := e.signal(syscall.SIGSTOP)
	return func() {
		if p != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT) // it may have been killed in the meantime
		}
	}
}

func keyValueFault(f rudderswitch.Fault) func(s *Soak, _ int) func() {
	return func(s *Soak, _ int) func() {
		if err := s.fleet.Switch.SetKV(f); err != nil {
			s.fail(err)
		}
		off := f
		off.Off = true
		return func() {
			if err := s.fleet.Switch.SetKV(off); err != nil {
				s.fail(err)
			}
		}
	}
}

// memberFault injects a fault at one engine host. It is ended by the kind end, or switched off if end is empty.
func memberFault(begin, end rudderswitch.Kind) func(s *Soak, victim int) func() {
	return func(s *Soak, victim int) func() {
		name := s.host(victim).Name
		set := func(f rudderswitch.Fault) {
			if err := s.fleet.Switch.SetHost(name, f); err != nil {
				s.fail(err)
			}
		}
		set(rudderswitch.Fault{Kind: begin, Factor: 4})
		return func() {
			if end != "" {
				set(rudderswitch.Fault{Kind: end})
			} else {
				set(rudderswitch.Fault{Kind: begin, Off: true})
			}
		}
	}
}

func memberLeavingFault(s *Soak, victim int) func() {
	h := s.host(victim)
	stop := rudderoracle.Stop{Host: h.Name, Address: h.Address, From: time.Now()}
	end := memberFault(rudderswitch.KindLeaving, "")(s, victim)
	return func() {
		stop.To = time.Now()
		s.recorder.Leaving(stop)
		end()
	}
}

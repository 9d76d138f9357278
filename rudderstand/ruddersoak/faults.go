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

// kind is a fault that comes from outside the processes.
type kind struct {
	name string
	// cuts tells that requests may be lost, so that a planned stop at the same time cannot be judged.
	cuts bool
	// least and most bound the time until it is healed.
	least, most time.Duration
	// inject begins the fault at the victims with these numbers and returns what ends it.
	inject func(s *Soak, victim int) (heal func())
}

// kinds lists every fault. Their times reach beyond the settings' limits: a pause beyond a permit and a lease,
// an outage beyond the age of a confirmation.
func kinds() []kind {
	const short, long = 300 * time.Millisecond, 6 * time.Second
	return []kind{
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
		{"key_value_down", false, short, long, keyValue(rudderswitch.Fault{Kind: rudderswitch.KindDown})},
		{"key_value_slow", false, short, long, keyValue(rudderswitch.Fault{Kind: rudderswitch.KindDelay, DelayMS: 400})},
		{"key_value_answers_lost", false, short, short, keyValue(rudderswitch.Fault{Kind: rudderswitch.KindLoseAnswers, Count: 5})},
		{"member_killed", true, short, 4 * time.Second, member(rudderswitch.KindKill, rudderswitch.KindRestart)},
		{"member_paused", true, short, long, member(rudderswitch.KindPause, "")},
		{"member_dark", true, short, long, member(rudderswitch.KindDark, "")},
		{"member_slow", false, time.Second, long, member(rudderswitch.KindStraggle, "")},
		{"member_leaving", false, time.Second, long, memberLeaves},
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
				_ = s.change(s.entry(victim), fmt.Sprintf("soak-%d", victim)) // refused while a fault lasts
			}()
			return func() { <-changed }
		}},
	}
}

// event is one fault of a seed.
type event struct {
	kind   kind
	victim int
	at     time.Duration
	lasts  time.Duration
}

func (e event) String() string {
	return fmt.Sprintf("%.1fs %s/%d for %.1fs", e.at.Seconds(), e.kind.name, e.victim, e.lasts.Seconds())
}

// meanGap is the mean time between two faults: with their mean length of about 2.5 s, three last at a time.
const meanGap = 800 * time.Millisecond

// draw returns the faults of a seed. Some come as a series on the same victims, so that signals and restarts
// overlap.
func draw(seed uint64, length time.Duration) []event {
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
	list := kinds()
	var events []event
	victim := 0
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		k := list[random.IntN(len(list))]
		if random.IntN(3) > 0 {
			victim = random.IntN(1000)
		}
		events = append(events, event{kind: k, victim: victim, at: at, lasts: k.least + time.Duration(random.Int64N(int64(k.most-k.least)+1))})
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

// cut stops the flow of bytes from one party to another, and back.
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
	return func() { s.started(e) }
}

// started starts a process and keeps the error for the verdict.
func (s *Soak) started(e *entry) {
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
		if took := e.stop(); took {
			stop.To = time.Now()
			s.planned(stop)
		}
	}()
	return func() {
		<-ended
		s.started(e)
	}
}

func pauseEntry(s *Soak, victim int) func() {
	e := s.entry(victim)
	p := e.signal(syscall.SIGSTOP)
	return func() {
		if p != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT) // it may have been killed meanwhile
		}
	}
}

func keyValue(f rudderswitch.Fault) func(s *Soak, _ int) func() {
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

// member sets a fault of one engine host, and ends it by the other kind or by switching it off.
func member(begin, end rudderswitch.Kind) func(s *Soak, victim int) func() {
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

func memberLeaves(s *Soak, victim int) func() {
	h := s.host(victim)
	stop := rudderoracle.Stop{Host: h.Name, Address: h.Address, From: time.Now()}
	end := member(rudderswitch.KindLeaving, "")(s, victim)
	return func() {
		stop.To = time.Now()
		s.recorder.Leaving(stop)
		end()
	}
}

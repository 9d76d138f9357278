package rudderbalance

import (
	"math"
	"slices"
	"time"
)

const (
	// paceDecay is the time constant with which measured durations decay, and paceTTL how long a pace is used without a new one.
	paceDecay, paceTTL = 5 * time.Second, 5 * time.Second
	// minPaceSends is the number of recent sends from which on a group's pace counts. The durations of fewer sends are dominated
	// by the lengths of single answers.
	minPaceSends = 6
	// evenPace is the factor within which the paces of sound groups differ by chance.
	evenPace = 1.5
	// maxPace bounds paces in both directions.
	maxPace = 4.0
	// minEnded is the share of the usual duration below which a send counts as ended early, for example because its target
	// failed. Those show nothing about the pace.
	minEnded = 0.25
)

// durations sums measured and expected durations of sends, in seconds. The sums decay exponentially.
type durations struct {
	taken, expected, sends float64
	at                     time.Duration // uptime of the last send, to which the sums have decayed
}

func (d *durations) add(now time.Duration, taken, expected float64) {
	keep := math.Exp(-(now - d.at).Seconds() / paceDecay.Seconds())
	d.taken, d.expected, d.sends, d.at = d.taken*keep+taken, d.expected*keep+expected, d.sends*keep+1, now
}

// ratio returns the measured relative to the expected duration; 0 if it is not known.
func (d *durations) ratio() float64 {
	if d.expected <= 0 {
		return 0
	}
	return d.taken / d.expected
}

// decoding returns how long an answer takes on a group with a number of requests.
func (s Speed) decoding(tokens, running int) time.Duration {
	step := s.Step
	if slots := max(s.Slots, 1); s.IdleStep > 0 && running < slots {
		step = s.IdleStep + (s.Step-s.IdleStep)*time.Duration(running)/time.Duration(slots)
	}
	return time.Duration(tokens) * step
}

// observe learns from the duration of a send. Expected durations differ from measured ones for all groups alike, for example
// because answers are shorter than their callers allow, so that only the differences between groups count.
func (l *Ledger) observe(now time.Duration, s *send) {
	taken, expected := (now - s.at).Seconds(), s.expected.Seconds()
	if taken <= 0 || expected <= 0 {
		return
	}
	if usual := l.usualRatio * expected; usual > 0 {
		if taken < minEnded*usual {
			return
		}
		taken = min(taken, 2*maxPace*usual)
	}
	s.group.durations.add(now, taken, expected)
}

// updatePaces compares the groups with the median of them.
func (l *Ledger) updatePaces(now time.Duration) {
	var ratios []float64
	known := func(a *account) bool {
		d := a.durations
		return now-d.at < paceTTL && d.sends*math.Exp(-(now-d.at).Seconds()/paceDecay.Seconds()) >= minPaceSends
	}
	for _, a := range l.groups {
		a.pace = 1
		if known(a) {
			ratios = append(ratios, a.durations.ratio())
		}
	}
	l.usualRatio = 0
	if len(ratios) < 2 {
		return
	}
	slices.Sort(ratios)
	l.usualRatio = ratios[(len(ratios)-1)/2] // of two groups, the slower one is compared with the faster one
	for _, a := range l.groups {
		if !known(a) {
			continue
		}
		pace := a.durations.ratio() / l.usualRatio
		if pace < minEnded { // its sends ended early before the usual durations were known
			a.durations = durations{}
			continue
		}
		if pace > evenPace || pace < 1/evenPace {
			a.pace = min(max(pace, 1/maxPace), maxPace)
		}
	}
}

// scaled returns a time that a group of usual speed takes, as it takes on this group.
func (a *account) scaled(d time.Duration) time.Duration {
	if a.pace == 1 {
		return d
	}
	return time.Duration(a.pace * float64(d))
}

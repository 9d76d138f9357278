package rudderentry

import "time"

const (
	// paceWindow is how long the slowest work counts at least.
	paceWindow = 5 * time.Minute
	// paceMargin is multiplied with the measured times.
	paceMargin = 3
)

// Paces estimates from work that has ended how long other work of its kind takes at most. The zero value is ready for
// use. It is not safe for concurrent use.
type Paces struct {
	kinds map[string]*paceOfKind
}

// paceOfKind holds the slowest work of the current window and of the last one with any work.
type paceOfKind struct {
	since             time.Time
	current, previous pace
}

type pace struct {
	first, perUnit time.Duration
}

func (p pace) slowest(other pace) pace {
	return pace{max(p.first, other.first), max(p.perUnit, other.perUnit)}
}

// of returns how long work with the given units of output takes at this pace.
func (p pace) of(units int) time.Duration {
	return p.first + time.Duration(max(0, units-1))*p.perUnit
}

// Progress is what work that runs has done so far.
type Progress struct {
	Elapsed time.Duration // since its start
	Units   int           // of output
}

// Observe records work that has ended: the time to its first unit of output, and the mean time for each further one.
func (p *Paces) Observe(now time.Time, kind string, first, perUnit time.Duration) {
	if p.kinds == nil {
		p.kinds = make(map[string]*paceOfKind)
	}
	k, ok := p.kinds[kind]
	if !ok {
		k = &paceOfKind{since: now}
		p.kinds[kind] = k
	}
	if now.Sub(k.since) > paceWindow {
		k.since, k.previous, k.current = now, k.current, pace{}
	}
	k.current = k.current.slowest(pace{first, perUnit})
}

// Bound returns the longest time that work of a kind with up to the given units of output is expected to take, or 0 if
// it is unknown: no such work has ended yet, or only work with a single unit where more are expected. Work of the kind that
// runs and is slower than the slowest that has ended scales it.
func (p *Paces) Bound(kind string, units int, running ...Progress) time.Duration {
	k, ok := p.kinds[kind]
	if !ok {
		return 0
	}
	slowest := k.current.slowest(k.previous)
	if units > 1 && slowest.perUnit == 0 {
		return 0
	}
	scale := 1.0
	for _, r := range running {
		scale = max(scale, float64(r.Elapsed)/float64(max(slowest.of(r.Units+1), 1)))
	}
	return time.Duration(paceMargin * scale * float64(slowest.of(units)))
}

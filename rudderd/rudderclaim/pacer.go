package rudderclaim

import "time"

// pacer bounds the write rate of a shard and sets how long a claim waits for company: hardly at all
// on an idle shard, up to one write interval when the allowed rate is used up.
type pacer struct {
	rate   float64 // writes a second
	burst  float64
	min    time.Duration
	tokens float64
	last   time.Time
}

func newPacer(limits Limits) pacer {
	return pacer{rate: limits.WritesPerSecond, burst: limits.WriteBurst, min: limits.MinLinger, tokens: limits.WriteBurst}
}

func (p *pacer) refill(now time.Time) {
	if !p.last.IsZero() && now.After(p.last) {
		p.tokens = min(p.burst, p.tokens+now.Sub(p.last).Seconds()*p.rate)
	}
	p.last = now
}

// share sets the rate: half of the shard's when another collector writes too.
func (p *pacer) share(limits Limits, rival bool) {
	p.rate = limits.WritesPerSecond
	if rival {
		p.rate /= 2
	}
}

// spend takes the token of one write.
func (p *pacer) spend(now time.Time) {
	p.refill(now)
	p.tokens--
}

// used returns how much of the burst is used up: 0 on an idle shard, 1 at the full rate.
func (p *pacer) used(now time.Time) float64 {
	p.refill(now)
	return min(1, 1-p.tokens/p.burst)
}

// due returns when a write is due whose oldest claim came at the given time.
func (p *pacer) due(now, oldest time.Time) time.Time {
	used := p.used(now)
	at := oldest.Add(p.min + time.Duration(used*used/p.rate*float64(time.Second)))
	if p.tokens < 1 {
		if free := now.Add(time.Duration((1 - p.tokens) / p.rate * float64(time.Second))); free.After(at) {
			at = free
		}
	}
	return at
}

package rudderclaim

import "time"

// pacer is a token bucket that limits the write rate of a shard. It also sets how long a claim waits for
// others to share its write: MinLinger on an idle shard, up to one write interval more at the full rate.
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

// setRate sets the rate to the shard's, or to half of it while another collector writes the shard.
func (p *pacer) setRate(limits Limits, contended bool) {
	p.rate = limits.WritesPerSecond
	if contended {
		p.rate /= 2
	}
}

// spend takes the token of one write.
func (p *pacer) spend(now time.Time) {
	p.refill(now)
	p.tokens--
}

// utilisation returns the used share of the burst: 0 on an idle shard, 1 at the full rate.
func (p *pacer) utilisation(now time.Time) float64 {
	p.refill(now)
	return min(1, 1-p.tokens/p.burst)
}

// due returns when a write is due whose oldest claim arrived at the given time.
func (p *pacer) due(now, oldest time.Time) time.Time {
	used := p.utilisation(now)
	at := oldest.Add(p.min + time.Duration(used*used/p.rate*float64(time.Second)))
	if p.tokens < 1 {
		if free := now.Add(time.Duration((1 - p.tokens) / p.rate * float64(time.Second))); free.After(at) {
			at = free
		}
	}
	return at
}

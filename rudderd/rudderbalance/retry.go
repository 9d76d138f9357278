package rudderbalance

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxRetryAfter bounds the time after which a refused caller is told to come back.
	MaxRetryAfter = 3 * time.Second
	// MaxRetryShare is the share of the time left for a request up to which callers wait before they come back.
	MaxRetryShare = 1.0 / 3
	// durationWeight is the weight of the newest duration in the moving average.
	durationWeight = 0.05
	// calmWeight is the weight of the newest rate in the moving average of the demand, taken at each update.
	calmWeight = 0.05
	// minReturnShare is the share of the places that callers who come back find at least. Callers who come for the first time
	// take the others.
	minReturnShare = 0.2
	// overdueShare is the time that sends take on which have run for longer than the mean, as a share of the mean.
	overdueShare = 0.25
	// maxPromised bounds the memory for promises.
	maxPromised = 4096
)

// returns promises places to refused callers, in the order in which they were refused.
type returns struct {
	promised []time.Duration // uptimes at which refused callers come back, in the order of the refusals
	ends     []time.Duration // expected ends of the running sends, sorted
	endsAt   time.Duration   // uptime of the computation of ends
	taken    time.Duration   // moving average of the durations of sends; 0 before the first one has ended
	told     int             // number of callers that have been told to come back
	calm     float64         // requests in a second before the overload
}

// observe learns from the duration of a send.
func (r *returns) observe(taken time.Duration) {
	if r.taken == 0 {
		r.taken = taken
	}
	r.taken += time.Duration(durationWeight * float64(taken-r.taken))
}

// retryAfter returns the time after which the caller of a refused request is expected to find a place, but at least first.
// Callers that would have to wait for longer than they do are spread over the second half of that time.
func (l *Ledger) retryAfter(now, first time.Duration, speed Speed, groups []Group, r Request) time.Duration {
	limit := MaxRetryAfter
	if r.Limit > 0 {
		limit = min(limit, time.Duration(MaxRetryShare*float64(r.Limit)))
	}
	l.returns.promised = slices.DeleteFunc(l.returns.promised, func(at time.Duration) bool { return at <= now })
	spare, permits := l.placeRates(now, groups, r)
	after := max(first, l.placeTime(now, len(l.returns.promised), speed, groups, r)-now)
	if n := len(l.returns.promised); n > 0 {
		after = max(after, l.returns.promised[n-1]+seconds(1/min(spare, permits))-now)
	}
	l.returns.told++
	if after > limit {
		// Multiples of the golden ratio spread any number of consecutive callers evenly.
		_, part := math.Modf(float64(l.returns.told) * math.Phi)
		after = limit - time.Duration(part*float64(limit)/2)
	}
	if len(l.returns.promised) < maxPromised {
		l.returns.promised = append(l.returns.promised, now+after)
	}
	return after
}

// placeRates returns the number of places that become free in a second for callers who come back, and the number of requests that
// the targets take in a second, infinite unless all of them name limits.
func (l *Ledger) placeRates(now time.Duration, groups []Group, r Request) (spare, permits float64) {
	for _, g := range groups {
		switch {
		case avoids(r.Avoid, g.ID):
		case g.Rate == 0:
			permits = math.Inf(1)
		default:
			permits += g.Rate
		}
	}
	rate := math.Inf(1)
	if n := len(l.ends(now)); n > 0 && l.returns.taken > 0 {
		rate = float64(n) / l.returns.taken.Seconds()
	}
	return max(rate-l.returns.calm, minReturnShare*rate), permits
}

// placeTime returns the uptime at which as many sends have ended as are queued at the groups and promised to others, together with
// those that callers take who come for the first time.
func (l *Ledger) placeTime(now time.Duration, promised int, speed Speed, groups []Group, r Request) time.Duration {
	ends, waiting := l.ends(now), promised
	for _, g := range groups {
		if !avoids(r.Avoid, g.ID) {
			waiting += max(l.account(g.ID).running-max(speed.Slots, 1), 0)
		}
	}
	for i, at := range ends {
		if float64(i+1)-l.returns.calm*(at-now).Seconds() > float64(waiting) {
			return at
		}
	}
	return now
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// ends returns the expected ends of the running sends, sorted. They are computed at intervals.
func (l *Ledger) ends(now time.Duration) []time.Duration {
	r := &l.returns
	if r.endsAt > 0 && now-r.endsAt < updateInterval {
		return r.ends
	}
	r.ends, r.endsAt = r.ends[:0], now
	for _, s := range l.sends {
		end := s.at + s.expected
		if r.taken > 0 {
			end = s.at + r.taken
		}
		r.ends = append(r.ends, max(end, now+time.Duration(overdueShare*float64(r.taken))))
	}
	slices.Sort(r.ends)
	return r.ends
}

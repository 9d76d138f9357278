package rudderplanner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/shared/ruddertarget"
)

// observation is the last status of a host and its missed polls.
type observation struct {
	status ruddertarget.Status
	known  bool
	at     time.Time // start of the call that returned the status
	missed int
	// missedSince is the start of the first missed poll.
	missedSince time.Time
	// late is set if this process was delayed during the last poll.
	late bool
}

// maxTimerDelay is how late a poll may time out before this process counts as delayed itself. The answer may have arrived then.
const maxTimerDelay = 100 * time.Millisecond

// answer is the result of one call to a target.
type answer struct {
	host, address string
	status        ruddertarget.Status
	at, end       time.Time // of the call
	err           error
}

// poll requests the status of every host of the domain and every member in the known plan.
func (w *worker) poll(ctx context.Context) {
	addresses := map[string]string{}
	for _, g := range w.known.Groups {
		for _, m := range g.Members {
			addresses[m.Host] = m.Address
		}
	}
	for _, h := range w.hosts() {
		addresses[h.Name] = h.Address
	}
	var mu sync.Mutex
	var answers []answer
	var calls errgroup.Group
	calls.SetLimit(parallelCalls)
	for host, address := range addresses {
		calls.Go(func() error {
			call, cancel := context.WithTimeout(ctx, w.p.Times.PollTimeout)
			defer cancel()
			a := answer{host: host, address: address, at: w.p.Clock.Now()}
			a.status, a.err = w.p.Control.Status(call, address)
			a.end = w.p.Clock.Now()
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
			return nil
		})
	}
	_ = calls.Wait() // errors are in the answers
	for host := range w.observations {
		if _, ok := addresses[host]; !ok {
			delete(w.observations, host)
		}
	}
	for _, a := range answers {
		w.record(a, true)
	}
}

// record stores the answer to a poll or an order. Only a failed poll counts as missed. The last one before the host counts as dead starts
// ruddertarget.MinSilence or more after the first, however short the poll interval is.
func (w *worker) record(a answer, poll bool) {
	o := w.observations[a.host]
	if a.err != nil {
		if !poll {
			return
		}
		before := o.late
		if o.late = a.end.Sub(a.at) > w.p.Times.PollTimeout+maxTimerDelay; o.late && !before {
			w.observations[a.host] = o
			return
		}
		if o.missed == 0 {
			o.missedSince = a.at
		}
		if o.missed != w.p.Timing.DeadAfterMisses-1 || a.at.Sub(o.missedSince) >= ruddertarget.MinSilence {
			o.missed++
		}
		w.observations[a.host] = o
		return
	}
	if o.known && a.at.Before(o.at) {
		return
	}
	w.observations[a.host] = observation{status: a.status, known: true, at: a.at}
	w.p.OnStatus(w.domain, a.host, a.address, a.status, w.p.Clock.Now().Sub(a.at))
}

// send sends orders concurrently. It checks the lease right before each one, and the call times out before the
// lease ends.
func (w *worker) send(ctx context.Context, orders []rudderallocator.Order) {
	var mu sync.Mutex
	var answers []answer
	var calls errgroup.Group
	calls.SetLimit(parallelCalls)
	for i, o := range orders {
		if w.repeatedPreload(o) {
			continue
		}
		calls.Go(func() error {
			a, sent := w.sendOne(ctx, i, o)
			if sent {
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}
			return nil
		})
	}
	_ = calls.Wait() // errors are in the answers
	for _, a := range answers {
		if a.err != nil {
			w.p.Logger.Warn().Err(a.err).Str("domain", w.domain).Str("host", a.host).Msg("order failed")
		}
		w.record(a, false)
	}
}

// sendOne sends one order. It returns false if the lease has expired.
func (w *worker) sendOne(ctx context.Context, i int, o rudderallocator.Order) (answer, bool) {
	order := o.Order
	order.ID = fmt.Sprintf("%s.f%d.s%d.%s.%d.%d", w.domain, order.Fencing, order.PlanSeq, order.Kind, i, w.p.Clock.Now().UnixMilli())
	now := w.p.Clock.Now()
	limit := min(w.p.Times.OrderTTL, w.lease.remaining(now))
	if limit <= 0 {
		return answer{}, false
	}
	order.NotAfter = now.Add(limit)
	// A target that hangs must not delay the next poll.
	call, cancel := context.WithTimeout(ctx, min(limit, w.p.Times.PollTimeout))
	defer cancel()
	a := answer{host: o.Host, address: o.Address, at: now}
	a.status, a.err = w.p.Control.Send(call, o.Address, order)
	return a, true
}

// repeatedPreload reports whether the same preload order was sent within PreloadRepeat: fetching weights takes
// many polls.
func (w *worker) repeatedPreload(o rudderallocator.Order) bool {
	if o.Order.Kind != ruddertarget.OrderPreload {
		return false
	}
	key, now := fmt.Sprintf("%s\x00%d\x00", o.Host, o.Order.Fencing)+o.Order.Role.Model+"@"+o.Order.Role.ModelVersion, w.p.Clock.Now()
	if last, ok := w.preloads[key]; ok && now.Sub(last) < w.p.Times.PreloadRepeat {
		return true
	}
	w.preloads[key] = now
	return false
}

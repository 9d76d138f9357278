package ruddercoordinator

import (
	"context"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
)

// Resign revokes the planner's lease and does not acquire it again, because the entry host stops.
func (p *Planner) Resign() { p.resignOnce.Do(func() { close(p.resignedChannel()) }) }

func (p *Planner) resignedChannel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resigned == nil {
		p.resigned = make(chan struct{})
	}
	return p.resigned
}

// acquireLease writes the planner's key with a new lease. It fails if the key exists.
func (p *Planner) acquireLease(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := p.Store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return 0, err
	}
	_, err = p.Store.Put(ctx, rudderstore.PutRequest{Key: rudderview.PlannerKey, Value: []byte(p.Name), Lease: lease})
	return lease, err
}

// keepLease renews the lease, and calls lost when the lease has ended or may have expired. A failed renewal is repeated at once,
// because a single answer may be lost; a slow service gets more time with each attempt.
func (p *Planner) keepLease(ctx context.Context, lost context.CancelFunc, lease int64) {
	defer lost()
	last, failures, timeout := p.Uptime(), 0, firstRenewTimeout
	for {
		if failures == 0 {
			wait(ctx, nil, renewInterval)
		}
		if ctx.Err() != nil {
			return
		}
		begin := p.Uptime()
		callContext, cancel := context.WithTimeout(ctx, timeout)
		err := p.Store.KeepAlive(callContext, lease)
		if err != nil && !errors.Is(err, rudderstore.ErrNotFound) {
			failures++
			timeout = min(2*timeout, renewInterval)
			<-callContext.Done() // a service that refuses calls answers at once
		}
		cancel()
		switch {
		case err == nil:
			last, failures = begin, 0
			timeout = min(max(answerMargin*(p.Uptime()-begin), firstRenewTimeout), renewInterval)
			p.answered.Store(int64(p.Uptime() - begin))
		case errors.Is(err, rudderstore.ErrNotFound), p.Uptime()-last > LeaseTTL:
			p.Logger.Warn().Err(err).Int64("lease", lease).Msg("planner lease not renewed")
			return
		}
	}
}

// revokeLease ends the lease, so that another entry host can take over at once.
func (p *Planner) revokeLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := p.Store.RevokeLease(ctx, lease); err != nil {
		p.Logger.Warn().Err(err).Int64("lease", lease).Msg("planner lease not revoked; it expires by itself")
	}
}

package rudderformer

import (
	"context"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
)

// Resign gives the planner's lease back and takes it no more, because the entry host stops.
func (f *Planner) Resign() { f.once.Do(func() { close(f.leftChannel()) }) }

func (f *Planner) leftChannel() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == nil {
		f.left = make(chan struct{})
	}
	return f.left
}

// take writes the planner's key with a new lease if nobody holds it.
func (f *Planner) take(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := f.Store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return 0, err
	}
	_, err = f.Store.Put(ctx, rudderstore.PutRequest{Key: rudderview.PlannerKey, Value: []byte(f.Name), Lease: lease})
	return lease, err
}

// renew keeps the lease and ends the planner's work when it may have run out.
func (f *Planner) renew(ctx context.Context, lost context.CancelFunc, lease int64) {
	defer lost()
	last := f.Uptime()
	for {
		wait(ctx, nil, renewInterval)
		if ctx.Err() != nil {
			return
		}
		begin := f.Uptime()
		callContext, cancel := context.WithTimeout(ctx, renewInterval)
		err := f.Store.KeepAlive(callContext, lease)
		cancel()
		switch {
		case err == nil:
			last = begin
		case errors.Is(err, rudderstore.ErrNotFound), f.Uptime()-last > LeaseTTL:
			f.Logger.Warn().Err(err).Int64("lease", lease).Msg("planner's lease not renewed")
			return
		}
	}
}

// giveBack ends the lease, so that another entry host takes over at once.
func (f *Planner) giveBack(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := f.Store.RevokeLease(ctx, lease); err != nil {
		f.Logger.Warn().Err(err).Int64("lease", lease).Msg("planner's lease not given back; it lapses by itself")
	}
}

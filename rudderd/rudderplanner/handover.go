package rudderplanner

import "context"

// leaving reports that this entry host stops as planned.
func (w *worker) leaving() bool { return w.p.Leaving != nil && w.p.Leaving() }

// handOver names the successor in the lease key and gives no orders from then on. A successor that finds
// the key absent has to wait for lease_ttl + order_ttl where hosts do not check fencing numbers, because
// the platform may have lost the lease of a holder that still believes in it. A named one waits for
// order_ttl only: the holder's last orders.
func (w *worker) handOver(ctx context.Context) {
	if w.p.Successor == nil {
		return
	}
	successor := w.p.Successor(w.domain)
	if successor == "" {
		return // the lease is given back when the process ends
	}
	call, cancel := w.storeContext(ctx)
	defer cancel()
	if err := w.writeLease(call, w.lease, successor, w.lease.revision); err != nil {
		// The write may have been done all the same, so that this entry host must not go on. If it was not,
		// the lease ends by itself.
		w.p.Logger.Warn().Err(err).Str("domain", w.domain).Str("successor", successor).Msg("handover not confirmed")
	}
	w.lose("handed over to " + successor)
}

// mayFollow reports that a lease was handed over to this process and that no other planner can have held it
// since. A platform that was restored may show a handover again: the same fencing number is accepted once
// in the life of a process, and only by a process that saw the lease before it was handed over.
func (w *worker) mayFollow(v leaseValue) bool {
	return v.PassedTo == w.p.Name && v.Fencing == w.seen.Fencing && v.Holder == w.seen.Holder && v.Fencing > w.accepted
}

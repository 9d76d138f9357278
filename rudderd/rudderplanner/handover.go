package rudderplanner

import "context"

// leaving reports whether this entry host is in a planned stop.
func (w *worker) leaving() bool { return w.p.Leaving != nil && w.p.Leaving() }

// handOver writes the successor to the lease key and drops the lease, so that no more orders are sent. On hosts
// that do not check fencing numbers, an entry host that finds the key absent must wait for lease_ttl +
// order_ttl before it sends orders, because the platform may have lost the lease of a holder that still relies
// on it. A named successor waits only for order_ttl, in which the holder's last orders take effect.
func (w *worker) handOver(ctx context.Context) {
	if w.p.Successor == nil {
		return
	}
	successor := w.p.Successor(w.domain)
	if successor == "" {
		return // resign revokes the lease when the process ends
	}
	call, cancel := w.storeContext(ctx)
	defer cancel()
	if err := w.writeLease(call, w.lease, successor, w.lease.revision); err != nil {
		// The write may have taken effect, so this entry host must stop planning. If it did not, the lease
		// expires.
		w.p.Logger.Warn().Err(err).Str("domain", w.domain).Str("successor", successor).Msg("handover not confirmed")
	}
	w.loseLease("handed over to " + successor)
}

// mayAccept reports whether a lease was handed over to this process and no other planner can have held it
// since. A restored platform may show an old handover again. A process therefore accepts each fencing number
// only once, and only if it saw the lease before the handover.
func (w *worker) mayAccept(v leaseValue) bool {
	return v.PassedTo == w.p.Name && v.Fencing == w.seen.Fencing && v.Holder == w.seen.Holder && v.Fencing > w.accepted
}

package rudderowner

// TakeRetry takes one retry of a dispatched request from this entry host's retry budget, and reports whether
// the budget had one left. Acquire adds each request to the budget.
func (o *Owner) TakeRetry() bool { return o.takeRetry() }

package rudderowner

// TakeRetry takes one retry of a dispatched request from this entry host's budget, and reports whether
// there was one. Requests count towards the budget in Acquire.
func (o *Owner) TakeRetry() bool { return o.mayRetry() }

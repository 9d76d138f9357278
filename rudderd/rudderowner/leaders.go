package rudderowner

// OwnedLeaders returns the leaders' addresses of the model groups in shards that this entry host owns, by
// group ID. The caller reads their cache events for ObserveCache. Plain services are left out, because they
// would take a request for cache events as a call of the service.
func (o *Owner) OwnedLeaders() map[string]string {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	leaders := make(map[string]string)
	for id := range o.owned {
		if o.rank(id) != 0 {
			continue
		}
		for _, g := range o.view.byID[id].Groups() {
			if g.Model != "" {
				leaders[g.ID] = g.Leader
			}
		}
	}
	return leaders
}

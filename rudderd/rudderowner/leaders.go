package rudderowner

// OwnedLeaders returns the leaders' addresses of the groups in shards that this entry host owns, by
// group ID. It reads their cache events for ObserveCache.
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
			leaders[g.ID] = g.Leader
		}
	}
	return leaders
}

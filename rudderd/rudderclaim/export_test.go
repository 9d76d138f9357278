package rudderclaim

import "comfreyrudder.example/shared/rudderstore"

// FakeStore exports the fake key-value service to tests outside the package.
type FakeStore struct{ *fakeStore }

// NewFakeStore returns an empty service.
func NewFakeStore() FakeStore { return FakeStore{newFakeStore()} }

// Store returns the client of the service.
func (f FakeStore) Store() rudderstore.Store { return f.store() }

// SetDown makes all calls fail as unavailable.
func (f FakeStore) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// LoseResponses makes the next count writes take effect but return an unknown outcome.
func (f FakeStore) LoseResponses(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseResponses = count
}

// Checkpoint returns a function that restores the current state.
func (f FakeStore) Checkpoint() func() {
	s := f.snapshot()
	return func() { f.restore(s) }
}

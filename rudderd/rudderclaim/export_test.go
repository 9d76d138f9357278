package rudderclaim

import "comfreyrudder.example/shared/rudderstore"

// FakeStore lets tests outside the package use the fake key-value service.
type FakeStore struct{ *fakeStore }

// NewFakeStore makes an empty service.
func NewFakeStore() FakeStore { return FakeStore{newFakeStore()} }

// Port returns the store.
func (f FakeStore) Port() rudderstore.Store { return f.port() }

// SetDown makes the service refuse all calls.
func (f FakeStore) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// LoseAnswers makes the next writes take effect without an answer.
func (f FakeStore) LoseAnswers(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = count
}

// Rewind returns a function that restores the present state.
func (f FakeStore) Rewind() func() {
	s := f.snapshot()
	return func() { f.restore(s) }
}

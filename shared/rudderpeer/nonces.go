package rudderpeer

import (
	"sync"
	"time"
)

// nonceMemory remembers nonces in two generations, so that forgetting costs no scan: each nonce stays
// for at least one period and at most two.
type nonceMemory struct {
	mu               sync.Mutex
	current, earlier map[string]struct{}
	since            time.Time
}

// use records a nonce or returns ErrReplay or ErrReplayMemory.
func (m *nonceMemory) use(nonce string, now time.Time, period time.Duration, limit int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch age := now.Sub(m.since); {
	case m.current == nil || age >= 2*period:
		m.current, m.earlier, m.since = map[string]struct{}{}, nil, now
	case age >= period:
		m.current, m.earlier, m.since = map[string]struct{}{}, m.current, now
	}
	if _, used := m.current[nonce]; used {
		return ErrReplay
	}
	if _, used := m.earlier[nonce]; used {
		return ErrReplay
	}
	if len(m.current)+len(m.earlier) >= limit {
		return ErrNonceCacheFull
	}
	m.current[nonce] = struct{}{}
	return nil
}

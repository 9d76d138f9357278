package rudderbackend

import (
	"slices"
	"sync"
	"time"
)

// Call is one call that took effect.
type Call struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key"`
	Service        string    `json:"service"`
	Host           string    `json:"host"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	BodySHA256     string    `json:"body_sha256"`
	At             time.Time `json:"at"`
}

// Ledger records all calls that took effect on the hosts that share it, across their restarts. The zero value
// is ready.
type Ledger struct {
	mu        sync.Mutex
	calls     []Call
	byKey     map[string]int64
	byRequest map[string]int64
}

// Calls returns a copy of all calls in the order in which they took effect.
func (l *Ledger) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.calls)
}

// CountOfKey returns how often calls with an idempotency key took effect.
func (l *Ledger) CountOfKey(key string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byKey[key]
}

// CountOfRequest returns how often calls with a request ID took effect.
func (l *Ledger) CountOfRequest(id string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byRequest[id]
}

// add records a call and returns how often it has run, by its idempotency key or else by its request ID.
func (l *Ledger) add(call Call) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey == nil {
		l.byKey, l.byRequest = map[string]int64{}, map[string]int64{}
	}
	l.calls = append(l.calls, call)
	if call.RequestID != "" {
		l.byRequest[call.RequestID]++
	}
	if call.IdempotencyKey == "" {
		return l.byRequest[call.RequestID]
	}
	l.byKey[call.IdempotencyKey]++
	return l.byKey[call.IdempotencyKey]
}

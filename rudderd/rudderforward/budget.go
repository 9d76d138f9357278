package rudderforward

import (
	"slices"
	"sync"
	"time"
)

// RetryLimits bound the retries of a service, summed over all entry hosts.
type RetryLimits struct {
	// Ratio is the number of retries allowed for each request within Window; Extra retries are allowed beyond
	// that.
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// retryShare keeps this entry host's share below an equal share: the number of entry hosts changes, and a
	// sliding window that starts at another time may contain more requests.
	retryShare = 0.6
	// budgetSlots is the number of slots into which a window is divided for counting.
	budgetSlots = 10
)

// retryBudget counts requests and retries by service over a sliding window.
type retryBudget struct {
	mu       sync.Mutex
	services map[string]*budgetWindow
	started  time.Duration // uptime at the start of the process; 0 if the process is older than a window
}

// start records the uptime at which the process started.
func (b *retryBudget) start(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = now
}

// share returns the part of Extra that this entry host may spend if it is the only one. Earlier processes of the host may have spent
// retryShare in the window in which it restarted, so that the new one gets the rest, as the window passes.
func (b *retryBudget) share(now time.Duration, l RetryLimits) float64 {
	if age := now - b.started; b.started > 0 && age < l.Window {
		return (1 - retryShare) * float64(age) / float64(l.Window)
	}
	return retryShare
}

type budgetWindow struct {
	slot     int64
	requests [budgetSlots + 1]int
	retries  [budgetSlots + 1]int
	entries  [budgetSlots + 1]int // greatest number of entry hosts
}

func (w *budgetWindow) advance(slot int64) {
	for ; w.slot < slot; w.slot++ {
		if slot-w.slot > budgetSlots+1 {
			w.slot = slot - budgetSlots - 1
		}
		i := (w.slot + 1) % (budgetSlots + 1)
		w.requests[i], w.retries[i], w.entries[i] = 0, 0, 0
	}
}

func sum(parts [budgetSlots + 1]int) int {
	total := 0
	for _, n := range parts {
		total += n
	}
	return total
}

func (b *retryBudget) window(service string, now time.Duration, l RetryLimits) (*budgetWindow, int64) {
	if b.services == nil {
		b.services = map[string]*budgetWindow{}
	}
	slot := int64(now / (l.Window / budgetSlots))
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{slot: slot}
		b.services[service] = w
	}
	w.advance(slot)
	return w, slot % (budgetSlots + 1)
}

// countRequest counts a request from a caller.
func (b *retryBudget) countRequest(service string, now time.Duration, l RetryLimits, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(service, now, l)
	w.requests[i]++
	w.entries[i] = max(w.entries[i], entries)
}

// takeRetry takes one retry from this entry host's share of the budget. It reports whether one was left. The retries of entry hosts
// that have left since count until the end of the window.
func (b *retryBudget) takeRetry(service string, now time.Duration, l RetryLimits, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(service, now, l)
	w.entries[i] = max(w.entries[i], entries, 1)
	allowed := retryShare*l.Ratio*float64(sum(w.requests)) + b.share(now, l)*l.Extra/float64(slices.Max(w.entries[:]))
	if float64(sum(w.retries)+1) > allowed {
		return false
	}
	w.retries[i]++
	return true
}

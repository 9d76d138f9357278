package rudderforward

import (
	"sync"
	"time"
)

// RetryLimits bound repeated sends, summed over all entry hosts.
type RetryLimits struct {
	// Ratio of repeats to requests within Window, and Extra repeats beyond them.
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// retryShare keeps this entry host's part below an equal share, because the number of entry hosts
	// changes and a window of another phase may hold more.
	retryShare = 0.6
	// budgetSlots is the number of parts that a window is counted in.
	budgetSlots = 10
)

// retryBudget counts requests and repeats by service over a sliding window.
type retryBudget struct {
	mu       sync.Mutex
	services map[string]*budgetWindow
}

type budgetWindow struct {
	slot     int64
	requests [budgetSlots + 1]int
	repeats  [budgetSlots + 1]int
}

func (w *budgetWindow) advance(slot int64) {
	for ; w.slot < slot; w.slot++ {
		if slot-w.slot > budgetSlots+1 {
			w.slot = slot - budgetSlots - 1
		}
		i := (w.slot + 1) % (budgetSlots + 1)
		w.requests[i], w.repeats[i] = 0, 0
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

// request counts a caller's request.
func (b *retryBudget) request(service string, now time.Duration, l RetryLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(service, now, l)
	w.requests[i]++
}

// repeat takes one repeated send if this entry host's part allows it.
func (b *retryBudget) repeat(service string, now time.Duration, l RetryLimits, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(service, now, l)
	allowed := retryShare * (l.Ratio*float64(sum(w.requests)) + l.Extra/float64(max(entries, 1)))
	if float64(sum(w.repeats)+1) > allowed {
		return false
	}
	w.repeats[i]++
	return true
}

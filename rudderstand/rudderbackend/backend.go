// Package rudderbackend is a stand-in for plain services such as ledger and booking: calls have
// effects that are counted, so that a checker can tell work that ran twice.
package rudderbackend

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderstand/rudderfront"
	"comfreyrudder.example/rudderstand/rudderrole"
	"comfreyrudder.example/shared/ruddertarget"
)

// Headers that the service reads.
const (
	HeaderRequestID      = "Rudder-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderGroup makes the service refuse a call for a group that it is not in (HTTP 409, not run).
	HeaderGroup = "Rudder-Group"
)

// maxBodyBytes bounds a call's body.
const maxBodyBytes = 16 << 20

// DefaultSlots is how many calls run at a time when Slots is 0.
const DefaultSlots = 64

// Backend is one host's service process. Set the exported fields before Start.
type Backend struct {
	Host    string
	Service string
	Clock   clockwork.Clock
	Ledger  *Ledger
	// ChecksFencing makes the service refuse orders that do not fit its state.
	ChecksFencing bool
	// Slots is how many calls run at a time. Further calls are refused as not run.
	Slots int
	// LoadLag is the age of load reports.
	LoadLag time.Duration

	front rudderfront.Front

	mu         sync.Mutex
	holder     rudderrole.Holder
	starts     int
	dead       bool
	resumed    chan struct{} // not nil while paused
	leaving    bool
	delay      time.Duration
	killBefore int
	killAfter  int
	runTwice   bool
	running    int
	runCount   int64
	samples    []ruddertarget.Load
}

// Start listens until Close.
func (b *Backend) Start() error {
	if b.Clock == nil {
		b.Clock = clockwork.NewRealClock()
	}
	if b.Slots == 0 {
		b.Slots = DefaultSlots
	}
	b.mu.Lock()
	b.reset()
	b.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/status", func(w http.ResponseWriter, _ *http.Request) {
		rudderrole.WriteJSON(w, http.StatusOK, b.Status())
	})
	mux.HandleFunc("POST /control/orders", rudderrole.ServeOrders(b.applyOrder, b.Status))
	mux.HandleFunc("/", b.serveCall)
	b.front.Handler = mux
	return b.front.Start()
}

// reset needs the mutex.
func (b *Backend) reset() {
	b.starts++
	b.holder.ChecksFencing = b.ChecksFencing
	b.holder.Reset()
	b.dead, b.leaving = false, false
	b.running, b.runCount, b.samples = 0, 0, nil
	b.wakePaused()
}

// Close ends the service and gives its port back.
func (b *Backend) Close() {
	b.Kill()
	b.front.Close()
}

// Address is the service's host:port after Start.
func (b *Backend) Address() string { return b.front.Address() }

// Status is the service's own report.
func (b *Backend) Status() ruddertarget.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	role := b.holder.Role()
	phase := ruddertarget.PhaseIdle
	if role.Group != "" {
		phase = ruddertarget.PhaseReady
	}
	return ruddertarget.Status{
		Host: b.Host, Incarnation: fmt.Sprintf("%s.%d", b.Host, b.starts), Phase: phase, Role: role,
		HighestFencing: b.holder.Highest(), LoadFraction: 1, Load: b.laggedLoad(), Leaving: b.leaving,
		RequestsStarted: b.runCount,
	}
}

func (b *Backend) applyOrder(order ruddertarget.Order) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, err := b.holder.Apply(order, b.Clock.Now())
	return err
}

// maxSamples bounds the load samples that wait to become visible.
const maxSamples = 1024

// sample needs the mutex.
func (b *Backend) sample() {
	b.samples = append(b.samples, ruddertarget.Load{Running: b.running, Slots: b.Slots, At: b.Clock.Now()})
	if extra := len(b.samples) - maxSamples; extra > 0 {
		b.samples = b.samples[extra:]
	}
}

// laggedLoad needs the mutex.
func (b *Backend) laggedLoad() ruddertarget.Load {
	visible := b.Clock.Now().Add(-b.LoadLag)
	load := ruddertarget.Load{Slots: b.Slots}
	for _, s := range b.samples {
		if !s.At.After(visible) {
			load = s
		}
	}
	load.At = visible
	return load
}

func (b *Backend) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		rudderrole.WriteNotRun(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	sum := sha256.Sum256(body)
	call := Call{
		RequestID: r.Header.Get(HeaderRequestID), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Method: r.Method, Path: r.URL.Path, BodySHA256: hex.EncodeToString(sum[:]),
		Host: b.Host, Service: b.Service,
	}
	life, delay, refused := b.begin(r.Header.Get(HeaderGroup))
	if refused != "" {
		rudderrole.WriteNotRun(w, http.StatusConflict, refused, "the service did not start the call")
		return
	}
	defer b.finish(life)
	select {
	case <-r.Context().Done():
		// The caller has gone before the call took effect; the service carries it out nevertheless.
		<-b.Clock.After(delay)
	case <-b.Clock.After(delay):
	}
	b.waitWhilePaused()
	run, ok := b.run(life, call)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	b.waitWhilePaused()
	rudderrole.WriteJSON(w, http.StatusOK, Reply{Call: call, Run: run, Echo: string(body)})
}

// Reply is the answer to a call.
type Reply struct {
	Call
	// Run is how many calls with this request's idempotency key, or else its request ID, have run.
	Run  int64  `json:"run"`
	Echo string `json:"echo"`
}

// begin takes a call or says why not. The life number tells a handler of a dead process from one of
// its successor.
func (b *Backend) begin(group string) (life int, delay time.Duration, refused string) {
	b.mu.Lock()
	if b.killBefore > 0 {
		b.killBefore--
		b.mu.Unlock()
		b.Kill()
		panic(http.ErrAbortHandler)
	}
	defer b.mu.Unlock()
	if group != "" && group != b.holder.Role().Group {
		return 0, 0, "wrong_group"
	}
	if b.running >= b.Slots {
		return 0, 0, "busy"
	}
	b.running++
	b.sample()
	return b.starts, b.delay, ""
}

func (b *Backend) finish(life int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if life == b.starts && !b.dead {
		b.running--
		b.sample()
	}
}

// run lets a call take effect. It reports false when the process died before or right after that.
func (b *Backend) run(life int, call Call) (int64, bool) {
	b.mu.Lock()
	if b.dead || life != b.starts {
		b.mu.Unlock()
		return 0, false
	}
	call.At = b.Clock.Now()
	run := b.Ledger.add(call)
	if b.runTwice {
		run = b.Ledger.add(call)
	}
	b.runCount++
	dies := b.killAfter > 0
	if dies {
		b.killAfter--
	}
	b.mu.Unlock()
	if dies {
		b.Kill()
	}
	return run, !dies
}

// Package rudderbackend simulates plain services such as ledger and booking. It counts the effects of calls,
// so that a checker can detect work that ran twice.
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
	HeaderRequestID      = ruddertarget.HeaderRequestID
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderGroup names the group that a call is for. A service in another group refuses the call with HTTP
	// 409 and does not run it.
	HeaderGroup = "Rudder-Group"
)

const (
	// maxBodyBytes bounds the body of a call, and maxEchoBytes the part of it that the response repeats.
	maxBodyBytes = 16 << 20
	maxEchoBytes = 64 << 10
)

// DefaultSlots is the number of concurrent calls if Backend.Slots is 0.
const DefaultSlots = 64

// Backend is one host's service process. Set the exported fields before Start.
type Backend struct {
	Host    string
	Service string
	Clock   clockwork.Clock
	Ledger  *Ledger
	// ChecksFencing makes the service refuse orders that rudderrole.Holder finds stale or not matching its state.
	ChecksFencing bool
	// Slots is the number of concurrent calls. Further calls are refused as not run.
	Slots int
	// LoadLag is how old load reports are when they become visible.
	LoadLag time.Duration

	front rudderfront.Front

	mu         sync.Mutex
	holder     rudderrole.Holder
	starts     int
	dead       bool
	resumed    chan struct{} // closed on Resume; nil unless paused
	leaving    bool
	hang       bool
	delay      time.Duration
	killBefore int
	killAfter  int
	runTwice   bool
	running    int
	runCount   int64
	samples    []ruddertarget.Load
}

// Start listens and serves until Close.
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

// reset sets the state of a new process. It needs the mutex.
func (b *Backend) reset() {
	b.starts++
	b.holder.ChecksFencing = b.ChecksFencing
	b.holder.Reset()
	b.dead, b.leaving = false, false
	b.running, b.runCount, b.samples = 0, 0, nil
	b.wakePaused()
}

// Close ends the service and releases its port.
func (b *Backend) Close() {
	b.Kill()
	b.front.Close()
}

// Address returns the service's host:port after Start.
func (b *Backend) Address() string { return b.front.Address() }

// Status returns the status that the service reports.
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

// maxSamples bounds the load samples that are kept until they are LoadLag old.
const maxSamples = 1024

// sample records the load. It needs the mutex.
func (b *Backend) sample() {
	b.samples = append(b.samples, ruddertarget.Load{Running: b.running, Slots: b.Slots, At: b.Clock.Now()})
	if extra := len(b.samples) - maxSamples; extra > 0 {
		b.samples = b.samples[extra:]
	}
}

// laggedLoad returns the newest sample that is at least LoadLag old. It needs the mutex.
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
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		rudderrole.WriteNotRun(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if b.hangs() {
		<-r.Context().Done()
		return
	}
	sum := sha256.Sum256(body)
	call := Call{
		RequestID: r.Header.Get(HeaderRequestID), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Method: r.Method, Path: r.URL.Path, BodySHA256: hex.EncodeToString(sum[:]),
		Host: b.Host, Service: b.Service,
	}
	incarnation, delay, refused := b.begin(r.Header.Get(HeaderGroup))
	if refused != "" {
		rudderrole.WriteNotRun(w, http.StatusConflict, refused, "the service did not start the call")
		return
	}
	defer b.finish(incarnation)
	select {
	case <-r.Context().Done():
		// The caller disconnected before the call took effect; the service executes it nevertheless.
		<-b.Clock.After(delay)
	case <-b.Clock.After(delay):
	}
	b.waitWhilePaused()
	run, ok := b.run(incarnation, call)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	b.waitWhilePaused()
	rudderrole.WriteJSON(w, http.StatusOK, Reply{Call: call, Run: run, Echo: string(body[:min(len(body), maxEchoBytes)])})
}

// Reply is the answer to a call.
type Reply struct {
	Call
	// Run is how many calls with this request's idempotency key, or else its request ID, have run.
	Run int64 `json:"run"`
	// Echo is the begin of the call's body.
	Echo string `json:"echo"`
}

// begin admits a call or returns the code of its refusal. The incarnation lets the handler of a killed process
// detect that another process has started since.
func (b *Backend) begin(group string) (incarnation int, delay time.Duration, refused string) {
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

func (b *Backend) finish(incarnation int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if incarnation == b.starts && !b.dead {
		b.running--
		b.sample()
	}
}

// run lets a call take effect and returns how often it has. It reports false if the process died before that
// or is killed right after it (KillAfterRun).
func (b *Backend) run(incarnation int, call Call) (int64, bool) {
	b.mu.Lock()
	if b.dead || incarnation != b.starts {
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

// Package rudderengine simulates model engines: one engine process per host, and the groups that hosts form
// to run one model replica.
package rudderengine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderstand/rudderfront"
	"comfreyrudder.example/rudderstand/rudderrole"
	"comfreyrudder.example/rudderstand/rudderweights"
	"comfreyrudder.example/shared/ruddertarget"
)

// Timing holds the simulated durations of an engine's work. Zero durations take no time.
type Timing struct {
	// TokenGap is the time between tokens with one running request; each further one adds
	// TokenGapPerRequest.
	TokenGap           time.Duration
	TokenGapPerRequest time.Duration
	// PrefillPerKB is the prefill time of 1,024 bytes of prompt that are not in the prefix cache.
	PrefillPerKB time.Duration
	// LoadLag and CacheLag are how old load reports and cache events are when they become visible.
	LoadLag  time.Duration
	CacheLag time.Duration
}

// DefaultTiming returns a timing for scenarios on real clocks: about 50 tokens a second for each request.
func DefaultTiming() Timing {
	return Timing{
		TokenGap:           20 * time.Millisecond,
		TokenGapPerRequest: time.Millisecond,
		PrefillPerKB:       10 * time.Millisecond,
		LoadLag:            500 * time.Millisecond,
		CacheLag:           200 * time.Millisecond,
	}
}

// Defaults of Engine fields that are 0.
const (
	DefaultSlots       = 8
	DefaultQueue       = 64
	DefaultCacheBlocks = 2048
	// DefaultWeightSlots is the number of models whose weights fit on a host.
	DefaultWeightSlots = 3
)

// Engine is one host's engine process. Set the exported fields before Start.
type Engine struct {
	Host    string
	Clock   clockwork.Clock
	Fabric  *Fabric
	Weights *rudderweights.Store
	Timing  Timing
	// ChecksFencing makes the engine refuse orders that rudderrole.Holder finds stale or not matching its state.
	ChecksFencing bool
	// Slots is how many requests a group led by this host runs at a time, and Queue how many can wait.
	Slots int
	Queue int
	// CacheBlocks is the size of the prefix cache. Every CacheGapEvery-th cache event is lost; 0 loses none.
	CacheBlocks   int
	CacheGapEvery int64
	// WeightSlots is the number of models whose weights fit on the host.
	WeightSlots int
	// RestartAfter is the time from a crash to the restart of the process; 0 leaves it dead.
	RestartAfter time.Duration

	front rudderfront.Front
	wake  chan struct{}
	stop  context.CancelFunc
	ended sync.WaitGroup

	mu       sync.Mutex
	holder   rudderrole.Holder
	starts   int
	dead     bool
	paused   bool
	leaving  bool
	slowdown float64
	faults   streamFaults
	phase    ruddertarget.Phase
	fraction float64
	weights  []string // oldest first
	fetching map[string]chan struct{}
	life     context.Context
	die      context.CancelFunc
	cache    *prefixCache
	queue    []*run
	running  []*run
	runs     runTable
	runCount int64
	samples  []ruddertarget.Load
}

// Start listens and runs the engine until Close.
func (e *Engine) Start() error {
	e.setDefaults()
	e.mu.Lock()
	e.reset()
	e.mu.Unlock()
	e.front.Handler = e.handler()
	if err := e.front.Start(); err != nil {
		return err
	}
	e.Fabric.add(e.front.Address(), e)
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.ended.Go(func() { e.loop(ctx) })
	return nil
}

func (e *Engine) setDefaults() {
	if e.Clock == nil {
		e.Clock = clockwork.NewRealClock()
	}
	setDefault(&e.Slots, DefaultSlots)
	setDefault(&e.Queue, DefaultQueue)
	setDefault(&e.CacheBlocks, DefaultCacheBlocks)
	setDefault(&e.WeightSlots, DefaultWeightSlots)
	e.wake = make(chan struct{}, 1)
	e.slowdown = 1
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// reset sets the state of a new process. It needs the mutex.
func (e *Engine) reset() {
	if e.die != nil {
		e.die()
	}
	e.starts++
	e.life, e.die = context.WithCancel(context.Background())
	e.holder.ChecksFencing = e.ChecksFencing
	e.holder.Reset()
	e.dead, e.paused, e.leaving = false, false, false
	e.phase, e.fraction, e.weights = ruddertarget.PhaseIdle, 0, nil
	e.fetching = map[string]chan struct{}{}
	e.cache = newPrefixCache(e.CacheBlocks, e.Timing.CacheLag, e.CacheGapEvery)
	e.runs = runTable{}
	e.runCount, e.samples = 0, nil
}

// Close ends the engine and releases its port.
func (e *Engine) Close() {
	e.Kill()
	e.stop()
	e.ended.Wait()
	e.front.Close()
}

// Address returns the engine's host:port after Start.
func (e *Engine) Address() string { return e.front.Address() }

// Status returns the status that the engine reports.
func (e *Engine) Status() ruddertarget.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ruddertarget.Status{
		Host:            e.Host,
		Incarnation:     fmt.Sprintf("%s.%d", e.Host, e.starts),
		Phase:           e.phase,
		Role:            e.holder.Role(),
		HighestFencing:  e.holder.Highest(),
		Weights:         append([]string(nil), e.weights...),
		LoadFraction:    e.fraction,
		Load:            e.laggedLoad(),
		Leaving:         e.leaving,
		RequestsStarted: e.runCount,
	}
}

// maxSamples bounds the load samples that are kept until they are LoadLag old.
const maxSamples = 1024

// sample records the load. It needs the mutex.
func (e *Engine) sample() {
	e.samples = append(e.samples, ruddertarget.Load{
		Running: len(e.running), Waiting: len(e.queue), Slots: e.Slots,
		CachedBlocks: e.cache.order.Len(), At: e.Clock.Now(),
	})
	if extra := len(e.samples) - maxSamples; extra > 0 {
		e.samples = e.samples[extra:]
	}
}

// laggedLoad returns the newest sample that is at least LoadLag old. It needs the mutex.
func (e *Engine) laggedLoad() ruddertarget.Load {
	visible := e.Clock.Now().Add(-e.Timing.LoadLag)
	for len(e.samples) > 1 && !e.samples[1].At.After(visible) {
		e.samples = e.samples[1:]
	}
	if len(e.samples) == 0 || e.samples[0].At.After(visible) {
		return ruddertarget.Load{Slots: e.Slots, At: visible}
	}
	load := e.samples[0]
	load.At = visible
	return load
}

package rudderbody

import (
	"io"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrNoMemory reports a body or a head that does not fit into the memory for them now.
var ErrNoMemory = errors.New("no memory for the request or response")

const (
	// fitShare is the fraction of the free part of a budget that one body may take, so that long bodies leave room for
	// shorter ones.
	fitShare = 0.5
	// memoryShare is the part for bodies. docs/design/memory-and-descriptors.md has the sum: 0.15 are for connections of callers,
	// stateShare for the program and the state of the fleet, and 0.07 for what has not been collected yet.
	memoryShare = 0.3
	stateShare  = 0.3
	// maxStateBytes is what the program and the state of the fleet take at most: 55 MB were measured with 302 entry hosts and 3,000
	// targets. What stateShare leaves above it is for bodies.
	maxStateBytes = 64 << 20
	// The other shares are apart, so that callers can't end the responses to others, nor callers and targets keep an entry host
	// from reading its configuration.
	responseShare = 0.08
	replyShare    = 0.08
	reportShare   = 0.02
	// firstBytes is the first size of the buffer for a body of unknown length.
	firstBytes = 4 << 10
	// reclaimTimeout bounds the wait for memory that other bodies give up, and releaseTimeout that for one of them: a request ends
	// within that time once its body is not read any further.
	reclaimTimeout = 500 * time.Millisecond
	releaseTimeout = 50 * time.Millisecond
)

// Budget bounds the bytes of the bodies that are held at once. A nil Budget has no bound.
type Budget struct {
	limit int64

	mu       sync.Mutex
	held     int64
	reclaim  func() bool
	released chan struct{} // closed when memory is returned; nil if nobody waits
}

// NewBudget returns a budget of limit bytes, or nil if limit is 0.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Budgets are the budgets of an entry host.
type Budgets struct {
	// Bodies bounds the bodies of requests, and of responses that are buffered only while there is memory.
	Bodies *Budget
	// Responses bounds what has to be held of the responses to requests.
	Responses *Budget
	// Replies bounds the responses of the key-value service, the list of hosts and other entry hosts.
	Replies *Budget
	// Reports bounds the responses of targets to status requests and orders.
	Reports *Budget
}

// NewBudgets divides a process's memory limit, in bytes. If the limit is not known, 0, that of the Go runtime or the memory of
// the machine takes its place.
func NewBudgets(memory int64) Budgets {
	memory = MemoryLimit(memory)
	part := func(share float64) *Budget { return NewBudget(int64(share * float64(memory))) }
	bodies := part(memoryShare + max(0, stateShare-maxStateBytes/float64(memory)))
	return Budgets{Bodies: bodies, Responses: part(responseShare), Replies: part(replyShare), Reports: part(reportShare)}
}

// MemoryLimit returns a process's memory limit, in bytes, or if that is not known, 0, what takes its place.
func MemoryLimit(memory int64) int64 {
	if memory > 0 {
		return memory
	}
	memory = machineMemory()
	if limit := debug.SetMemoryLimit(-1); memory <= 0 || limit < memory {
		memory = limit
	}
	return memory
}

func machineMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit)) //nolint:unconvert // the types differ between architectures
}

// Limit returns the bytes that can be reserved, 0 without a bound.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Held returns the reserved bytes.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// SetReclaim sets a function that is called when the body of a request does not fit. It makes a request that makes no progress return
// its memory, and reports whether there is one. Set it before the budget is used.
func (b *Budget) SetReclaim(reclaim func() bool) {
	if b != nil {
		b.reclaim = reclaim
	}
}

// Reservation returns an empty reservation for a body of which the request holds a number of copies.
func (b *Budget) Reservation(copies int64) *Reservation {
	return &Reservation{budget: b, copies: copies}
}

// ReservationAbove returns a reservation that begins above a number of free bytes of all copies, so that short contents need no
// memory of the budget.
func (b *Budget) ReservationAbove(free, copies int64) *Reservation {
	return &Reservation{budget: b, copies: copies, free: free}
}

// Reservation is the part of a budget that one request holds. A nil Reservation has no bound.
type Reservation struct {
	budget *Budget
	copies int64
	free   int64
	bytes  int64 // of all copies
}

// Resize reserves memory for a body of size bytes. If the reservation grows and is above half of what the others leave, the error
// is ErrNoMemory and it stays as it is.
func (r *Reservation) Resize(size int64) error {
	if r == nil || r.budget == nil {
		return nil
	}
	b, bytes := r.budget, max(size*r.copies-r.free, 0)
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.held - r.bytes
	if bytes > r.bytes && float64(bytes) > fitShare*float64(b.limit-others) {
		return errors.WithStack(ErrNoMemory)
	}
	if bytes < r.bytes && b.released != nil {
		close(b.released)
		b.released = nil
	}
	b.held, r.bytes = others+bytes, bytes
	return nil
}

// resizeReclaiming reserves memory like Resize. If there is not enough, requests that make no progress are made to return theirs.
func (r *Reservation) resizeReclaiming(size int64) error {
	err := r.Resize(size)
	if err == nil || r.budget.reclaim == nil {
		return err
	}
	timeout := time.NewTimer(reclaimTimeout)
	defer timeout.Stop()
	for {
		released := r.budget.nextRelease()
		if !r.budget.reclaim() {
			return r.Resize(size)
		}
		select {
		case <-timeout.C:
			return r.Resize(size)
		case <-released:
		case <-time.After(releaseTimeout):
		}
		if err = r.Resize(size); err == nil {
			return nil
		}
	}
}

// nextRelease returns a channel that is closed when memory is returned.
func (b *Budget) nextRelease() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// Release returns the whole reservation.
func (r *Reservation) Release() { _ = r.Resize(0) } // a smaller size always fits

// Read reads a body of at most limit bytes; length is its length, or -1 if it is unknown. Memory is reserved before it is
// allocated. The error is ErrTooLarge, ErrNoMemory or that of the read.
func (r *Reservation) Read(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		if _, err := io.CopyN(io.Discard, body, limit+1); err != nil {
			return nil, errors.Wrap(err, "reading the request body")
		}
		return nil, tooLarge(body)
	}
	if length >= 0 {
		if err := r.resizeReclaiming(length); err != nil {
			return nil, err
		}
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, errors.Wrap(err, "reading the request body")
	}
	data, complete, err := r.readPart(body, limit+1, r.resizeReclaiming)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "reading the request body")
	case int64(len(data)) > limit:
		return nil, tooLarge(body)
	case !complete:
		return nil, errors.WithStack(ErrNoMemory)
	}
	return data, nil
}

func tooLarge(body io.Reader) error {
	_, _ = io.CopyN(io.Discard, body, drainBytes)
	return errors.WithStack(ErrTooLarge)
}

// ReadPart reads at most limit bytes, or as many as memory can be reserved for. complete reports whether the body ends with
// them.
func (r *Reservation) ReadPart(body io.Reader, limit int64) (data []byte, complete bool, err error) {
	return r.readPart(body, limit, r.Resize)
}

func (r *Reservation) readPart(body io.Reader, limit int64, resize func(size int64) error) (data []byte, complete bool, err error) {
	for {
		if len(data) == cap(data) {
			size := min(max(2*int64(cap(data)), firstBytes), limit)
			if size <= int64(len(data)) || resize(size) != nil {
				return data, false, nil
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
}

// Package rudderaccount divides the memory and the descriptors of a machine between the parts of a process.
package rudderaccount

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"comfreyrudder.example/rudderd/rudderbody"
)

const (
	// heapShare is the fraction of the memory that the Go runtime gets as its soft limit. The rest is for the program's text,
	// which is resident too (14 MB), and for what is allocated while a collection runs.
	heapShare = 0.7
	// connectionShare is the fraction of the memory for open connections of callers, and connectionBytes what one of them takes:
	// buffers, two goroutines and their stacks. 370 connections with a part of a head took 8 MB.
	connectionShare = 0.15
	connectionBytes = 20 << 10
	// callerShare is the fraction of the descriptors for callers, and smallShare that for each of the other servers: the
	// directory, readiness, metrics and the admin API. The platform uses 0.07 for files. The rest, 0.49, is above callerShare: each
	// request of a caller may need a connection to a target, beside those to other entry hosts and to the key-value service.
	callerShare = 0.35
	smallShare  = 0.03
	// idleShare is the fraction for connections to targets that are kept without a request, and maxIdle their greatest number: each
	// takes some 10 kB.
	idleShare = 0.08
	maxIdle   = 512
	// minConnections keeps a server usable on a machine of any size.
	minConnections = 8
)

// Account holds what the parts of a process may take.
type Account struct {
	// Memory is the memory of the process, in bytes, and Descriptors their number.
	Memory      int64
	Descriptors int
	// Heap is the soft limit for the Go runtime, in bytes; 0 if the memory limit is not set.
	Heap    int64
	Budgets rudderbody.Budgets
	// CallerConnections and SmallConnections bound the open connections of the server for callers and of each other one.
	CallerConnections, SmallConnections int
	// IdleConnections bounds the idle connections to targets.
	IdleConnections int
}

// New returns the account for a memory limit in bytes and a number of descriptors. Where the former is 0, that of the Go runtime
// or the memory of the machine takes its place, and where the latter is 0, the limit of the process.
func New(memory int64, descriptors int) Account {
	a := Account{Heap: int64(heapShare * float64(memory)), Memory: rudderbody.MemoryLimit(memory), Descriptors: descriptors}
	if a.Descriptors <= 0 {
		a.Descriptors = processDescriptors()
	}
	a.Budgets = rudderbody.NewBudgets(a.Memory)
	byMemory := int(connectionShare * float64(a.Memory) / connectionBytes)
	a.CallerConnections = max(min(int(callerShare*float64(a.Descriptors)), byMemory), minConnections)
	a.SmallConnections = max(int(smallShare*float64(a.Descriptors)), minConnections)
	a.IdleConnections = max(min(int(idleShare*float64(a.Descriptors)), maxIdle), minConnections)
	return a
}

// Apply sets the soft memory limit of the Go runtime, so that the garbage collector runs more often well before the process reaches
// its limit.
func (a Account) Apply() {
	if a.Heap > 0 {
		debug.SetMemoryLimit(a.Heap)
	}
}

// unlimitedDescriptors replaces a limit of the process that is not known or higher.
const unlimitedDescriptors = 1 << 20

func processDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > unlimitedDescriptors {
		return unlimitedDescriptors
	}
	return int(limit.Cur) //nolint:gosec // at most unlimitedDescriptors
}

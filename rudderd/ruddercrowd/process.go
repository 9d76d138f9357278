package ruddercrowd

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// attackTime is how long a crowd runs before the ordinary request, servedTimeout bounds the wait until that is served, and
	// retryInterval is the pause between two tries.
	attackTime    = 4 * time.Second
	servedTimeout = 20 * time.Second
	retryInterval = 50 * time.Millisecond
	// sampleInterval is the time between two counts of the descriptors of a process.
	sampleInterval = 10 * time.Millisecond
	// descriptorShare is the part of the descriptors that may be open. The rest is for files.
	descriptorShare = 0.9
)

// LimitDescriptors writes a script that runs a program with a limit of its descriptors, and returns the path of the script.
func LimitDescriptors(directory, program string, descriptors int) (string, error) {
	path := filepath.Join(directory, "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", descriptors, program)
	return path, os.WriteFile(path, []byte(script), 0o700) //nolint:gosec // has to be executable
}

// Result is what a crowd did to a process.
type Result struct {
	// MemoryMB is the greatest resident memory, and Descriptors the greatest number of open descriptors.
	MemoryMB, Descriptors int
	// Served is set if an ordinary request was served beside the crowd, and Last describes its last try.
	Served bool
	Last   string
	limit  int // of the descriptors
}

func (r Result) String() string {
	return fmt.Sprintf("%d MB of memory, %d descriptors at most; ordinary request: %s", r.MemoryMB, r.Descriptors, r.Last)
}

// Violations returns what the process did not keep to.
func (r Result) Violations() (list []string) {
	if r.MemoryMB > MemoryMB {
		list = append(list, fmt.Sprintf("%d MB of memory, %d allowed", r.MemoryMB, MemoryMB))
	}
	if most := int(descriptorShare * float64(r.limit)); r.Descriptors > most {
		list = append(list, fmt.Sprintf("%d descriptors, %d allowed", r.Descriptors, most))
	}
	if !r.Served {
		list = append(list, "no ordinary request was served: "+r.Last)
	}
	return list
}

// Attack runs a crowd against the process with an ID that listens at an address, until an ordinary request has been served. ordinary
// sends one with a body of some bytes.
func (c Crowd) Attack(ctx context.Context, pid int, address string, ordinary func(ctx context.Context, size int) (served bool, last string)) (Result, error) {
	ctx, end := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer end()
	for range c.Callers {
		running.Go(func() { c.call(ctx, address) })
	}
	r := Result{limit: c.Descriptors}
	running.Go(func() { r.Descriptors = mostDescriptors(ctx, pid) })
	time.Sleep(attackTime)
	for until := time.Now().Add(servedTimeout); !r.Served && time.Now().Before(until); time.Sleep(retryInterval) {
		try, cancel := context.WithDeadline(ctx, until)
		r.Served, r.Last = ordinary(try, c.Ordinary)
		cancel()
	}
	var err error
	r.MemoryMB, err = peakMemoryMB(pid)
	end()
	running.Wait()
	return r, err
}

// mostDescriptors counts the open descriptors of a process until the context ends, and returns the greatest number.
func mostDescriptors(ctx context.Context, pid int) (most int) {
	for ctx.Err() == nil {
		list, _ := os.ReadDir(process(pid, "fd")) // fails if the process has ended
		most = max(most, len(list))
		time.Sleep(sampleInterval)
	}
	return most
}

// peakMemoryMB returns the greatest resident memory of a process, in megabytes.
func peakMemoryMB(pid int) (int, error) {
	status, err := os.ReadFile(process(pid, "status"))
	if err != nil {
		return 0, err
	}
	_, rest, found := bytes.Cut(status, []byte("VmHWM:"))
	if !found {
		return 0, errors.Newf("process %d tells no memory", pid)
	}
	kilobytes, err := strconv.Atoi(string(bytes.Fields(rest)[0]))
	return kilobytes >> 10, err
}

func process(pid int, name string) string { return filepath.Join("/proc", strconv.Itoa(pid), name) }

package main

import (
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bodyBytes    = 4_000_000 // within maxBodyBytes of the configuration
	usualUploads = 33        // at a time at each host
	burstFactor  = 1.7       // the largest x of the site's bursts
	burstRounds  = 3
)

// watchMemory ends the process when it exceeds its memory, as the platform does, until the returned function is called.
func watchMemory(e *entry, ends *atomic.Int64) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
			e.mu.Lock()
			command := e.command
			e.mu.Unlock()
			if command == nil {
				continue
			}
			if mb := peakMemory(command.Process.Pid); mb > e.memoryMB {
				record("%s has %d MB of %d MB: the platform kills it", e.name, mb, e.memoryMB)
				ends.Add(1)
				e.kill()
			}
		}
	}()
	return func() { close(done) }
}

// peakMemory returns the largest resident size of a process so far in MB, or 0.
func peakMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return kb >> 10
}

// caseMemory: many users come at once, and their bodies are long.
func caseMemory(trouble bool, directory string) ([]*entry, []string) {
	s := newStore()
	f := newFabric(s)
	s.put("op/config", map[string]any{
		"version": 3, "limits": limits(), "tenants": []any{}, "routes": []any{route("posts", "unsafe", "app")},
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 248}},
	})
	for i := range 3 {
		f.add(fmt.Sprintf("i-%02d", i), "app", "", fmt.Sprintf("z%d", i), 26).work = 300 * time.Millisecond
	}
	var entries []*entry
	ends := map[*entry]*atomic.Int64{}
	for i := range 3 {
		e := newEntry(s, directory, fmt.Sprintf("front-%d", i), fmt.Sprintf("z%d", i))
		entries = append(entries, e)
		ends[e] = &atomic.Int64{}
		e.start()
		defer watchMemory(e, ends[e])()
	}
	uploads := usualUploads
	if trouble {
		uploads = int(math.Floor(usualUploads * burstFactor))
	}
	body := strings.Repeat("x", bodyBytes)
	for round := range burstRounds {
		for _, e := range entries[:2] {
			await(e.name+" is ready", 20*time.Second, e.isReady)
			time.Sleep(500 * time.Millisecond)
			record("%d clients send %d bytes each to %s", uploads, bodyBytes, e.name)
			answered, lost := uploadAll(e, round, uploads, body)
			record("%s: %d answered 200, %d got no answer, %d MB at most", e.name, answered, lost, memoryOf(e))
			if e.dead() {
				time.Sleep(500 * time.Millisecond)
				e.start()
			}
		}
	}
	var broken []string
	for _, e := range entries[:2] {
		if n := ends[e].Load(); n >= burstRounds {
			broken = append(broken, fmt.Sprintf("Fault: the process of %s has ended %d times over its memory", e.name, n))
		}
	}
	if len(broken) < 2 {
		broken = nil
	}
	return entries, broken
}

func memoryOf(e *entry) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command == nil {
		return 0
	}
	return peakMemory(e.command.Process.Pid)
}

func (e *entry) dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.command == nil
}

// uploadAll sends requests at once, each on a connection of its own, and waits for their ends.
func uploadAll(e *entry, round, count int, body string) (answered, lost int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			c := &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			id := fmt.Sprintf("%s-%d-%d", e.name, round, i)
			a := send(c, e, http.MethodPost, "/posts/x", id, 8*time.Second, nil, body)
			record("%s answered %d, %v", id, a.status, a.err)
			mu.Lock()
			defer mu.Unlock()
			switch a.status {
			case http.StatusOK:
				answered++
			case 0:
				lost++
			}
		})
	}
	clients.Wait()
	return answered, lost
}

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// verdict is the outcome of a case: the sentence says what was seen.
type verdict struct {
	broken   bool
	sentence string
}

var cases = map[string]func(f *fleet, trouble bool) (verdict, error){}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runCase plays a case: its name, and the folder for its record.
func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand case NAME FOLDER")
		return exitNotRun
	}
	f, err := newFleet()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, with the disruption: %v", args[0], trouble)
	v, err := cases[args[0]](f, trouble)
	if err != nil {
		f.note("not run: %v", err)
	} else {
		f.note("rule broken: %v; %s", v.broken, v.sentence)
	}
	f.close(filepath.Join(args[1], "record.txt"))
	switch {
	case err != nil:
		fmt.Println(err)
		return exitNotRun
	case v.broken:
		fmt.Println("broken:", v.sentence)
		return exitBroken
	}
	fmt.Println("held:", v.sentence)
	return exitHeld
}

const (
	hostName = "ficu95.example"
	goodKey  = "n2ctnfzs989anu6wsjnb"
)

func limits() map[string]int {
	return map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

func tenants(keys ...string) []map[string]any {
	return []map[string]any{{"name": "hule930", "apiKeys": keys, "priority": 1}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 248, "protocol": "h1", "tls": false}
}

func route(name, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMS, "targetLatencyMs": 400, "priority": 1,
		"service": service, "maxAttempts": attempts, "public": false,
	}
	if kind == "streaming" {
		r["resumable"], r["gapAimMs"] = true, 250
	}
	return r
}

func config(version int, routes, services []map[string]any, holders any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": limits(), "tenants": holders}
}

// inParallel calls a function n times, one call begun after each gap, and waits for all of them.
func inParallel(n int, gap time.Duration, call func(i int)) {
	var calls sync.WaitGroup
	for i := range n {
		calls.Add(1)
		go func() {
			defer calls.Done()
			call(i)
		}()
		time.Sleep(gap)
	}
	calls.Wait()
}

// startPlain starts workers of one plain service, one in each zone.
func startPlain(f *fleet, service string, args ...string) (list []*process, err error) {
	for i, zone := range []string{"kigali-a", "kigali-b", "kigali-c"} {
		p, err := f.startWorker(fmt.Sprintf("i-%s-%d", service, i+1), service, zone, args...)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// awaitServed waits until each entry host serves a request.
func awaitServed(f *fleet, q request) error {
	for _, h := range f.hosts {
		if !f.await(20*time.Second, func() bool { return f.sendTo(h, q).status == 200 }) {
			return errors.Join(errSetup, errors.New("no request is served"))
		}
	}
	f.note("each entry host serves")
	return nil
}

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["tokens"] = tokens }

func engineService(name, model string) map[string]any {
	s := plainService(name)
	s["maxConnections"] = 909
	s["engine"] = map[string]any{
		"slots": 26, "kvCapacity": 2470000, "kvTokenBytes": 35136, "linkMbps": 400000.0, "stride": 6,
		"models":  []map[string]any{{"name": model, "size": 2, "share": 1.0, "pace": 1.0, "loadS": 2.0, "warmS": 0.2}},
		"step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0, "pairs_per_m": 0.309, "chunk": 2048,
		"report_lag_ms": 200.0, "loadsPerS": 5.5, "loads_at_once": 8, "delays": []any{}, "usual": map[string]int{"prompt": 1115, "answer": 152},
		"keeps": 1, "far_x": 4.0, "formMs": 300.0,
	}
	return s
}

// tokens has one client send a request whose X-Token-Count is far above the memory of any worker.
func tokens(f *fleet, trouble bool) (verdict, error) {
	const model = "daka510000"
	f.store.put("op/config", config(1,
		[]map[string]any{route("r-note", "/note/", "streaming", "umuvugizi", 8000, 2), route("r-read", "/read/", "safe", "igitabo", 1200, 2)},
		[]map[string]any{engineService("umuvugizi", model), plainService("igitabo")}, tenants(goodKey)))
	for i := range 6 {
		if _, err := f.startWorker(fmt.Sprintf("i-model-%d", i+1), "umuvugizi", "kigali-a", "-domain", "d1", "-slots", "26", "-pieces", "10", "-pause", "20ms"); err != nil {
			return verdict{}, err
		}
	}
	if _, err := startPlain(f, "igitabo", "-slots", "6"); err != nil {
		return verdict{}, err
	}
	if err := f.startHosts("kigali-a", "kigali-b", "kigali-c"); err != nil {
		return verdict{}, err
	}
	note := request{host: hostName, method: "POST", target: "/note/2f", key: goodKey, body: "season", deadline: 8 * time.Second,
		header: map[string]string{"X-Model": model, "X-Token-Count": "1460,80", "X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:1420"}}
	read := request{host: hostName, method: "GET", target: "/read/2f", key: goodKey, deadline: 2500 * time.Millisecond}
	if err := awaitServed(f, note); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	play := func(d time.Duration) (notes, servedNotes, reads, servedReads int) {
		n := int(d / (100 * time.Millisecond))
		inParallel(n, 100*time.Millisecond, func(i int) {
			q := note
			if i%4 == 3 {
				q = read
			}
			a := f.send(q)
			ok := a.status == 200 && a.complete
			mu.Lock()
			defer mu.Unlock()
			switch {
			case i%4 == 3 && ok:
				reads, servedReads = reads+1, servedReads+1
			case i%4 == 3:
				reads++
			case ok:
				notes, servedNotes = notes+1, servedNotes+1
			default:
				notes++
			}
		})
		return
	}
	n, s, r, sr := play(5 * time.Second)
	f.note("before: %d of %d streams and %d of %d reads served", s, n, sr, r)
	if s < n || sr < r {
		return verdict{}, fmt.Errorf("%w: not calm before the disruption", errSetup)
	}
	if trouble {
		bad := note
		bad.header = map[string]string{"X-Model": model, "X-Token-Count": "18446744073709551615,80", "X-Prompt-Prefix": "5c1e07a2:40,77bd3f06:1420"}
		a := f.send(bad)
		f.note("the oversized request was answered %d: %s", a.status, a.body)
	}
	n, s, r, sr = play(40 * time.Second)
	broken := 4*s*(n+r) < n*(s+sr)
	return verdict{broken, fmt.Sprintf("in the 40 s after it, %d of %d streams and %d of %d reads were served", s, n, sr, r)}, nil
}

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign has another writer put an entry under servers/ that lacks fields. At its address a web server listens that is no worker.
func foreign(f *fleet, trouble bool) (verdict, error) {
	f.store.put("op/config", config(1, []map[string]any{route("r-pay", "/pay/", "unsafe", "igitabo", 1200, 1)},
		[]map[string]any{plainService("igitabo")}, tenants(goodKey)))
	if _, err := startPlain(f, "igitabo", "-slots", "6"); err != nil {
		return verdict{}, err
	}
	stranger, err := f.startServer("stranger", "stranger")
	if err != nil {
		return verdict{}, err
	}
	if err := f.startHosts("kigali-a", "kigali-b", "kigali-c"); err != nil {
		return verdict{}, err
	}
	pay := request{host: hostName, method: "POST", target: "/pay/2f", key: goodKey, body: "pay 100", deadline: 2500 * time.Millisecond}
	if err := awaitServed(f, pay); err != nil {
		return verdict{}, err
	}
	if trouble {
		entry := map[string]any{"service": "igitabo", "address": stranger.address, "zone": "kigali-a", "slots": 6, "state": "ready"}
		f.store.put("servers/inventory-7", entry)
		f.note("another writer has put servers/inventory-7: %v", entry)
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var own, lost, served int
	const n = 600
	inParallel(n, 25*time.Millisecond, func(int) {
		a := f.send(pay)
		mu.Lock()
		defer mu.Unlock()
		if a.status == 200 {
			served++
		} else if a.status >= 300 && a.status < 500 && !a.sealed && a.status != 429 && a.status != 408 && a.status != 421 {
			own++
			if len(f.ranAt(a.attempt, "run")) == 0 {
				lost++
			}
			f.note("DENIED %s: status %d without a worker's seal", a.attempt, a.status)
		}
	})
	return verdict{own > 10, fmt.Sprintf("%d of %d proper requests ended with a 404 that no worker gave, %d of them never ran; %d were served", own, n, lost, served)}, nil
}

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	limitRate    = 10 // requests a second that each worker takes
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitMax     = limitRate*4*3/2 + 5 // requests in a window: one and a half times what the limit allows, and 5
	turnedAway   = 9 * time.Second
)

// caseLimit: the store turns one entry host after the other away, while workers name a limit of requests.
func caseLimit(trouble bool, directory string) ([]*entry, []string) {
	s := newStore()
	f := newFabric(s)
	s.put("op/config", map[string]any{
		"version": 3, "limits": limits(), "tenants": []any{}, "routes": []any{route("reads", "safe", "app")},
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 248}},
	})
	var workers []*worker
	for i := range 2 {
		workers = append(workers, f.add(fmt.Sprintf("i-%02d", i), "app", "", fmt.Sprintf("z%d", i), 6))
	}
	var entries []*entry
	for i := range 3 {
		entries = append(entries, newEntry(s, directory, fmt.Sprintf("front-%d", i), fmt.Sprintf("z%d", i)))
	}
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		await(e.name+" is ready", 20*time.Second, e.isReady)
	}
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	for _, w := range workers {
		w.limit, w.limitAt = fmt.Sprint(limitRate), time.Now()
	}
	f.mu.Unlock()
	record("both workers name the limit %d from now on", limitRate)
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i, e := range entries {
		clients.Go(func() {
			c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(30 * time.Millisecond):
				}
				id := fmt.Sprintf("a%d-%d", i, n)
				clients.Go(func() {
					record("%s sent to %s", id, e.name)
					a := send(c, e, http.MethodGet, "/reads/x", id, 2500*time.Millisecond, nil, "")
					record("%s answered %d, %v", id, a.status, a.err)
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	for _, e := range entries {
		e.door.refuse(trouble)
		record("the store turns %s away: %t", e.name, trouble)
		time.Sleep(turnedAway)
		e.door.refuse(false)
		record("the store serves %s", e.name)
		time.Sleep(6 * time.Second)
	}
	close(end)
	clients.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	for _, w := range workers {
		if text := overLimit(w); text != "" {
			broken = append(broken, text)
		}
	}
	return entries, broken
}

// overLimit describes the fullest window with more requests than the rule allows, or returns "". It records the fullest
// window in any case. The rule counts from contactMs after the limit was named, and only machines that have passed on an
// answer with it half a second before: here all of them have, since each has more requests than the limit from the start.
func overLimit(w *worker) string {
	var at []time.Time
	for _, a := range w.arrivals {
		if a.at.After(w.limitAt.Add(limitContact)) {
			at = append(at, a.at)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most, from := 0, time.Time{}
	for i, k := 0, 0; i < len(at); i++ {
		for k < len(at) && at[k].Sub(at[i]) <= limitWindow {
			k++
		}
		if k-i > most {
			most, from = k-i, at[i]
		}
	}
	record("%s: %d requests in the 4 s from %.3f, %d are allowed", w.id, most, from.Sub(began).Seconds(), limitMax)
	if most <= limitMax {
		return ""
	}
	return fmt.Sprintf("LIMIT: %s named %d requests a second and got %d in 4 s, more than %d", w.id, limitRate, most, limitMax)
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func route(name, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "timeoutMs": 8000, "targetLatencyMs": 400, "gapAimMs": 250, "priority": 1,
		"service": service, "maxAttempts": 2, "resumable": kind == "streaming", "public": true, "sticky": kind == "streaming",
	}
}

func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}
}

// plan is what the entry hosts keep in the store for a domain.
type plan struct {
	Groups []struct {
		Name    string `json:"name"`
		Members []struct {
			Target string `json:"target"`
		} `json:"members"`
	} `json:"groups"`
}

// caseTwo: the planner loses its path to the head of a group, and only to that, while a follower of the group leaves.
func caseTwo(trouble bool, directory string) ([]*entry, []string) {
	s := newStore()
	f := newFabric(s)
	f.models = []model{{"m0", 3, 0.5, 1, 16, 1.6}, {"m1", 3, 0.5, 1, 12, 1.1}}
	s.put("op/config", map[string]any{
		"version": 3, "limits": limits(), "tenants": []any{}, "routes": []any{route("notes", "streaming", "llm")},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 900, "engine": map[string]any{
			"slots": 26, "models": f.models, "loadsPerS": 5.5, "loads_at_once": 8, "formMs": f.formMS, "keeps": 1, "step_ms": 6.45, "per_seq_ms": 0.0967, "read_per_s": 56100,
		}}},
	})
	var entries []*entry
	for i := range 3 {
		entries = append(entries, newEntry(s, directory, fmt.Sprintf("front-%d", i), "z"))
	}
	for i := range 8 {
		w := f.add(fmt.Sprintf("i-%02d", i), "llm", "d0", "z", 26)
		for _, e := range entries {
			e.through(w)
		}
		f.mu.Lock()
		w.register() // with the addresses of the proxies
		f.mu.Unlock()
	}
	for _, e := range entries {
		e.start()
	}
	open := func() (heads []*worker) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, w := range f.workers {
			if w.group != nil && w.group.State == "open" && w.stalledAt.IsZero() {
				heads = append(heads, w)
			}
		}
		return heads
	}
	await("two groups serve and the spares are staged", 60*time.Second, func() bool {
		f.mu.Lock()
		staged := 0
		for _, w := range f.workers {
			if w.staged != "" {
				staged++
			}
		}
		f.mu.Unlock()
		return staged == 8 && len(open()) == 2
	})
	for _, e := range entries {
		await(e.name+" is ready", 20*time.Second, e.isReady)
	}
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i, e := range entries {
		clients.Go(func() {
			c := &http.Client{Timeout: 9 * time.Second}
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(150 * time.Millisecond):
				}
				id := fmt.Sprintf("a%d-%d", i, n)
				clients.Go(func() {
					m := fmt.Sprintf("m%d", n%2)
					record("%s sent to %s for %s", id, e.name, m)
					a := send(c, e, http.MethodPost, "/notes/x", id, 8*time.Second, map[string]string{"X-Model": m, "X-Token-Count": "700,120", "X-Prompt-Prefix": fmt.Sprintf("aa:40,%x:660", n)}, "prompt")
					record("%s answered %d, %d bytes, %v", id, a.status, len(a.body), a.err)
				})
			}
		})
	}
	time.Sleep(4 * time.Second)
	planner := s.value("rudder/planner")
	var p plan
	check(json.Unmarshal([]byte(s.value("rudder/plan/llm/d0")), &p))
	var victim []string
	name := ""
	for _, g := range p.Groups {
		if strings.HasSuffix(g.Name, "-0") {
			name = g.Name
			for _, m := range g.Members {
				victim = append(victim, m.Target)
			}
		}
	}
	if len(victim) != 3 {
		fail("no group to disturb in %v", p)
	}
	record("planner is %s; group %s has the members %v", planner, name, victim)
	if trouble {
		for _, e := range entries {
			if e.name == planner {
				e.proxies[victim[0]].cut()
				record("%s has lost its path to %s: connections are refused", e.name, victim[0])
			}
		}
	}
	time.Sleep(time.Second)
	f.workers[victim[1]].drain()
	time.Sleep(9 * time.Second)
	for _, e := range entries {
		if trouble && e.name == planner {
			e.proxies[victim[0]].heal()
			record("%s has its path to %s again", e.name, victim[0])
		}
	}
	close(end)
	clients.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return entries, f.broken
}

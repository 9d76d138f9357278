package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

// leaving has a worker report that it leaves, and end drainMs and a little later, as every planned shutdown does, while it still
// writes answers that have no length. Without the trouble it ends once it has finished them.
func leaving(f *fleet, trouble bool) (verdict, error) {
	const pieces, pause = 30, 130 * time.Millisecond
	f.store.put("op/config", config(1,
		[]map[string]any{route("r-note", "/note/", "streaming", "igitabo", 8000, 2), route("r-pay", "/pay/", "unsafe", "igitabo", 8000, 1)},
		[]map[string]any{plainService("igitabo")}, tenants(goodKey)))
	workers, err := startPlain(f, "igitabo", "-slots", "26", "-unframed", "-pieces", fmt.Sprint(pieces), "-pause", pause.String())
	if err != nil {
		return verdict{}, err
	}
	if err := f.startHosts("kigali-a", "kigali-b", "kigali-c"); err != nil {
		return verdict{}, err
	}
	pay := request{host: hostName, method: "POST", target: "/pay/2f", key: goodKey, body: "pay 100", deadline: 8 * time.Second}
	note := request{host: hostName, method: "POST", target: "/note/2f", key: goodKey, body: "season", deadline: 8 * time.Second}
	if err := awaitServed(f, pay); err != nil {
		return verdict{}, err
	}
	go func() {
		time.Sleep(2 * time.Second)
		f.note("%s reports that it leaves", workers[0].name)
		f.drain(workers[0])
		if trouble {
			time.Sleep(2300 * time.Millisecond)
			f.note("%s ends, 2.3 s after its report", workers[0].name)
			workers[0].kill()
		} else {
			time.Sleep(5 * time.Second)
			f.note("%s ends, having finished", workers[0].name)
			workers[0].kill()
		}
		f.store.remove("servers/" + workers[0].name)
	}()
	var mu sync.Mutex
	var cutPays, cutNotes, whole int
	inParallel(180, 33*time.Millisecond, func(i int) {
		q := pay
		if i%2 == 1 {
			q = note
		}
		a := f.send(q)
		mu.Lock()
		defer mu.Unlock()
		if a.status != 200 || !a.complete {
			return
		}
		switch {
		case i%2 == 0 && string(a.body) != wholeBody(a.attempt, pieces):
			cutPays++
			f.note("MIXED %s: a complete 200 with %d of %d bytes of the worker's body", a.attempt, len(a.body), len(wholeBody(a.attempt, pieces)))
		case i%2 == 1 && strings.Count(string(a.body), "\n\n") != pieces:
			cutNotes++
			f.note("ORDER %s: the stream ends as complete after %d of %d events", a.attempt, strings.Count(string(a.body), "\n\n"), pieces)
		default:
			whole++
		}
	})
	return verdict{cutPays+cutNotes > 0, fmt.Sprintf("%d plain answers and %d streams looked complete and lacked their end; %d were whole", cutPays, cutNotes, whole)}, nil
}

func wholeBody(attempt string, pieces int) string {
	var text strings.Builder
	for i := 1; i <= pieces; i++ {
		text.WriteString(piece(attempt, i, pieces))
	}
	return text.String()
}

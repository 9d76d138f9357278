package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hup"] = hup }

// hup has the platform change graceS in the settings files, with a SIGHUP for each process, and stop one entry host some seconds later:
// SIGTERM, and SIGKILL after graceS. Some clients still have its address. Without the trouble graceS stays as it was.
func hup(f *fleet, trouble bool) (verdict, error) {
	const work, after = 900 * time.Millisecond, 3 * time.Second
	f.store.put("op/config", config(1, []map[string]any{route("r-pay", "/pay/", "unsafe", "igitabo", 2500, 1)},
		[]map[string]any{plainService("igitabo")}, tenants(goodKey)))
	if _, err := startPlain(f, "igitabo", "-slots", "26", "-work", work.String(), "-pause", "1ms"); err != nil {
		return verdict{}, err
	}
	if err := f.startHosts("kigali-a", "kigali-b", "kigali-c"); err != nil {
		return verdict{}, err
	}
	pay := request{host: hostName, method: "POST", target: "/pay/2f", key: goodKey, body: "pay 100", deadline: 2500 * time.Millisecond}
	if err := awaitServed(f, pay); err != nil {
		return verdict{}, err
	}
	grace := 8 * time.Second
	stopped := f.hosts[0]
	var mu sync.Mutex
	var termAt, killAt time.Time
	go func() {
		time.Sleep(time.Second)
		if trouble {
			grace = 4 * time.Second
			for _, h := range f.hosts {
				h.fields["bounds"].(map[string]any)["graceS"] = 4
				_ = h.writeSettings()
				_ = h.command.Process.Signal(syscall.SIGHUP)
			}
			f.note("graceS is 4 in all settings files from now on; SIGHUP sent to all processes")
		}
		time.Sleep(5 * time.Second)
		mu.Lock()
		termAt = time.Now()
		mu.Unlock()
		f.note("SIGTERM to %s; graceS is %v", stopped.name, grace)
		_ = stopped.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-stopped.done:
			f.note("%s has ended by itself after %d ms", stopped.name, time.Since(termAt).Milliseconds())
		case <-time.After(grace):
			f.note("SIGKILL to %s", stopped.name)
			mu.Lock()
			killAt = time.Now()
			mu.Unlock()
			stopped.kill()
		}
	}()
	lost, excused, served := 0, 0, 0
	inParallel(300, 50*time.Millisecond, func(i int) {
		h := f.hosts[i%len(f.hosts)]
		mu.Lock()
		term := termAt
		mu.Unlock()
		if h == stopped && !term.IsZero() && time.Since(term) > 6*time.Second {
			return // three times ttlS after the SIGTERM, no client has the address any more
		}
		a := f.sendTo(h, pay)
		mu.Lock()
		defer mu.Unlock()
		switch ran := len(f.ranAt(a.attempt, "run")) > 0; {
		case a.status == 200 && a.complete:
			served++
		case a.status != 0 && a.complete || !ran || killAt.IsZero():
		case a.sent.Sub(termAt) <= after:
			excused++
			f.note("cut, but excused: %s was sent %d ms after the SIGTERM", a.attempt, a.sent.Sub(termAt).Milliseconds())
		default:
			lost++
			f.note("LOST %s: sent %d ms after the SIGTERM, passed on to a worker, and cut without an answer", a.attempt, a.sent.Sub(termAt).Milliseconds())
		}
	})
	return verdict{lost > 0, fmt.Sprintf("%d requests that a worker had begun were cut without an answer, %d more were excused; %d were served", lost, excused, served)}, nil
}

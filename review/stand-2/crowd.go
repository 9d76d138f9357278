package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["crowd"] = crowd }

// memoryMB is memoryMb of the settings, beyond which a machine ends its process.
const memoryMB = 206

// resident returns the memory of a process, now or at its peak, in MB.
func resident(pid int, field string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, l := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(l, field+":"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// unfinished returns a request inside all limits of the configuration whose body lacks its last byte. Its head has as many fields
// as fit into maxHeaderBytes.
func unfinished(attempt string, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /pay/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n",
		hostName, attempt, goodKey, size)
	for i := 0; b.Len() < 16384-16; i++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(36*36+i), 36))
	}
	b.WriteString("\r\n")
	b.Write(bytes.Repeat([]byte{'x'}, size-1))
	return b.Bytes()
}

// guard acts as the platform: it ends a process whose memory exceeds that of its machine, and starts it again a second later.
type guard struct {
	fleet *fleet
	host  *host
	most  float64
	ends  int
}

func (g *guard) watch(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		m := resident(g.host.command.Process.Pid, "VmRSS")
		g.most = max(g.most, m)
		if m <= memoryMB {
			continue
		}
		g.ends++
		g.fleet.note("%s holds %.0f MB of %d: the platform ends it", g.host.name, m, memoryMB)
		g.host.kill()
		time.Sleep(time.Second)
		if g.fleet.startHost(g.host) != nil || !g.fleet.awaitReady(g.host) {
			return
		}
	}
}

// crowd has callers send many bodies of legal size that stop just short of their end and stay open, in some waves, to two of three
// entry hosts. Each request is inside all limits. Ordinary callers go on meanwhile.
func crowd(f *fleet, trouble bool) (verdict, error) {
	const callers, size, waves, wave = 900, 30000, 3, 11 * time.Second
	f.store.put("op/config", config(1, []map[string]any{route("r-pay", "/pay/", "unsafe", "igitabo", 8000, 1)},
		[]map[string]any{plainService("igitabo")}, tenants(goodKey)))
	if _, err := startPlain(f, "igitabo", "-slots", "6"); err != nil {
		return verdict{}, err
	}
	if err := f.startHosts("kigali-a", "kigali-b", "kigali-c"); err != nil {
		return verdict{}, err
	}
	pay := request{host: hostName, method: "POST", target: "/pay/2f", key: goodKey, body: "pay 100", deadline: 2500 * time.Millisecond}
	if err := awaitServed(f, pay); err != nil {
		return verdict{}, err
	}
	guards := []*guard{{fleet: f, host: f.hosts[0]}, {fleet: f, host: f.hosts[1]}}
	var parts sync.WaitGroup
	for _, g := range guards {
		parts.Add(2)
		go func() {
			defer parts.Done()
			g.watch(waves * wave)
		}()
		go func() {
			defer parts.Done()
			for n := range waves {
				begun := time.Now()
				if trouble {
					g.crowd(callers, size, fmt.Sprintf("%s-%s-%d", f.prefix, g.host.ip, n))
				}
				time.Sleep(wave - time.Since(begun))
			}
		}()
	}
	var mu sync.Mutex
	lost, sent := 0, 0
	inParallel(int(waves*wave/(100*time.Millisecond)), 100*time.Millisecond, func(int) {
		a := f.send(pay)
		mu.Lock()
		defer mu.Unlock()
		if sent++; a.status != 200 || !a.complete {
			lost++
		}
	})
	parts.Wait()
	broken := guards[0].ends >= 3 && guards[1].ends >= 3
	return verdict{broken, fmt.Sprintf("two processes exceeded the %d MB of their machines %d and %d times, at most %.0f and %.0f MB; %d of %d first tries of ordinary callers were not served",
		memoryMB, guards[0].ends, guards[1].ends, guards[0].most, guards[1].most, lost, sent)}, nil
}

// crowd sends unfinished requests to the host and keeps their connections open until they are closed, for 8 s at most.
func (g *guard) crowd(callers, size int, prefix string) {
	g.fleet.note("%d callers each send a head of %d bytes and a body of %d bytes less its last one to %s", callers, len(unfinished("x", size))-size+1, size, g.host.name)
	var open sync.WaitGroup
	for i := range callers {
		open.Add(1)
		go func() {
			defer open.Done()
			c, err := net.Dial("tcp", g.host.front)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(8 * time.Second))
			if _, err := c.Write(unfinished(fmt.Sprintf("%s-c%d", prefix, i), size)); err == nil {
				_, _ = io.Copy(io.Discard, c)
			}
		}()
	}
	open.Wait()
}

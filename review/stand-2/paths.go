package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["paths"] = paths }

// paths has the operator add a route for all paths of a host. Clients ask for paths with escaped characters, some of which begin with two
// slashes, as those of clients do that join a base address with a path.
func paths(f *fleet, trouble bool) (verdict, error) {
	services := []map[string]any{plainService("igitabo")}
	note := route("r-read", "/read/", "safe", "igitabo", 1200, 2)
	f.store.put("op/config", config(1, []map[string]any{note}, services, tenants(goodKey)))
	if _, err := startPlain(f, "igitabo", "-slots", "6"); err != nil {
		return verdict{}, err
	}
	if err := f.startHosts("kigali-a", "kigali-b", "kigali-c"); err != nil {
		return verdict{}, err
	}
	if err := awaitServed(f, request{host: hostName, method: "GET", target: "/read/2f", key: goodKey, deadline: 2500 * time.Millisecond}); err != nil {
		return verdict{}, err
	}
	if trouble {
		f.store.put("op/config", config(4, []map[string]any{note, route("r-all", "/", "safe", "igitabo", 1200, 2)}, services, tenants(goodKey)))
		f.note("the operator has added a route with the prefix /")
	}
	time.Sleep(3 * time.Second)
	ran, changed := 0, 0
	for i := range 24 {
		h := f.hosts[i%len(f.hosts)]
		target := []string{"/read/a%20b", "/read/a%2Fb?x=%2F", "//read/a%20b", "//accounts/7%2F2?x=%2F"}[i%4]
		attempt := fmt.Sprintf("%s-p%d", f.prefix, i)
		c, err := net.Dial("tcp", h.front)
		if err != nil {
			return verdict{}, err
		}
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", target, hostName, attempt, goodKey)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return verdict{}, err
		}
		_ = c.Close()
		f.note("sent %s to %s: GET %s; answered %d", attempt, h.name, target, response.StatusCode)
		f.await(300*time.Millisecond, func() bool { return len(f.ranAt(attempt, "run")) > 0 })
		for _, e := range f.ranAt(attempt, "run") {
			ran++
			if e.Target != target {
				changed++
				f.note("UNASKED %s: the client sent %s, the worker ran %s", attempt, target, e.Target)
			}
		}
	}
	return verdict{changed > 0, fmt.Sprintf("%d of %d requests ran with another path than their clients sent", changed, ran)}, nil
}

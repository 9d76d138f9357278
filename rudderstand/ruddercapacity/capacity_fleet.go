package ruddercapacity

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderapp"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderkv"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/rudderadmin"
)

// Size is the size of a fleet to start.
type Size struct {
	Nodes int
	// LayoutCopies is how often the fabric domains and service hosts of the layout with two firms are repeated.
	// Zero means once.
	LayoutCopies int
}

// Sample is the measured cost of one running fleet. Rates are per second, summed over all entry hosts.
type Sample struct {
	Nodes, Workers, Domains, Groups int
	// PeerBytes, PlatformBytes, ListBytes and ControlBytes are bytes per second on the wire.
	PeerBytes, PlatformBytes, ListBytes, ControlBytes float64
	// Calls are the calls per second by peer method, and "host list" and "control" for reads of the host list
	// and control calls to targets. BodyBytes are the bytes per second of the request and response bodies by
	// the same keys; the bodies of control calls are not counted.
	Calls, BodyBytes map[string]float64
	// PlatformCalls are the key-value calls per second by kind and prefix; Reads and Writes are their sums.
	PlatformCalls map[string]float64
	Reads, Writes float64
	// CPU is CPU seconds per second, and Memory is bytes after a garbage collection. Both include the
	// stand-ins, which run in the same process.
	CPU, Memory float64
	// LoadAverage is the machine's one-minute load average at the end of the measurement.
	LoadAverage float64
}

// Fleet is a running system whose network traffic is counted.
type Fleet struct {
	Scene   *rudderscene.Scene
	Traffic *Traffic
}

const (
	startTimeout = 60 * time.Second
	// settleTime lets registry updates, lease grants and preloads finish after all groups serve.
	settleTime = 3 * time.Second
)

// layout repeats the domains, services and wanted groups of the two-firm layout.
func layout(times int) rudderfleetstand.Layout {
	l := rudderfleetstand.TwoFirms()
	domains, services := l.Domains, l.Services
	for i := 1; i < times; i++ {
		for _, d := range domains {
			d.Name = fmt.Sprintf("%s%d", d.Name, i)
			l.Domains = append(l.Domains, d)
		}
		for _, s := range services {
			s.Name = fmt.Sprintf("%s%d", s.Name, i)
			l.Services = append(l.Services, s)
		}
	}
	for i := range l.Document.Selectors {
		l.Document.Selectors[i].WantedGroups *= times
	}
	return l
}

// StartFleet starts a fleet and waits until all wanted groups serve.
func StartFleet(size Size) (*Fleet, error) {
	f := &Fleet{Traffic: &Traffic{}}
	l := layout(max(1, size.LayoutCopies))
	places := rudderscene.LocationsOf(l, (size.Nodes+5)/6)
	spread := make([]rudderscene.Location, 0, size.Nodes)
	for i := range size.Nodes {
		spread = append(spread, places[i*len(places)/size.Nodes])
	}
	f.Scene = &rudderscene.Scene{
		Fleet: &rudderfleetstand.Fleet{Layout: l}, Locations: spread,
		BeforeListen: func(_ int, app *rudderapp.App) { f.Traffic.Instrument(app) },
		Settings:     map[string]string{"max-in-flight": "100000"},
	}
	if err := f.Scene.Start(); err != nil {
		f.Scene.Close()
		return nil, err
	}
	if err := rudderscene.Await(startTimeout, "all wanted groups serve", f.serves); err != nil {
		f.Scene.Close()
		return nil, err
	}
	time.Sleep(settleTime)
	return f, nil
}

// Close stops the entry hosts and the stand-ins.
func (f *Fleet) Close() { f.Scene.Close() }

// Admin returns a client of the admin API.
func (f *Fleet) Admin() *rudderadmin.Client {
	c := &rudderadmin.Client{Token: rudderfleetstand.OperatorToken, HTTP: http.DefaultClient}
	for _, e := range f.Scene.Entries() {
		c.Addresses = append(c.Addresses, e.App.AdminAddress())
	}
	return c
}

func (f *Fleet) status() (rudderadmin.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var status rudderadmin.Status
	err := f.Admin().Get(ctx, "/status", nil, &status)
	return status, err
}

func (f *Fleet) serves() bool {
	status, err := f.status()
	if err != nil || len(status.EntryHosts) < len(f.Scene.Locations) || len(status.Selectors) == 0 {
		return false
	}
	for _, s := range status.Selectors {
		if s.Active && s.Serving < s.Wanted {
			return false
		}
	}
	return true
}

// Measure samples the fleet for the span. Requests may be sent at the same time, for instance by GenerateLoad.
func (f *Fleet) Measure(span time.Duration) (Sample, error) {
	f.Scene.Fleet.KV.ResetCounts()
	before, cpu, began := f.Traffic.snapshot(), processorTime(), time.Now()
	time.Sleep(span)
	after, counts, used := f.Traffic.snapshot(), f.Scene.Fleet.KV.Counts(), processorTime()-cpu
	seconds := time.Since(began).Seconds()
	status, err := f.status()
	if err != nil {
		return Sample{}, errors.Wrap(err, "read /status of the measured fleet")
	}
	s := Sample{
		Nodes: len(f.Scene.Locations), Workers: status.Hosts, Domains: len(f.Scene.Fleet.Layout.Domains) + len(f.Scene.Fleet.Layout.Services),
		PeerBytes: float64(after.peer-before.peer) / seconds, PlatformBytes: float64(after.platform-before.platform) / seconds,
		ListBytes: float64(after.list-before.list) / seconds, ControlBytes: float64(after.control-before.control) / seconds,
		Calls: rates(before.calls, after.calls, seconds), BodyBytes: rates(before.body, after.body, seconds),
		PlatformCalls: platformRates(counts, seconds), Reads: float64(counts.Reads) / seconds, Writes: float64(counts.Writes) / seconds,
		CPU: used.Seconds() / seconds, Memory: allocatedMemory(), LoadAverage: LoadAverage(),
	}
	for _, selector := range status.Selectors {
		s.Groups += selector.Serving
	}
	return s, nil
}

func rates(before, after map[string]int64, seconds float64) map[string]float64 {
	out := map[string]float64{}
	for k, v := range after {
		out[k] = float64(v-before[k]) / seconds
	}
	return out
}

func platformRates(counts rudderkv.Counts, seconds float64) map[string]float64 {
	out := map[string]float64{}
	for kind, n := range counts.ByPrefix {
		if strings.HasPrefix(kind, rudderkv.KindWatch) {
			continue // a watch has several prefixes, so it is counted once by kind below
		}
		out[kind] = float64(n) / seconds
	}
	for _, kind := range []string{rudderkv.KindKeepAlive, rudderkv.KindGrantLease, rudderkv.KindRevokeLease, rudderkv.KindWatch} {
		if n := counts.ByKind[kind]; n > 0 {
			out[kind] = float64(n) / seconds
		}
	}
	return out
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func allocatedMemory() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

package ruddercapacity

import (
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	sampleSpan          = 5 * time.Second
	loadRate            = 60 // requests per second
	peerCallCount       = 3000
	confirmationsMethod = "Confirmations"
	// planDomains is the number of fabric domains that the design expects, with 24 hosts each.
	planDomains = 30
)

// Report measures fleets of several sizes and prints the samples and their extrapolation to the design size.
func Report(w io.Writer, progress func(string, ...any)) error {
	cost, err := MeasurePeerCall(peerCallCount)
	if err != nil {
		return err
	}
	print := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	print("signed peer call, caller and callee: %.0f us of processor time, %.0f bytes (load average %.1f)",
		float64(cost.CPU)/float64(time.Microsecond), cost.Bytes, LoadAverage())
	var samples []Sample
	for _, size := range []Size{{6, 1}, {12, 1}, {24, 1}, {12, 2}} {
		progress("measuring %d entry hosts, %d copies of the layout", size.Nodes, size.LayoutCopies)
		s, loaded, answered, err := measureSize(size)
		if err != nil {
			return err
		}
		samples = append(samples, s)
		printSample(print, s)
		if answered > 0 {
			printRequests(print, s, loaded, answered)
		}
	}
	printDesignSize(print, samples, cost)
	one, all, err := PlanBytes(planDomains, DesignWorkers)
	print("  a changed plan in %d domains: %d bytes as one value for each domain, %d as one value for the fleet; to %d watches %.1f and %.1f MB",
		planDomains, one, all, DesignNodes, float64(one*DesignNodes)/1e6, float64(all*DesignNodes)/1e6)
	return err
}

// measureSize measures an idle fleet and, from 24 entry hosts on, also the fleet under load. It returns how
// many requests were answered.
func measureSize(size Size) (s, loaded Sample, answered int, err error) {
	f, err := StartFleet(size)
	if err != nil {
		return s, loaded, 0, err
	}
	defer f.Close()
	if s, err = f.Measure(sampleSpan); err != nil || size.Nodes < 24 {
		return s, loaded, 0, err
	}
	done := make(chan int, 1)
	go func() { done <- f.GenerateLoad(loadRate, sampleSpan) }()
	loaded, err = f.Measure(sampleSpan)
	return s, loaded, <-done, err
}

func printSample(print func(string, ...any), s Sample) {
	n := float64(s.Nodes)
	print("\n%d entry hosts, %d workers, %d domains, %d groups, at rest (load average %.1f)", s.Nodes, s.Workers, s.Domains, s.Groups, s.LoadAverage)
	print("  a node: peers %.2f KB/s (both directions; bodies of confirmations %.2f, of digests %.2f), platform %.2f, host list %.2f, targets %.2f KB/s",
		2*s.PeerBytes/n/1000, s.BodyBytes[confirmationsMethod]/n/1000, s.BodyBytes["Digest"]/n/1000, s.PlatformBytes/n/1000, s.ListBytes/n/1000, s.ControlBytes/n/1000)
	print("  a node: %.2f confirmation pulls/s, %.2f digest pulls/s, %.2f polls/s; processor %.2f%% of a core, memory %.2f MB, stand-ins included",
		s.Calls[confirmationsMethod]/n, s.Calls["Digest"]/n, s.Calls["control"]/n, 100*s.CPU/n, s.Memory/n/1e6)
	var kinds []string
	for _, kind := range SortedKinds(s.PlatformCalls) {
		kinds = append(kinds, fmt.Sprintf("%s %.2f", kind, s.PlatformCalls[kind]))
	}
	print("  platform calls/s: %s; reads %.1f, writes %.1f", strings.Join(kinds, ", "), s.Reads, s.Writes)
}

func printRequests(print func(string, ...any), rest, loaded Sample, answered int) {
	perSecond := float64(answered) / sampleSpan.Seconds()
	print("  with %.0f requests/s: %.2f grants, %.2f releases, %.2f renewals and %.0f peer bytes a request; %.2f ms of processor time a request, streams and stand-ins included",
		perSecond, loaded.Calls["Grant"]/perSecond, loaded.Calls["Release"]/perSecond, loaded.Calls["HeldSlots"]/perSecond,
		(loaded.PeerBytes-rest.PeerBytes)/perSecond, 1000*(loaded.CPU-rest.CPU)/perSecond)
}

// printDesignSize extrapolates the samples. Platform calls scale with fabric domains or entry hosts, according
// to their kind; CPU, memory and peer traffic use the slopes between two samples.
func printDesignSize(print func(string, ...any), samples []Sample, cost CallCost) {
	small, largest, double := samples[0], samples[2], samples[3]
	middle := samples[1]
	print("\nextended to %d nodes, %d workers, %d domains", DesignNodes, DesignWorkers, DesignDomains)
	for _, kind := range SortedKinds(largest.PlatformCalls) {
		print("  platform %s: %.1f/s", kind, CallRateAtDesignSize(kind, largest))
	}
	reads, writes := PlatformRatesAtDesignSize(largest)
	print("  platform reads %.0f/s, writes %.0f/s with %d claim writes, burn counters, changes and plans", reads, writes, DesignClaimWrites)
	nodes := float64(largest.Nodes - small.Nodes)
	print("  a further node at the same workers: %.2f%% of a core, %.2f MB, stand-ins' answers included",
		100*(largest.CPU-small.CPU)/nodes, (largest.Memory-small.Memory)/nodes/1e6)
	workers := float64(double.Workers - middle.Workers)
	print("  a further 100 workers, all nodes together: %.2f%% of a core, %.2f MB, peers %.2f KB/s, stand-ins included",
		10000*(double.CPU-middle.CPU)/workers, 100*(double.Memory-middle.Memory)/workers/1e6, 100*(double.PeerBytes-middle.PeerBytes)/workers/1000)
	pulls := largest.Calls[confirmationsMethod] / float64(largest.Domains) * DesignDomains / DesignNodes
	body := largest.BodyBytes[confirmationsMethod] / largest.Calls[confirmationsMethod]
	print("  a node's confirmation pulls: %.2f/s of %.0f bytes and %.0f bytes of framing, %.2f KB/s in both directions on the mean",
		pulls, body, cost.Bytes, 2*pulls*(body+cost.Bytes)/1000)
	list := largest.BodyBytes["host list"] / largest.Calls["host list"] / float64(largest.Workers) * DesignWorkers
	print("  one read of the host list: %.0f KB; %.1f KB/s on a node that plans (each 10 s), %.1f KB/s on others (each 60 s)", list/1000, list/10000, list/60000)
	const digestEntry, regional = 20, 110
	print("  gossip by the design's arithmetic: %d members x %d bytes/s, and 2.33 pulls of %.0f bytes: %.2f KB/s received",
		regional, digestEntry, cost.Bytes, (regional*digestEntry+2.33*cost.Bytes)/1000)
	owners := float64(DesignGroups) / 4
	grants := DesignRequests / owners
	print("  owner of one of %.0f shards: %.0f requests/s, %.0f calls/s, %.1f%% of a core for caller and callee, %.1f KB/s of framing alone",
		owners, grants, 2*grants, 2*grants*cost.CPU.Seconds()*100, 2*grants*cost.Bytes/1000)
}

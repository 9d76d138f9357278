package ruddercapacity

import (
	"slices"
	"time"
)

// LinearFit is a linear regression over the node count.
type LinearFit struct {
	Intercept, Slope float64
	// RSquared is the coefficient of determination: the share of the variance that the fit explains.
	RSquared float64
}

// At returns the fitted value for a node count.
func (l LinearFit) At(nodes int) float64 { return l.Intercept + l.Slope*float64(nodes) }

// GossipEstimate extrapolates the cost of a node to the design size. InForceSeconds is the time until a
// change is in force while one member is silent.
type GossipEstimate struct {
	BytesPerSecond, CoreShare, MemoryBytes, InForceSeconds LinearFit
}

// Missed lists the parts of the budget that the estimate exceeds at the design size.
func (e GossipEstimate) Missed() []string {
	parts := []struct {
		name   string
		line   LinearFit
		budget float64
	}{
		{"bytes per second", e.BytesPerSecond, budgetBytesPerSec},
		{"share of a core", e.CoreShare, budgetCoreShare},
		{"memory", e.MemoryBytes, budgetMemoryBytes},
		{"time until in force", e.InForceSeconds, budgetInForce.Seconds()},
	}
	var missed []string
	for _, p := range parts {
		if p.line.At(designNodes) > p.budget {
			missed = append(missed, p.name)
		}
	}
	return missed
}

// EstimateGossip fits a line to each cost. The samples must have at least two different sizes.
func EstimateGossip(samples []GossipSample) GossipEstimate {
	fit := func(value func(GossipSample) float64) LinearFit {
		var x, y []float64
		for _, s := range samples {
			x, y = append(x, float64(s.Nodes)), append(y, value(s))
		}
		return fitLine(x, y)
	}
	return GossipEstimate{
		BytesPerSecond: fit(func(s GossipSample) float64 { return s.BytesPerSecond }),
		CoreShare:      fit(func(s GossipSample) float64 { return s.CoreShare }),
		MemoryBytes:    fit(func(s GossipSample) float64 { return s.MemoryBytes }),
		InForceSeconds: fit(func(s GossipSample) float64 { return s.InForceSilent.Seconds() }),
	}
}

// fitLine returns the least-squares fit of a line to the points.
func fitLine(x, y []float64) LinearFit {
	n := float64(len(x))
	var sumX, sumY float64
	for i := range x {
		sumX, sumY = sumX+x[i], sumY+y[i]
	}
	var xx, xy, yy float64
	for i := range x {
		dx, dy := x[i]-sumX/n, y[i]-sumY/n
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	l := LinearFit{Slope: xy / xx, RSquared: 1}
	l.Intercept = sumY/n - l.Slope*sumX/n
	if yy > 0 {
		l.RSquared = xy * xy / (xx * yy)
	}
	return l
}

func medianAndMax(values []time.Duration) (median, longest time.Duration) {
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}

package rudderedge

import (
	"time"

	"comfreyrudder.example/rudderd/rudderforward"
	"comfreyrudder.example/rudderd/rudderview"
)

// Bounds are the time limits and retry limits that the platform requires; 0 means that it sets none.
type Bounds struct {
	// Revoke is the time after which a revoked API key must no longer be accepted.
	Revoke time.Duration
	// Drain and Apply are the times after which a leaving target gets no new work and a changed routing
	// document is in force.
	Drain, Apply time.Duration
	// Stop is the time from the request to stop until the process is killed.
	Stop time.Duration
	// Stall is the time after which a group whose leader has lost a member counts as broken.
	Stall time.Duration
	// DirectoryLifetime is the longest time for which callers may cache a response of the directory.
	DirectoryLifetime time.Duration
	Retries           rudderforward.RetryLimits
}

const (
	// inFlightMargin is subtracted from the bounds on revoked keys and on changes, because a request may be under way
	// to a target for this long after it was checked.
	inFlightMargin = 600 * time.Millisecond
	// sharedBoundRatio is the fraction of the bound on revoked keys from which on the bound on changes also applies
	// during an outage of the key-value service. At this fraction it ends service hardly sooner than the bound on keys.
	sharedBoundRatio = 0.75
	// outageNoticeMargin separates the time after which a read shows that the key-value service is unreachable from the
	// age at which requests are refused because changes may be missing, so that an outage is not taken for a slow
	// response.
	outageNoticeMargin = 300 * time.Millisecond
	// defaultMaxKeyStaleness applies if there is no bound on revoked keys.
	defaultMaxKeyStaleness = 10 * time.Second
	// batchShare is the fraction of the shorter of the bounds Drain and Apply for which changes may be batched.
	batchShare = 0.15
	// defaultApply replaces either of these bounds if it is not set.
	defaultApply = time.Second
	// returnGrace is how long records may take to reappear after an outage of the key-value service.
	returnGrace = 2 * time.Second
	// directoryLifetime is how long callers cache addresses; some keep them three times as long.
	directoryLifetime = 2 * time.Second
	// defaultStallTimeout and defaultStop apply if the bound is not set.
	defaultStallTimeout = 6 * time.Second
	defaultStop         = 8 * time.Second
	// defaultRetryWindow applies if no window is set.
	defaultRetryWindow = 10 * time.Second
)

// WithBounds returns the settings with the times derived from the bounds.
func (s Settings) WithBounds(b Bounds) Settings {
	s.MaxKeyStaleness = defaultMaxKeyStaleness
	if b.Revoke > 0 {
		s.MaxKeyStaleness = max(b.Revoke-inFlightMargin, inFlightMargin)
	}
	if b.Apply > 0 || b.Drain > 0 {
		bound := min(orDefault(b.Apply, b.Drain), orDefault(b.Drain, b.Apply))
		s.MaxStaleness = max(bound-inFlightMargin, rudderview.OutageDetectionTime+outageNoticeMargin)
		if float64(bound) >= sharedBoundRatio*float64(b.Revoke) {
			// A host cannot always distinguish an unreachable key-value service from one that still serves other hosts.
			s.MaxKeyStaleness = min(s.MaxKeyStaleness, s.MaxStaleness)
		}
	}
	s.DirectoryLifetime = min(directoryLifetime, orDefault(b.DirectoryLifetime, directoryLifetime))
	s.BatchPause = time.Duration(batchShare * float64(min(orDefault(b.Drain, defaultApply), orDefault(b.Apply, defaultApply))))
	s.ReturnGrace = returnGrace
	s.StallTimeout, s.StopGrace = orDefault(b.Stall, defaultStallTimeout), orDefault(b.Stop, defaultStop)
	s.Retries = b.Retries
	s.Retries.Window = orDefault(b.Retries.Window, defaultRetryWindow)
	return s
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

package rudderedge

import (
	"runtime/debug"
	"time"

	"comfreyrudder.example/rudderd/rudderforward"
	"comfreyrudder.example/rudderd/rudderview"
)

// Bounds are the times and limits that the environment sets; 0 stands for one that it does not set.
type Bounds struct {
	// Revoke is the time after which a key that was taken away must not count any more.
	Revoke time.Duration
	// Drain and Apply are the times after which a leaving target gets no new work and a changed routing
	// document is in force.
	Drain, Apply time.Duration
	// Stop is the time from the request to stop until the process is killed.
	Stop time.Duration
	// Stall is the time after which a leader without one of its members is broken.
	Stall time.Duration
	// DirectoryLifetime is the longest time for which an answer of the directory may count.
	DirectoryLifetime time.Duration
	Retries           rudderforward.RetryLimits
}

const (
	// lookMargin is kept between the age of a look at which keys stop to count and the bound on revoked
	// keys: a request may be under way to a target for this long.
	lookMargin = 600 * time.Millisecond
	// oneBoundShare is the part of the bound on revoked keys from which on the bound on changes holds during an outage
	// too: it ends service hardly sooner.
	oneBoundShare = 0.75
	// noticeMargin is kept between the time after which a look shows that the service is away and the age at which
	// requests are refused because the service may have changes: an outage must not look like a slow answer.
	noticeMargin = 300 * time.Millisecond
	// defaultLookLimit applies where there is no bound on revoked keys.
	defaultLookLimit = 10 * time.Second
	// batchShare is the part of the shortest time to take a change into account that changes may gather.
	batchShare = 0.15
	// defaultApply is that time where none is set.
	defaultApply = time.Second
	// returnGrace is how long records may take to come back after an outage of the key-value service.
	returnGrace = 2 * time.Second
	// directoryLifetime is how long callers keep addresses; some keep them three times as long.
	directoryLifetime = 2 * time.Second
	// defaultStall and defaultStop apply where no bound is set.
	defaultStall = 6 * time.Second
	defaultStop  = 8 * time.Second
	// defaultRetryWindow applies where none is set.
	defaultRetryWindow = 10 * time.Second
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.5
)

// WithBounds returns the settings with the times that follow from the bounds.
func (s Settings) WithBounds(b Bounds) Settings {
	s.LookLimit = defaultLookLimit
	if b.Revoke > 0 {
		s.LookLimit = max(b.Revoke-lookMargin, lookMargin)
	}
	if b.Apply > 0 || b.Drain > 0 {
		bound := min(orDefault(b.Apply, b.Drain), orDefault(b.Drain, b.Apply))
		s.ApplyLimit = max(bound-lookMargin, rudderview.NoticeTime+noticeMargin)
		if float64(bound) >= oneBoundShare*float64(b.Revoke) {
			// A host cannot always tell a service that is away from one that only answers others.
			s.LookLimit = min(s.LookLimit, s.ApplyLimit)
		}
	}
	s.DirectoryLifetime = min(directoryLifetime, orDefault(b.DirectoryLifetime, directoryLifetime))
	s.BatchPause = time.Duration(batchShare * float64(min(orDefault(b.Drain, defaultApply), orDefault(b.Apply, defaultApply))))
	s.ReturnGrace = returnGrace
	s.Stall, s.StopGrace = orDefault(b.Stall, defaultStall), orDefault(b.Stop, defaultStop)
	s.Retries = b.Retries
	s.Retries.Window = orDefault(b.Retries.Window, defaultRetryWindow)
	return s
}

// LimitMemory makes the collector work harder well below a memory limit in bytes; 0 sets no limit.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit)))
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

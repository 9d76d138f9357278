// Package rudderpermit decides whether this entry host may serve under a configuration version. It
// does no I/O and takes the time as an argument.
package rudderpermit

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which no permit is held.
var (
	// ErrNoConfiguration reports that no configuration was adopted since the process started.
	ErrNoConfiguration = errors.New("permit: no configuration yet")
	// ErrNotAdmitted reports that the committed member registry does not list this entry host.
	ErrNotAdmitted = errors.New("permit: not in the committed member registry")
	// ErrExpired reports that the permit was not renewed in time.
	ErrExpired = errors.New("permit: expired")
)

// Version identifies a configuration. The hash tells apart two documents that got the same number
// because the platform went back to an older state between their writes.
type Version struct {
	Number int64
	Hash   uint64
}

// String returns the number, and the start of the hash for log lines.
func (v Version) String() string { return fmt.Sprintf("%d/%08x", v.Number, uint32(v.Hash)) }

// Rule is the way in which a permit was renewed.
type Rule string

// Rules of the design's section "Configuration in force".
const (
	RuleNone     Rule = ""
	RulePlatform Rule = "platform" // (a)
	RuleMajority Rule = "majority" // (b)
)

// ReadOutcome says what a read of the platform means.
type ReadOutcome int

// Outcomes of PlatformRead.
const (
	// ReadRenewed: the platform has the adopted version and the permit is renewed.
	ReadRenewed ReadOutcome = iota
	// ReadUnconfirmed: the platform has the adopted version, but the platform session is not trusted
	// yet, see Permit.
	ReadUnconfirmed
	// ReadNewer: the platform has a newer version, which must be adopted first.
	ReadNewer
	// ReadOlder: the platform went back to an older state. The adopted document must be written back.
	ReadOlder
	// ReadDiffers: the platform has another document under the adopted number.
	ReadDiffers
)

// settleFactor times the TTL is how long a platform session without a majority round must last
// before it is trusted. It leaves the entry hosts that know a newer version time to write it back to
// a platform that went back to an older state.
const settleFactor = 2

// Permit is the right of one entry host to serve. It is not safe for concurrent use.
//
// Reads of the platform form a session; a gap of the TTL between reads starts a new one. A session
// renews the permit only after a majority round that began within it, or after it lasted 2 TTL:
// otherwise an entry host that just started, or that was cut off, could take an older state of the
// platform for the current one.
type Permit struct {
	ttl     time.Duration
	adopted Version

	basis time.Time // start of the newest call that renewed the permit
	rule  Rule

	sessionStart, lastRead time.Time
	inSession, confirmed   bool
}

// New returns a permit that is not held.
func New(ttl time.Duration) *Permit { return &Permit{ttl: ttl} }

// TTL is how long the permit lasts after a renewal.
func (p *Permit) TTL() time.Duration { return p.ttl }

// Adopted is the version to serve under; its number is 0 before the first.
func (p *Permit) Adopted() Version { return p.adopted }

// Rule is the way of the newest renewal.
func (p *Permit) Rule() Rule { return p.rule }

// Adopt takes a version over and reports whether it did. Older numbers are refused. Another document
// under the same number is taken only with replace set.
func (p *Permit) Adopt(v Version, replace bool) bool {
	if v.Number < p.adopted.Number || v.Number <= 0 || v == p.adopted {
		return false
	}
	if v.Number == p.adopted.Number && !replace {
		return false
	}
	p.adopted = v
	return true
}

// Check returns nil if the permit is held at the time now.
func (p *Permit) Check(now time.Time) error {
	if p.adopted.Number == 0 {
		return ErrNoConfiguration
	}
	if p.Remaining(now) <= 0 {
		return ErrExpired
	}
	return nil
}

// Remaining is the time until the permit ends unless it is renewed, 0 if it is not held.
func (p *Permit) Remaining(now time.Time) time.Duration {
	if p.rule == RuleNone || p.adopted.Number == 0 {
		return 0
	}
	return max(p.ttl-Elapsed(p.basis, now), 0)
}

// PlatformRead records a linearizable read of the platform that began at started. A watch that
// reports no change counts as a read of the version that it waits on.
func (p *Permit) PlatformRead(started time.Time, read Version) ReadOutcome {
	switch {
	case read.Number > p.adopted.Number:
		return ReadNewer
	case read.Number < p.adopted.Number:
		p.inSession = false
		return ReadOlder
	case read.Hash != p.adopted.Hash:
		return ReadDiffers
	}
	if !p.inSession || Elapsed(p.lastRead, started) > p.ttl {
		p.inSession, p.confirmed, p.sessionStart = true, false, started
	}
	p.lastRead = started
	if !p.confirmed && Elapsed(p.sessionStart, started) < settleFactor*p.ttl {
		return ReadUnconfirmed
	}
	p.confirmed = true
	p.renew(started, RulePlatform)
	return ReadRenewed
}

// MajorityRound records that a majority of the registry acknowledged the adopted version or older
// ones, each not before started.
func (p *Permit) MajorityRound(started time.Time) {
	if p.inSession && !started.Before(p.sessionStart) {
		p.confirmed = true
	}
	p.renew(started, RuleMajority)
}

func (p *Permit) renew(started time.Time, rule Rule) {
	if p.rule == RuleNone || started.After(p.basis) {
		p.basis, p.rule = started, rule
	}
}

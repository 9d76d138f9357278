// Package rudderpermit implements the permit of an entry host: a lease-like right to serve under a
// configuration version, renewed by reads of the platform or by acknowledgements of a majority of entry hosts.
// The package does no I/O; time is an argument.
package rudderpermit

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons why no permit is held.
var (
	// ErrNoConfiguration means that no configuration was adopted since the process started.
	ErrNoConfiguration = errors.New("permit: no configuration yet")
	// ErrNotAdmitted means that the committed member registry does not list this entry host.
	ErrNotAdmitted = errors.New("permit: not in the committed member registry")
	// ErrExpired means that the permit was not renewed in time.
	ErrExpired = errors.New("permit: expired")
)

// Version identifies a configuration. The hash distinguishes two documents with the same number, which can be
// written if the platform is restored to an older state in between.
type Version struct {
	Number int64
	Hash   uint64
}

// String returns the number and the low 32 bits of the hash, for logs.
func (v Version) String() string { return fmt.Sprintf("%d/%08x", v.Number, uint32(v.Hash)) }

// Rule is the way by which a permit was renewed.
type Rule string

// The rules of the section "Configuration in force" of the design.
const (
	RuleNone     Rule = ""
	RulePlatform Rule = "platform" // (a)
	RuleMajority Rule = "majority" // (b)
)

// ReadOutcome is the result of PlatformRead.
type ReadOutcome int

// Results of PlatformRead.
const (
	// ReadRenewed: the platform has the adopted version, and the permit is renewed.
	ReadRenewed ReadOutcome = iota
	// ReadUnconfirmed: the platform has the adopted version, but the session is not confirmed yet; see Permit.
	ReadUnconfirmed
	// ReadNewer: the platform has a newer version, which must be adopted first.
	ReadNewer
	// ReadOlder: the platform was restored to an older state. The adopted document must be written back.
	ReadOlder
	// ReadDiffers: the platform has another document with the adopted number.
	ReadDiffers
)

// settleFactor times the TTL is how long a session must last before it is confirmed without a majority round.
// It gives entry hosts that know a newer version the time to write it back to a platform that was restored to
// an older state.
const settleFactor = 2

// Permit is the right of one entry host to serve. It is not safe for concurrent use.
//
// Reads of the platform form a session, which ends by a gap of more than the TTL between two reads or by a read
// of an older version. A session is confirmed, and renews the permit, after a majority round that began within
// it or after it has lasted 2 TTL. Otherwise an entry host that has just started or was cut off could mistake
// an older state of the platform for the current one.
type Permit struct {
	ttl     time.Duration
	adopted Version

	basis time.Time // start of the latest call that renewed the permit
	rule  Rule

	sessionStart, lastRead time.Time
	inSession, confirmed   bool
}

// New returns a permit that is not held yet.
func New(ttl time.Duration) *Permit { return &Permit{ttl: ttl} }

// TTL returns how long the permit is held after a renewal.
func (p *Permit) TTL() time.Duration { return p.ttl }

// Adopted returns the version to serve under; its number is 0 before the first Adopt.
func (p *Permit) Adopted() Version { return p.adopted }

// Rule returns the rule of the latest renewal.
func (p *Permit) Rule() Rule { return p.rule }

// Adopt makes v the adopted version and reports whether it did. It refuses lower numbers, and another document
// with the same number unless replace is set.
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

// Check returns nil if the permit is held at now, or else the reason why it is not.
func (p *Permit) Check(now time.Time) error {
	if p.adopted.Number == 0 {
		return ErrNoConfiguration
	}
	if p.Remaining(now) <= 0 {
		return ErrExpired
	}
	return nil
}

// Remaining returns the time until the permit expires without a renewal, or 0 if it is not held.
func (p *Permit) Remaining(now time.Time) time.Duration {
	if p.rule == RuleNone || p.adopted.Number == 0 {
		return 0
	}
	return max(p.ttl-Elapsed(p.basis, now), 0)
}

// PlatformRead records a linearizable read of the platform that began at started. A watch that reports no
// change counts as a read of the watched version.
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

// MajorityRound records that a majority of the members in the registry acknowledged the adopted version or an
// older one, none before started.
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

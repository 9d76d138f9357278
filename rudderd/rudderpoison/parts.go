package rudderpoison

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes and minRequests are the numbers of crashes and of different requests after which a part is blocked.
	// A single request that crashes each target may do so by what it alone holds.
	minCrashes, minRequests = 2, 2
	// minSharedCrashes and minSharedRequests replace them where the evidence is weaker: for a part that many sound requests
	// are likely to share, because an answer began on it within soundTTL or a prompt with it has a deeper part that is shared
	// too, and if all suspects had got an event.
	minSharedCrashes, minSharedRequests = 4, 3
	soundTTL                            = 10 * time.Minute
	// simultaneousWindow is the time within which crashes in one fabric domain count as one, because hosts of a domain
	// that fail together share a cause.
	simultaneousWindow = 250 * time.Millisecond
	// crashTTL is how long a crash is kept as evidence.
	crashTTL = 30 * time.Minute
	// blockTTL is how long a part stays blocked after the last request with it.
	blockTTL = 30 * time.Minute
	// firstTrial is the time from the block of a part to its first trial, and firstSharedTrial that for a part that many
	// sound requests are likely to share. Each further interval is trialFactor times as long, up to maxTrialInterval.
	firstTrial       = time.Minute
	firstSharedTrial = 5 * time.Second
	trialFactor      = 5
	maxTrialInterval = 24 * time.Hour
	// maxCrashes, maxSuspects, maxSuspectParts and maxParts bound the memory of a PartTracker.
	maxCrashes      = 64
	maxSuspects     = 8
	maxSuspectParts = 8
	maxParts        = 8192
	// maxPartLength is the length above which a part is named by a hash, in bytes.
	maxPartLength = 96
)

// Part names a part of prompts within a service. Many requests may share a part.
type Part string

// SharedParts returns the parts of a prompt that other requests may share, by their IDs in order. The last part
// belongs to the request or its session alone.
func SharedParts(service string, ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	ids = ids[:len(ids)-1]
	ids = ids[max(len(ids)-maxSuspectParts, 0):]
	parts := make([]Part, len(ids))
	for i, id := range ids {
		name := service + "/" + id
		if len(name) > maxPartLength {
			name = fmt.Sprintf("%016x", xxhash.Sum64String(name))
		}
		parts[i] = Part(name)
	}
	return parts
}

// SuspectRequest is a request whose answer had just begun on a target when the target crashed.
type SuspectRequest struct {
	Request Fingerprint `json:"request"`
	Parts   []Part      `json:"parts,omitempty"`
	// Events is the number of events of the answer that had arrived.
	Events int `json:"events,omitempty"`
}

// Crash is the crash of a target with the suspects that one entry host knows.
type Crash struct {
	// Target is the name of the target with its incarnation, and Domain its fabric domain, which may be empty.
	Domain   string           `json:"domain,omitempty"`
	Target   string           `json:"target"`
	Suspects []SuspectRequest `json:"suspects"`
}

// Block is the decision to refuse requests with a part.
type Block struct {
	Part Part
	// Crashes and Requests are the evidence; they are 0 if another entry host has decided.
	Crashes, Requests int
	// Shared is set if sound requests are likely to share the part, or the evidence is weak.
	Shared bool
	// Since is when this entry host blocked the part, and FirstCrash the first crash of the evidence.
	Since, FirstCrash time.Time
	// Trials is the number of requests that were let through since, to see whether the part still crashes targets.
	Trials    int
	NextTrial time.Time
	// Revision is the revision of the block's record; 0 before it is known.
	Revision int64

	lastRequest time.Time
	trialUntil  time.Time // until which one request may pass; zero for none
}

// RetryAfter returns the time until the next trial.
func (b *Block) RetryAfter(now time.Time) time.Duration {
	return max(b.NextTrial.Sub(now), time.Second)
}

// PartTracker decides which parts of prompts crash targets. It charges each part of a suspect with the crash, until an
// answer begins on the part elsewhere. It is not safe for concurrent use. All times come from the monotonic clock of
// one entry host; the order of its own and others' records is that of their revisions.
type PartTracker struct {
	crashes map[string]*partCrash // by target
	parts   map[Part]*partState
}

type partCrash struct {
	target  string
	domain  string
	at      time.Time
	charges []charge
}

// charge is a suspect as reported by one entry host.
type charge struct {
	SuspectRequest
	at time.Time
	// revision is that of the record that reports it; 0 for a crash that this entry host has not shared yet.
	revision int64
}

type partState struct {
	// soundAt is when an answer last began on the part here; soundRevision is the newest record that says so of another
	// entry host.
	soundAt       time.Time
	soundRevision int64
	charged       bool
	block         *Block
}

// NewPartTracker returns an empty PartTracker.
func NewPartTracker() *PartTracker {
	return &PartTracker{crashes: map[string]*partCrash{}, parts: map[Part]*partState{}}
}

func (t *PartTracker) state(p Part) *partState {
	s := t.parts[p]
	if s == nil {
		s = &partState{}
		t.parts[p] = s
	}
	return s
}

// HasSuspects reports whether a crash has suspects with no event at all. Others are then only beside.
func (t *PartTracker) HasSuspects(target string) bool {
	c := t.crashes[target]
	return c != nil && slices.ContainsFunc(c.charges, func(x charge) bool { return x.Events == 0 })
}

// Record adds a crash. revision is that of the crash's record, or 0. Recording a crash again changes nothing but the
// revision. Evaluate must follow, after all records that are known by now.
func (t *PartTracker) Record(now time.Time, revision int64, reported Crash) {
	c := t.crashes[reported.Target]
	if c == nil {
		c = &partCrash{target: reported.Target, domain: reported.Domain, at: now}
		t.crashes[reported.Target] = c
	}
	for _, s := range reported.Suspects {
		s.Parts = s.Parts[max(len(s.Parts)-maxSuspectParts, 0):]
		if i := slices.IndexFunc(c.charges, func(x charge) bool { return x.Request == s.Request }); i >= 0 {
			c.charges[i].revision = max(c.charges[i].revision, revision)
			continue
		}
		if !c.add(charge{SuspectRequest: s, at: now, revision: revision}) {
			continue
		}
		for _, p := range s.Parts {
			t.state(p).charged = true
		}
	}
	t.expire(now)
}

// add adds a suspect. Above maxSuspects it replaces one that is only beside, if there is one.
func (c *partCrash) add(x charge) bool {
	if len(c.charges) < maxSuspects {
		c.charges = append(c.charges, x)
		return true
	}
	i := slices.IndexFunc(c.charges, func(y charge) bool { return y.Events > 0 })
	if i < 0 || x.Events > 0 {
		return false
	}
	c.charges[i] = x
	return true
}

// Survived records that answers begin on parts here. It returns the parts that were charged with a crash, which other
// entry hosts should know, and the parts that are no longer blocked.
func (t *PartTracker) Survived(now time.Time, parts []Part) (charged, unblocked []Part) {
	for _, p := range parts {
		s := t.state(p)
		if s.charged && t.isCharged(p, s) {
			charged = append(charged, p)
		}
		s.charged = false
		s.soundAt = now
		if s.block != nil {
			s.block = nil
			unblocked = append(unblocked, p)
			if !slices.Contains(charged, p) {
				charged = append(charged, p)
			}
		}
	}
	if len(t.parts) > maxParts {
		t.prune(now)
	}
	return charged, unblocked
}

// ApplySound applies another entry host's record that an answer began on a part. It reports whether that unblocks the
// part.
func (t *PartTracker) ApplySound(p Part, revision int64) bool {
	s := t.state(p)
	s.soundRevision = max(s.soundRevision, revision)
	if s.block == nil || s.block.Revision >= revision {
		return false
	}
	s.block = nil
	return true
}

// SoundRevision returns the revision of the newest record by which answers begin on a part, or 0.
func (t *PartTracker) SoundRevision(p Part) int64 {
	if s := t.parts[p]; s != nil {
		return s.soundRevision
	}
	return 0
}

// ApplyBlock applies the record of a block. If all crashes that this entry host knows of the part are followed by
// answers here, it is not blocked, and contested is set: the other entry hosts should know. blocked is set if the part
// was not blocked before.
func (t *PartTracker) ApplyBlock(now time.Time, p Part, shared bool, trials int, revision int64) (blocked, contested bool) {
	s := t.state(p)
	if s.soundRevision > revision {
		return false, false
	}
	if s.block == nil {
		if !s.soundAt.IsZero() && t.isKnown(p) && !t.isCharged(p, s) {
			return false, true
		}
		s.block, blocked = &Block{Part: p, Shared: shared, Since: now, FirstCrash: now, lastRequest: now}, true
	}
	if revision > s.block.Revision {
		s.block.Revision = revision
		if blocked || trials != s.block.Trials {
			s.block.Trials, s.block.Shared = trials, shared
			s.block.NextTrial = now.Add(trialInterval(shared, trials))
		}
	}
	return blocked, false
}

// Blocked returns the block of a blocked part, or nil. trial is set if the request passes nonetheless, because a trial of
// its only blocked part is open; the trial ends with it.
func (t *PartTracker) Blocked(now time.Time, parts []Part) (block *Block, trial bool) {
	var found []*Block
	for _, p := range parts {
		s := t.parts[p]
		if s == nil || s.block == nil {
			continue
		}
		if now.Sub(s.block.lastRequest) > blockTTL {
			s.block = nil
			continue
		}
		s.block.lastRequest = now
		found = append(found, s.block)
	}
	if len(found) == 0 {
		return nil, false
	}
	if len(found) == 1 && now.Before(found[0].trialUntil) {
		found[0].trialUntil = time.Time{}
		return nil, true
	}
	copied := *found[0]
	return &copied, false
}

// FindBlock returns the block of a part, or nil.
func (t *PartTracker) FindBlock(p Part) *Block {
	if s := t.parts[p]; s != nil && s.block != nil {
		copied := *s.block
		return &copied
	}
	return nil
}

// OpenTrial lets one request with a blocked part pass until a time.
func (t *PartTracker) OpenTrial(p Part, until time.Time) {
	if s := t.parts[p]; s != nil && s.block != nil {
		s.block.trialUntil = until
	}
}

// BlockedParts returns the blocked parts with which requests still come.
func (t *PartTracker) BlockedParts(now time.Time) []Part {
	var list []Part
	for p, s := range t.parts {
		if s.block != nil && now.Sub(s.block.lastRequest) <= blockTTL {
			list = append(list, p)
		}
	}
	return list
}

// ForgetRecord notes that the record of a block is gone.
func (t *PartTracker) ForgetRecord(p Part) {
	if s := t.parts[p]; s != nil && s.block != nil {
		s.block.Revision = 0
	}
}

func trialInterval(shared bool, trials int) time.Duration {
	interval := firstTrial
	if shared {
		interval = firstSharedTrial
	}
	for range trials {
		if interval = min(trialFactor*interval, maxTrialInterval); interval == maxTrialInterval {
			break
		}
	}
	return interval
}

// holds reports whether a charge still counts against a part.
func (s *partState) holds(c charge) bool {
	return c.at.After(s.soundAt) && (c.revision == 0 || c.revision > s.soundRevision)
}

// isCharged reports whether a charge counts against a part, and isKnown whether there is any at all.
func (t *PartTracker) isCharged(p Part, s *partState) bool {
	return t.anyCharge(p, s.holds)
}

func (t *PartTracker) isKnown(p Part) bool { return t.anyCharge(p, func(charge) bool { return true }) }

func (t *PartTracker) anyCharge(p Part, counts func(charge) bool) bool {
	for _, c := range t.crashes {
		if slices.ContainsFunc(c.charges, func(x charge) bool { return slices.Contains(x.Parts, p) && counts(x) }) {
			return true
		}
	}
	return false
}

// expire drops crashes older than crashTTL, and the oldest ones above maxCrashes.
func (t *PartTracker) expire(now time.Time) {
	for target, c := range t.crashes {
		if now.Sub(c.at) > crashTTL {
			delete(t.crashes, target)
		}
	}
	for len(t.crashes) > maxCrashes {
		var oldest *partCrash
		for _, c := range t.crashes {
			if oldest == nil || c.at.Before(oldest.at) {
				oldest = c
			}
		}
		delete(t.crashes, oldest.target)
	}
	if len(t.parts) > maxParts {
		t.prune(now)
	}
}

// prune drops the parts that are neither charged nor blocked: those without a recent answer, or if these are few, any.
func (t *PartTracker) prune(now time.Time) {
	charged := map[Part]bool{}
	for _, c := range t.crashes {
		for _, x := range c.charges {
			for _, p := range x.Parts {
				charged[p] = true
			}
		}
	}
	for _, anyAge := range []bool{false, true} {
		for p, s := range t.parts {
			if len(t.parts) <= maxParts*3/4 {
				return
			}
			if s.block == nil && !charged[p] && (anyAge || now.Sub(s.soundAt) > soundTTL) {
				delete(t.parts, p)
			}
		}
	}
}

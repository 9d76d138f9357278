package rudderedge

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
)

// Kinds of evidence records; the key of the record follows the kind.
const (
	crashPrefix = rudderview.EvidencePrefix + "crash/"
	soundPrefix = rudderview.EvidencePrefix + "sound/"
	blockPrefix = rudderview.EvidencePrefix + "block/"
)

const (
	// weakSuspectDelay is how long suspects with an event wait for others without one, which make them irrelevant.
	weakSuspectDelay = 300 * time.Millisecond
	// evaluateDelay is how long records of other entry hosts are collected before they are evaluated: of a list of them, the
	// first ones alone may mislead.
	evaluateDelay = 30 * time.Millisecond
	// shareSpread spreads the records of entry hosts that reach the same conclusion at the same time: the first one
	// makes the others needless.
	shareSpread = 200 * time.Millisecond
	// blockDelay is the time from a block to its record, in which an answer elsewhere may contradict it, and
	// restoreSpread the time over which a lost record is restored.
	blockDelay    = 100 * time.Millisecond
	restoreSpread = 3 * time.Second
	// urgentTime is how long after a crash changes are read without delay, in a fleet of fewer than urgentMaxEntries
	// entry hosts: the watchers of a larger one cannot serve that many calls.
	urgentTime       = 1500 * time.Millisecond
	urgentMaxEntries = copyMinEntries
	// trialTime is how long a trial stays open for a request, and trialRetry the pause after a failed attempt to open one.
	trialTime  = 30 * time.Second
	trialRetry = 5 * time.Second
)

// partRecord is a sound or block record.
type partRecord struct {
	Part   rudderpoison.Part `json:"part"`
	Trials int               `json:"trials,omitempty"`
	Shared bool              `json:"shared,omitempty"`
	By     string            `json:"by"`
}

// poison decides which requests crash targets. It shares the evidence with the other entry hosts through the key-value
// service, with a number of records that depends on the number of crashes and not on that of requests.
type poison struct {
	edge    *Edge
	records *recordWriter

	mu         sync.Mutex
	requests   *rudderpoison.Tracker
	parts      *rudderpoison.PartTracker
	evaluating bool                       // an evaluation is due
	trials     map[rudderpoison.Part]bool // attempts to open a trial, in progress or failed lately
	crashAt    time.Time                  // of the newest crash
}

func newPoison(e *Edge) *poison {
	return &poison{
		edge: e, records: newRecordWriter(e), requests: rudderpoison.NewTracker(0), parts: rudderpoison.NewPartTracker(),
		trials: map[rudderpoison.Part]bool{},
	}
}

// now returns the time on the monotonic clock that all parts of an entry host share. It is no time of day.
func (p *poison) now() time.Time { return time.Unix(0, 0).Add(p.edge.uptime()) }

func partKey(prefix string, p rudderpoison.Part) string {
	return fmt.Sprintf("%s%016x", prefix, xxhash.Sum64String(string(p)))
}

// poisonedFor implements rudderforward.Forwarder.Poisoned.
func (p *poison) poisonedFor(fingerprint uint64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := rudderpoison.Fingerprint(fingerprint)
	if p.requests.Verdict(f) != rudderpoison.Poison {
		return 0
	}
	return max(p.requests.RetryAfter(p.now(), f), time.Second)
}

// blockedFor implements rudderforward.Forwarder.BlockedPart.
func (p *poison) blockedFor(parts []rudderpoison.Part) (part rudderpoison.Part, left time.Duration, trial bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	block, trial := p.parts.Blocked(now, parts)
	if block == nil {
		return "", 0, trial
	}
	if block.Revision > 0 && !now.Before(block.NextTrial) && !p.trials[block.Part] {
		p.trials[block.Part] = true
		go p.startTrial(*block)
	}
	return block.Part, block.RetryAfter(now), false
}

// startTrial lets one request of the whole fleet pass, if no other entry host does so: the write fails then.
func (p *poison) startTrial(b rudderpoison.Block) {
	record, _ := json.Marshal(partRecord{Part: b.Part, Trials: b.Trials + 1, Shared: b.Shared, By: p.edge.Settings.Name})
	revision, err := p.records.write(partKey(blockPrefix, b.Part), record, b.Revision)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		time.AfterFunc(trialRetry, func() { p.endTrial(b.Part) })
		p.edge.Logger.Info().Err(err).Str("part", string(b.Part)).Msg("no trial of the blocked prompt part on this entry host")
		return
	}
	delete(p.trials, b.Part)
	now := p.now()
	p.parts.ApplyBlock(now, b.Part, b.Shared, b.Trials+1, revision)
	p.parts.OpenTrial(b.Part, now.Add(trialTime))
	p.edge.count("poison.trials")
	p.edge.Logger.Warn().Str("part", string(b.Part)).Int("trial", b.Trials+1).Msg("one request with the blocked prompt part may pass as a trial")
}

// endTrial allows the next attempt to open a trial.
func (p *poison) endTrial(part rudderpoison.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.trials, part)
}

// crashed implements rudderforward.Forwarder.RecordCrash.
func (p *poison) crashed(t *rudderview.Target, suspects []rudderpoison.SuspectRequest) {
	crash := rudderpoison.Crash{Target: incarnation(t), Domain: t.FabricDomain}
	weak := rudderpoison.Crash{Target: crash.Target, Domain: t.FabricDomain}
	for _, s := range suspects {
		if s.Events == 0 {
			crash.Suspects = append(crash.Suspects, s)
		} else {
			weak.Suspects = append(weak.Suspects, s)
		}
	}
	if len(crash.Suspects) > 0 {
		p.recordCrash(crash)
	} else {
		time.AfterFunc(weakSuspectDelay, func() {
			if !p.hasSuspects(weak.Target) {
				p.recordCrash(weak)
			}
		})
	}
}

func (p *poison) hasSuspects(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts.HasSuspects(target)
}

// recordCrash records a crash that this entry host has seen, and shares it.
func (p *poison) recordCrash(c rudderpoison.Crash) {
	p.edge.count("poison.crashes")
	p.edge.Logger.Warn().Str("target", c.Target).Interface("suspects", c.Suspects).Msg("target crashed; the requests that it had just begun are suspects")
	p.apply(0, c)
	record, err := json.Marshal(c)
	if err != nil {
		p.edge.Logger.Error().Err(err).Msg("cannot encode crash")
		return
	}
	p.records.enqueue(crashPrefix+c.Target+"/"+p.edge.Settings.Name, func() ([]byte, int64) { return record, rudderstore.AnyRevision })
}

// apply adds a crash to the evidence.
func (p *poison) apply(revision int64, c rudderpoison.Crash) {
	now := p.now()
	p.mu.Lock()
	death := rudderpoison.Death{Group: c.Target, AtUnixMS: now.UnixMilli()}
	for _, s := range c.Suspects {
		death.InFlight = append(death.InFlight, s.Request)
	}
	p.crashAt = now
	p.requests.Record(now, death)
	p.parts.Record(now, revision, c)
	due := revision > 0 && !p.evaluating
	p.evaluating = p.evaluating || due
	p.mu.Unlock()
	if revision == 0 {
		p.evaluate(false)
	} else if due {
		time.AfterFunc(evaluateDelay, func() { p.evaluate(true) })
	}
}

// evaluate decides which parts are blocked. others is set if the newest evidence comes from another entry host.
func (p *poison) evaluate(others bool) {
	now := p.now()
	p.mu.Lock()
	if others {
		p.evaluating = false
	}
	blocks := p.parts.Evaluate(now)
	p.mu.Unlock()
	for _, b := range blocks {
		p.edge.count("poison.parts_blocked")
		p.edge.observe("poison.time_to_block_ms", now.Sub(b.FirstCrash))
		p.edge.Logger.Error().Str("part", string(b.Part)).Int("crashes", b.Crashes).Int("requests", b.Requests).Bool("shared", b.Shared).Dur("since_first_crash_ms", now.Sub(b.FirstCrash)).
			Msg("prompt part blocked: targets crash when they begin an answer on it")
		delay := blockDelay + rand.N(shareSpread)
		if others {
			delay += shareSpread // the entry host that saw the crash writes first
		}
		p.shareBlock(b.Part, delay)
		p.edge.forwarder.CancelBlocked(b.Part)
	}
}

// urgent reports whether evidence must reach this entry host without delay.
func (p *poison) urgent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Sub(p.crashAt) < urgentTime && len(p.edge.view.Snapshot().EntryHosts) < urgentMaxEntries
}

// shareBlock writes the record of a block after a delay, unless another entry host has written it or the part is no
// longer blocked.
func (p *poison) shareBlock(part rudderpoison.Part, delay time.Duration) {
	time.AfterFunc(delay, func() {
		p.records.enqueue(partKey(blockPrefix, part), func() ([]byte, int64) {
			p.mu.Lock()
			b := p.parts.FindBlock(part)
			p.mu.Unlock()
			if b == nil || b.Revision > 0 {
				return nil, 0
			}
			record, _ := json.Marshal(partRecord{Part: part, Trials: b.Trials, Shared: b.Shared, By: p.edge.Settings.Name})
			return record, 0
		})
	})
}

// survived implements rudderforward.Forwarder.RecordSurvival.
func (p *poison) survived(s rudderpoison.SuspectRequest) {
	p.mu.Lock()
	p.requests.Forgive(s.Request)
	charged, unblocked := p.parts.Survived(p.now(), s.Parts)
	p.mu.Unlock()
	for _, part := range unblocked {
		p.logUnblocked(part, p.edge.Settings.Name)
	}
	for _, part := range charged {
		p.shareSound(part)
	}
}

func (p *poison) logUnblocked(part rudderpoison.Part, by string) {
	p.edge.count("poison.parts_unblocked")
	p.edge.Logger.Warn().Str("part", string(part)).Str("by", by).Msg("prompt part unblocked: a target has begun an answer on it and lives")
}

// shareSound writes a record that a target has begun an answer on a part and lives, unless another entry host writes one
// first.
func (p *poison) shareSound(part rudderpoison.Part) {
	p.mu.Lock()
	known := p.parts.SoundRevision(part)
	p.mu.Unlock()
	time.AfterFunc(rand.N(shareSpread), func() {
		p.records.enqueue(partKey(soundPrefix, part), func() ([]byte, int64) {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.parts.SoundRevision(part) > known {
				return nil, 0
			}
			p.edge.count("poison.parts_cleared")
			p.edge.Logger.Info().Str("part", string(part)).Msg("prompt part cleared: a target has begun an answer on it and lives")
			record, _ := json.Marshal(partRecord{Part: part, By: p.edge.Settings.Name})
			return record, rudderstore.AnyRevision
		})
	})
}

// applyRecord implements rudderview.View.OnEvidence. A record that a restore of the key-value service has brought back is
// applied only if it blocks a part that is still blocked: its revision is a new one, although it may be older than other
// evidence.
func (p *poison) applyRecord(e rudderstore.Event, restored bool) {
	var record partRecord
	var crash rudderpoison.Crash
	var err error
	switch {
	case strings.HasPrefix(e.Key, blockPrefix) && e.Deleted:
		p.restore(e.Key)
		return
	case e.Deleted || restored && !strings.HasPrefix(e.Key, blockPrefix):
		return
	case strings.HasPrefix(e.Key, crashPrefix):
		if err = json.Unmarshal(e.Value, &crash); err == nil {
			p.apply(e.Revision, crash)
		}
	default:
		if err = json.Unmarshal(e.Value, &record); err == nil && restored && !p.isBlocked(record.Part) {
			p.shareSound(record.Part) // the record that ended the block may be lost
		} else if err == nil {
			p.applyPart(e, record)
		}
	}
	if err != nil {
		p.edge.Logger.Warn().Err(err).Str("key", e.Key).Msg("malformed record ignored")
	}
}

func (p *poison) applyPart(e rudderstore.Event, record partRecord) {
	if strings.HasPrefix(e.Key, soundPrefix) {
		p.mu.Lock()
		unblocked := p.parts.ApplySound(record.Part, e.Revision)
		p.mu.Unlock()
		if unblocked {
			p.logUnblocked(record.Part, record.By)
		}
		return
	}
	p.mu.Lock()
	blocked, contested := p.parts.ApplyBlock(p.now(), record.Part, record.Shared, record.Trials, e.Revision)
	p.mu.Unlock()
	if blocked {
		p.edge.count("poison.parts_blocked")
		p.edge.Logger.Error().Str("part", string(record.Part)).Str("by", record.By).Int("trials", record.Trials).Msg("prompt part blocked by another entry host")
		p.edge.forwarder.CancelBlocked(record.Part)
	}
	if contested {
		p.edge.Logger.Warn().Str("part", string(record.Part)).Str("by", record.By).Msg("block of a prompt part contested: targets answer on it")
		p.shareSound(record.Part)
	}
}

// restore writes the record of a block again whose lease has ended while requests with the part still come.
func (p *poison) restore(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range p.parts.BlockedParts(p.now()) {
		if partKey(blockPrefix, part) == key {
			p.parts.ForgetRecord(part)
			p.shareBlock(part, rand.N(restoreSpread))
		}
	}
}

func (p *poison) isBlocked(part rudderpoison.Part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts.FindBlock(part) != nil
}

// restoreMissing writes the records of blocks again that a restore of the key-value service has lost.
func (p *poison) restoreMissing(has map[string]bool) {
	p.mu.Lock()
	parts := p.parts.BlockedParts(p.now())
	p.mu.Unlock()
	for _, part := range parts {
		if key := partKey(blockPrefix, part); !has[key] {
			p.restore(key)
		}
	}
}

// blockedParts returns the number of blocked parts.
func (p *poison) blockedParts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.parts.BlockedParts(p.now()))
}

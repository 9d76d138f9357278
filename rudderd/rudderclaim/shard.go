package rudderclaim

import (
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

type phase int

const (
	phaseRead     phase = iota // the head is to be read
	phaseRecall                // the entry hosts are being asked for the claims they were granted
	phaseSegments              // segments of the head that was read are being read
	phaseReady                 // the ledger matches the head
	phaseCompact               // segments to compact are being read
	phaseDelete                // a segment that no head refers to is being deleted
	phaseSpill                 // a batch's segments are being written
	phaseWrite                 // a batch's head is being written
)

// Shard is the state machine of a collector for one shard of claims. Its user adds operations, performs the
// steps that Next returns one at a time, and passes each result to Finish. It does no I/O and reads no clock.
// It is not safe for concurrent use.
type Shard struct {
	index    int
	limits   Limits
	newToken func() string

	queue      []op
	nextID     uint64
	pace       pacer
	phase      phase
	ledger     ledger
	batch      *batch
	load       *headLoad
	compaction *compaction
	written    []string // names of segments written or replaced since the last commit
	obsolete   []string // names of segments to delete
	// lost holds committed records that the head read last lacks, because the store was restored to an
	// older state. They are written back before claims are granted.
	lost   map[string]Record
	recall recallState
	// storeRevision is the store revision seen last; lastContact is when the store last answered.
	storeRevision          int64
	lastContact            time.Time
	contendedUntil         time.Time // another collector is assumed to write the shard until then
	missingSegmentRevision int64     // revision of the head that referred to a missing segment
	retryAt                time.Time // earliest time of the next read after the store failed
	restores               int
	conflicts              int
}

// NewShard returns the core of a shard. newToken returns a new unique token with each call.
func NewShard(index int, limits Limits, newToken func() string) *Shard {
	return &Shard{
		index: index, limits: limits, newToken: newToken,
		pace: newPacer(limits), ledger: newLedger(), lost: map[string]Record{},
	}
}

// Restores returns how often the store was found restored to an older state.
func (s *Shard) Restores() int { return s.restores }

// Conflicts returns the number of writes that conflicted with another collector's.
func (s *Shard) Conflicts() int { return s.conflicts }

// Claim queues a claim and returns its identifier.
func (s *Shard) Claim(r Request, now, deadline time.Time) uint64 {
	return s.add(op{kind: opClaim, request: r, at: now, deadline: deadline})
}

// Settle queues the settlement of a granted claim; answer is nil when it is too large to store.
func (s *Shard) Settle(r Request, answer *Answer, now, deadline time.Time) uint64 {
	return s.add(op{kind: opSettle, request: r, answer: answer, at: now, deadline: deadline})
}

// Release queues the release of a claim whose call was not dispatched.
func (s *Shard) Release(r Request, now, deadline time.Time) uint64 {
	return s.add(op{kind: opRelease, request: r, at: now, deadline: deadline})
}

func (s *Shard) add(o op) uint64 {
	s.nextID++
	o.id = s.nextID
	s.queue = append(s.queue, o)
	return o.id
}

// Next returns the next step and the replies to operations that are decided without one.
func (s *Shard) Next(now time.Time) (Step, []Reply) {
	switch s.phase {
	case phaseRead:
		replies := s.dropExpired(now)
		if len(s.queue) == 0 && len(s.lost) == 0 {
			return Step{Kind: StepIdle}, replies
		}
		if s.retryAt.After(now) {
			return Step{Kind: StepWait, At: s.retryAt}, replies
		}
		return Step{Kind: StepGet, Key: headKey(s.index)}, replies
	case phaseRecall:
		return Step{Kind: StepRecall, After: s.recall.loadedSeq}, s.dropExpired(now)
	case phaseSegments:
		return Step{Kind: StepGet, Key: segmentKey(s.index, s.load.missing[0].Name)}, nil
	case phaseCompact:
		return Step{Kind: StepGet, Key: segmentKey(s.index, s.compaction.refs[s.compaction.nextRead].Name)}, nil
	case phaseSpill:
		sp := s.batch.spills[s.batch.written]
		return s.put(now, segmentKey(s.index, sp.ref.Name), sp.value, 0), nil
	case phaseWrite:
		return s.put(now, headKey(s.index), s.batch.value, s.ledger.revision), nil
	}
	replies := s.dropExpired(now)
	if len(s.lost) > 0 {
		replies = append(replies, s.refuseClaims(now)...)
	}
	replies = append(replies, s.answerReadOnly(now)...)
	return s.nextWrite(now, replies)
}

func (s *Shard) put(now time.Time, key string, value []byte, expected int64) Step {
	s.pace.spend(now)
	return Step{Kind: StepPut, Put: rudderstore.PutRequest{Key: key, Value: value, Expected: expected}}
}

// nextWrite starts a batch when a write is due, or maintenance while none is.
func (s *Shard) nextWrite(now time.Time, replies []Reply) (Step, []Reply) {
	s.pace.setRate(s.limits, now.Before(s.contendedUntil))
	if len(s.queue) == 0 && len(s.lost) == 0 {
		if step, ok := s.maintain(now); ok {
			return step, replies
		}
		return Step{Kind: StepIdle}, replies
	}
	if at := s.dueAt(now); at.After(now) {
		if step, ok := s.maintain(now); ok {
			return step, replies
		}
		return Step{Kind: StepWait, At: at}, replies
	}
	if now.Sub(s.lastContact) > s.maxHeadAge(now) || s.recallDue(now) {
		s.phase = phaseRead
		return Step{Kind: StepGet, Key: headKey(s.index)}, replies
	}
	more := s.startBatch(now)
	replies = append(replies, more...)
	if s.batch == nil {
		return Step{Kind: StepWait, At: now}, replies
	}
	step, _ := s.Next(now)
	return step, replies
}

// maxHeadAge returns the time since the last answer of the store above which the head is read before it is
// written. While another collector writes the shard, almost every write that relies on the ledger in memory
// would conflict, and reads are cheaper than writes.
func (s *Shard) maxHeadAge(now time.Time) time.Duration {
	const contendedHeadAge = 5 * time.Millisecond // long enough for a write that follows a read at once
	if now.Before(s.contendedUntil) {
		return min(contendedHeadAge, s.limits.MaxHeadAge)
	}
	return s.limits.MaxHeadAge
}

// maintain deletes and compacts segments while no write is due. Deletions leave half of the write burst to
// claims; the reads of a compaction take no writes.
func (s *Shard) maintain(now time.Time) (Step, bool) {
	s.pace.refill(now)
	// A restored head may refer to an obsolete segment again, so the head must be recent.
	seen := now.Sub(s.lastContact) <= s.limits.MaxHeadAge
	if len(s.obsolete) > 0 && seen && s.pace.tokens > s.pace.burst/2 && !s.ledger.refers(s.obsolete[0]) {
		s.phase = phaseDelete
		s.pace.spend(now)
		return Step{Kind: StepDelete, Key: segmentKey(s.index, s.obsolete[0])}, true
	}
	if len(s.lost) > 0 || !s.startCompaction(now) {
		return Step{}, false
	}
	step, _ := s.Next(now)
	return step, true
}

// dueAt returns when the next write is due: soon after a claim, later after a settlement.
func (s *Shard) dueAt(now time.Time) time.Time {
	oldest := now.Add(s.limits.SettleLinger)
	for _, o := range s.queue {
		at := o.at
		if o.kind != opClaim {
			at = at.Add(s.limits.SettleLinger)
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	if len(s.lost) > 0 {
		oldest = s.lastContact.Add(-time.Second) // a write-back does not wait for other operations
	}
	return s.pace.due(now, oldest)
}

// Finish handles the result of the step that Next returned last, and returns the replies it decides.
func (s *Shard) Finish(result Result, now time.Time) []Reply {
	if s.phase == phaseRecall {
		s.finishRecall(result.Recall, now)
		return nil
	}
	answered := result.Err == nil || errors.Is(result.Err, rudderstore.ErrNotFound) ||
		errors.Is(result.Err, rudderstore.ErrConflict)
	if answered {
		s.recall.longestGap = max(s.recall.longestGap, now.Sub(s.lastContact))
		s.lastContact = now
	} else {
		s.retryAt = now.Add(s.limits.StoreRetryDelay)
	}
	switch s.phase {
	case phaseRead:
		return s.finishHeadRead(result, now)
	case phaseSegments:
		return s.finishSegmentRead(result, now)
	case phaseCompact:
		return s.finishCompactRead(result, now)
	case phaseDelete:
		// A segment whose deletion failed is not deleted again; it only takes space.
		s.obsolete, s.phase = s.obsolete[1:], phaseReady
	case phaseSpill:
		return s.finishSpill(result)
	case phaseWrite:
		return s.finishWrite(result, now)
	}
	return nil
}

// dropExpired removes operations whose deadline has passed and answers them as unavailable.
func (s *Shard) dropExpired(now time.Time) []Reply {
	return s.remove(func(o op) bool { return now.After(o.deadline) })
}

// refuseClaims answers all queued claims while lost records are written back. A claim of a lost record's key
// is decided by that record, unless that would grant it; the others are unavailable.
func (s *Shard) refuseClaims(now time.Time) []Reply {
	var replies []Reply
	kept := s.queue[:0]
	for _, o := range s.queue {
		if o.kind != opClaim {
			kept = append(kept, o)
			continue
		}
		reply := o.unavailable()
		if r, lost := s.lost[shortDigest(o.request.key)]; lost {
			d := evaluate(o.request, entry{Record: r}, s.limits, s.ledger.opaque, now)
			if d.Verdict != VerdictGranted {
				reply = o.reply(d)
			}
		}
		replies = append(replies, reply)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return replies
}

// refuseAll answers all queued operations as unavailable, because the store cannot be used.
func (s *Shard) refuseAll() []Reply {
	return s.remove(func(op) bool { return true })
}

func (s *Shard) remove(drop func(op) bool) []Reply {
	var replies []Reply
	kept := s.queue[:0]
	for _, o := range s.queue {
		if drop(o) {
			replies = append(replies, o.unavailable())
			continue
		}
		kept = append(kept, o)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return replies
}

// answerReadOnly answers claims that need no write: refused ones and repeats. A claim stays queued if its key
// has a queued settlement or release, or an earlier claim that needs a write.
func (s *Shard) answerReadOnly(now time.Time) []Reply {
	changing := map[string]bool{}
	for _, o := range s.queue {
		if o.kind != opClaim {
			changing[shortDigest(o.request.key)] = true
		}
	}
	var replies []Reply
	kept := s.queue[:0]
	for _, o := range s.queue {
		key := shortDigest(o.request.key)
		if o.kind != opClaim || changing[key] {
			kept = append(kept, o)
			continue
		}
		known := s.ledger.index[key]
		d := evaluate(o.request, known, s.limits, s.ledger.opaque, now)
		if d.Verdict == VerdictGranted && known.Token != o.request.token {
			changing[key] = true
			kept = append(kept, o)
			continue
		}
		replies = append(replies, o.reply(d))
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return replies
}

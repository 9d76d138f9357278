package rudderclaim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

// batch is one write of the head, with the operations and segments that it commits.
type batch struct {
	ops     []op
	replies []Reply
	changes map[string]Record
	spills  []spill
	written int // spills written so far
	head    Head
	value   []byte
	// compaction is completed by this write; its segments are spills[:replaced].
	compaction *compaction
	replaced   int
	writeBack  bool // carries the records that a restored store lost
}

// spill is a segment that must be written before the head refers to it.
type spill struct {
	ref     SegmentRef
	value   []byte
	records []Record
}

// startBatch dequeues operations and builds the batch that commits them. s.batch stays nil when none of
// them needs a write.
func (s *Shard) startBatch(now time.Time) []Reply {
	b := &batch{changes: map[string]Record{}, writeBack: len(s.lost) > 0}
	if b.writeBack {
		maps.Copy(b.changes, s.lost)
	} else {
		s.takeOperations(b, now)
	}
	if len(b.changes) == 0 {
		return b.replies
	}
	s.buildHead(b, now)
	s.batch = b
	s.phase = phaseWrite
	if len(b.spills) > 0 {
		s.phase = phaseSpill
	}
	return nil
}

// takeOperations decides queued operations up to BatchBytes, settlements and releases before claims.
func (s *Shard) takeOperations(b *batch, now time.Time) {
	slices.SortStableFunc(s.queue, func(x, y op) int {
		return int(min(y.kind, opSettle)) - int(min(x.kind, opSettle))
	})
	taken, size, added := 0, 0, 0
	for _, o := range s.queue {
		if size += o.bytes(); taken > 0 && size > s.limits.BatchBytes {
			break
		}
		taken++
		key := shortDigest(o.request.key)
		known := s.ledger.index[key]
		if changed, ok := b.changes[key]; ok {
			known = entry{Record: changed}
		}
		d, record := s.apply(o, known, added, now)
		if record != nil {
			added += opaqueCount(*record) - opaqueCount(known.Record)
			b.changes[key] = *record
		}
		b.ops = append(b.ops, o)
		b.replies = append(b.replies, o.reply(d))
	}
	s.queue = slices.Delete(s.queue, 0, taken)
}

// apply decides one operation and returns the record to write, or nil. added is the number of opaque keys
// that earlier operations of the batch add.
func (s *Shard) apply(o op, known entry, added int, now time.Time) (Decision, *Record) {
	switch o.kind {
	case opSettle:
		return Decision{Verdict: VerdictApplied}, s.settle(o, known, now)
	case opRelease:
		return Decision{Verdict: VerdictApplied}, s.release(o, known, now)
	}
	d := evaluate(o.request, known, s.limits, s.ledger.opaque+added, now)
	if d.Verdict != VerdictGranted || (known.Token == o.request.token && known.State == StateClaimed) {
		return d, nil
	}
	r := o.request.record(s.limits, now, StateClaimed, nil)
	r.Earlier = known.releasedTokens()
	return d, &r
}

// settle returns the record that stores a call's answer. It replaces a missing record and one that another
// token released, because a settlement proves that the call ran.
func (s *Shard) settle(o op, known entry, now time.Time) *Record {
	exists := known.Key != "" && !known.forgettable(now)
	if exists && (known.State == StateSettled || known.expired(now)) {
		return nil
	}
	r := o.request.record(s.limits, now, StateSettled, o.answer)
	if exists {
		r.ExpiresMS = max(r.ExpiresMS, known.ExpiresMS)
	}
	return &r
}

// release returns the record that frees a key whose call was not dispatched. The token is recorded even
// when no claim is known, so that a delayed claim with this token is refused.
func (s *Shard) release(o op, known entry, now time.Time) *Record {
	if known.Key != "" && !known.forgettable(now) && known.State != StateReleased {
		if known.expired(now) || known.State != StateClaimed {
			return nil
		}
		if known.Token != o.request.token {
			r := known.Record
			r.Earlier = r.withReleased(o.request.token)
			return &r
		}
	}
	r := o.request.record(s.limits, now, StateReleased, nil)
	r.Earlier = known.releasedTokens()
	return &r
}

// buildHead builds the next head from the committed one and the batch's changes. Records of a head above
// its size limit move to segments.
func (s *Shard) buildHead(b *batch, now time.Time) {
	b.head = Head{Seq: s.ledger.seq + 1, Batch: s.newToken(), Segments: slices.Clone(s.ledger.segments)}
	records := map[string]Record{}
	for key, r := range s.ledger.head {
		if !r.forgettable(now) {
			records[key] = r
		}
	}
	maps.Copy(records, b.changes)
	s.replaceSegments(b)
	s.spillRecords(b, records, now)
	for _, sp := range b.spills[b.replaced:] {
		b.head.Segments = append(b.head.Segments, sp.ref)
	}
	for _, key := range sortedKeys(records) {
		b.head.Records = append(b.head.Records, records[key])
	}
	b.value = encodeStored(b.head, nil)
}

// spillRecords moves records out of a head above its size limit: first committed records that are not
// claimed, then all committed ones. Changes of this batch stay in the head unless the batch writes back
// records that a restore lost.
func (s *Shard) spillRecords(b *batch, records map[string]Record, now time.Time) {
	rules := []func(key string, r Record) bool{
		func(key string, r Record) bool { return !changed(b, key) && r.State != StateClaimed },
		func(key string, _ Record) bool { return !changed(b, key) },
		func(string, Record) bool { return b.writeBack },
	}
	limit := s.headLimit(now)
	for _, rule := range rules {
		if headBytes(records) <= limit {
			return
		}
		var moved []Record
		for _, key := range sortedKeys(records) {
			if rule(key, records[key]) {
				moved = append(moved, records[key])
				delete(records, key)
			}
		}
		s.addSpills(b, moved)
	}
}

// headLimit returns the size of the head above which records move to segments.
func (s *Shard) headLimit(now time.Time) int {
	if s.limits.BusyHeadBytes <= s.limits.HeadBytes {
		return s.limits.HeadBytes
	}
	// The cube keeps heads small until most of the write rate is used. While another collector writes, the
	// writes of segments delay claims already at a lower utilisation: p95 was 365 ms at 1,000 claims a second,
	// above the bound of 320 ms.
	used := s.pace.utilisation(now)
	if !now.Before(s.contendedUntil) {
		used = used * used * used
	}
	return s.limits.HeadBytes + int(used*float64(s.limits.BusyHeadBytes-s.limits.HeadBytes))
}

func sortedKeys(records map[string]Record) []string {
	return slices.Sorted(maps.Keys(records))
}

func changed(b *batch, key string) bool {
	_, ok := b.changes[key]
	return ok
}

func headBytes(records map[string]Record) int {
	size := 0
	for _, r := range records {
		size += recordBytes(r)
	}
	return size
}

// addSpills packs records into segments of at most SegmentBytes.
func (s *Shard) addSpills(b *batch, records []Record) {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+recordBytes(records[n]) <= s.limits.SegmentBytes) {
			size += recordBytes(records[n])
			n++
		}
		name := fmt.Sprintf("%d-%s", b.head.Seq, s.newToken())
		value, ref := newSegment(name, records[:n])
		b.spills = append(b.spills, spill{ref: ref, value: value, records: records[:n]})
		records = records[n:]
	}
}

// finishSpill advances to the next segment, or to the head after the last one. After an error the segment
// may have been written all the same; no head refers to it, so it is deleted later.
func (s *Shard) finishSpill(result Result) []Reply {
	s.written = append(s.written, s.batch.spills[s.batch.written].ref.Name)
	if result.Err != nil {
		return s.abandon(result.Err)
	}
	s.storeRevision = max(s.storeRevision, result.Revision)
	if s.batch.written++; s.batch.written == len(s.batch.spills) {
		s.phase = phaseWrite
	}
	return nil
}

// finishWrite handles the result of the write of the head.
func (s *Shard) finishWrite(result Result, now time.Time) []Reply {
	switch {
	case result.Err == nil && result.Revision <= s.storeRevision:
		// The revision decreased, so the store was restored: read the head to see what it still holds.
		s.requeue(true)
		return nil
	case result.Err == nil:
		return s.commit(result.Revision, now)
	case errors.Is(result.Err, rudderstore.ErrConflict):
		s.conflicts++
		s.contendedUntil = now.Add(s.limits.ContentionPeriod)
		s.requeue(false)
		return nil
	case errors.Is(result.Err, rudderstore.ErrUnknownOutcome):
		// The write may have taken effect, which the next read of the head shows, or may still do so
		// later. In that case the next write expects the revision that was read, so only one succeeds.
		s.requeue(true)
		return nil
	}
	return s.abandon(result.Err)
}

// requeue puts the batch's operations back into the queue, to be decided against the head that is read
// next. unknown marks them as possibly written.
func (s *Shard) requeue(unknown bool) {
	for i := range s.batch.ops {
		s.batch.ops[i].unknown = s.batch.ops[i].unknown || unknown
	}
	s.queue = append(s.batch.ops, s.queue...)
	s.batch = nil
	s.phase = phaseRead
}

// abandon answers all queued operations after a write that did not take effect.
func (s *Shard) abandon(error) []Reply {
	s.requeue(false)
	return s.refuseAll()
}

// commit applies a written head to the ledger.
func (s *Shard) commit(revision int64, now time.Time) []Reply {
	b, l := s.batch, &s.ledger
	l.seq, l.revision, l.segments = b.head.Seq, revision, b.head.Segments
	s.storeRevision = max(s.storeRevision, revision)
	for key, r := range l.head {
		if r.forgettable(now) && !changed(b, key) {
			l.unset(key)
		}
	}
	for _, r := range b.changes {
		l.setHead(r)
	}
	s.commitCompaction(b)
	for _, sp := range b.spills[b.replaced:] {
		for _, r := range sp.records {
			l.moveToSegment(r, sp.ref.Name)
		}
	}
	if b.writeBack {
		s.lost = map[string]Record{}
	}
	s.batch, s.phase = nil, phaseReady
	s.collectObsolete()
	return b.replies
}

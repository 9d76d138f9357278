package rudderclaim

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

// compaction replaces adjacent segments by fewer ones. Its records ride on the next write of the head.
type compaction struct {
	refs    []SegmentRef
	read    int
	records map[string]Record
	ready   bool
}

func (c *compaction) covers(segment string) bool {
	return slices.ContainsFunc(c.refs, func(r SegmentRef) bool { return r.Name == segment })
}

// startCompaction chooses segments to replace: a run of small ones, or one whose records have expired.
func (s *Shard) startCompaction(now time.Time) bool {
	if s.compaction != nil {
		return false
	}
	refs := smallRun(s.ledger.segments, s.limits)
	if refs == nil {
		refs = expiredRun(s.ledger.segments, now)
	}
	if refs == nil {
		return false
	}
	s.compaction = &compaction{refs: slices.Clone(refs), records: map[string]Record{}}
	s.phase = phaseCompact
	return true
}

// smallRun returns the first run of at least CompactRun adjacent segments that fit into one.
func smallRun(refs []SegmentRef, limits Limits) []SegmentRef {
	for from := range refs {
		to, size := from, 0
		for to < len(refs) && size+refs[to].Bytes <= limits.SegmentBytes {
			size += refs[to].Bytes
			to++
		}
		if to-from >= limits.CompactRun {
			return refs[from:to]
		}
	}
	return nil
}

// expiredRun returns a segment whose full records can be dropped or cut down to digests.
func expiredRun(refs []SegmentRef, now time.Time) []SegmentRef {
	for i, r := range refs {
		if r.Records > 0 && now.UnixMilli() >= r.LastExpiresMS {
			return refs[i : i+1]
		}
	}
	return nil
}

// finishCompactRead takes one segment that is to be replaced.
func (s *Shard) finishCompactRead(result Result, now time.Time) []Reply {
	c := s.compaction
	var segment Segment
	err := result.Err
	if err == nil {
		segment, err = DecodeSegment(result.Entry.Value)
	}
	if err != nil {
		s.compaction, s.phase = nil, phaseReady
		if errors.Is(err, rudderstore.ErrNotFound) {
			s.phase = phaseRead // another collector replaced it
		}
		return nil
	}
	for _, r := range segment.expand() {
		key := short(r.Key)
		if s.ledger.index[key].segment == c.refs[c.read].Name && !r.forgettable(now) {
			c.records[key] = r.shrink(now)
		}
	}
	if c.read++; c.read == len(c.refs) {
		c.ready, s.phase = true, phaseReady
	}
	return nil
}

// shrink cuts an expired record of an opaque key down to its short digest.
func (r Record) shrink(now time.Time) Record {
	if !r.expired(now) {
		return r
	}
	return Record{Key: short(r.Key), State: StateExpired, Opaque: true}
}

// replaceSegments puts the compacted segments where the first of the old ones was, so that the order
// in which segments override each other stays.
func (s *Shard) replaceSegments(b *batch) {
	c := s.compaction
	if c == nil || !c.ready {
		return
	}
	b.compaction = c
	var records []Record
	for _, key := range sortedKeys(c.records) {
		if c.covers(s.ledger.index[key].segment) {
			records = append(records, c.records[key])
		}
	}
	s.addSpills(b, records)
	var refs []SegmentRef
	for _, ref := range b.head.Segments {
		if ref.Name == c.refs[0].Name {
			for _, sp := range b.spills {
				refs = append(refs, sp.ref)
			}
		}
		if !c.covers(ref.Name) {
			refs = append(refs, ref)
		}
	}
	b.head.Segments = refs
	b.replaced = len(b.spills)
}

// commitCompaction notes where the compacted records are now. A record that changed since is in the
// head and stays there.
func (s *Shard) commitCompaction(b *batch) {
	c := b.compaction
	if c == nil {
		return
	}
	l := &s.ledger
	for _, sp := range b.spills[:b.replaced] {
		for _, r := range sp.records {
			if e, ok := l.index[short(r.Key)]; ok && c.covers(e.segment) {
				r.Answer = nil
				l.set(entry{Record: r, segment: sp.ref.Name})
			}
		}
	}
	for key, e := range l.index {
		if c.covers(e.segment) {
			l.unset(key) // forgettable when it was read
		}
	}
	for _, ref := range c.refs {
		s.written = append(s.written, ref.Name)
	}
	s.compaction = nil
}

// dropStaleCompaction gives up a compaction whose segments the head no longer has.
func (s *Shard) dropStaleCompaction() {
	if s.compaction == nil {
		return
	}
	for _, ref := range s.compaction.refs {
		if !s.ledger.refers(ref.Name) {
			// Its own write may have completed it, without an answer.
			for _, replaced := range s.compaction.refs {
				s.written = append(s.written, replaced.Name)
			}
			s.compaction = nil
			return
		}
	}
}

// collectObsolete lists segments for deletion that no head refers to. It is called after a commit: no
// older write can take effect any more, because it expects an older revision of the head.
func (s *Shard) collectObsolete() {
	for _, name := range s.written {
		if !s.ledger.refers(name) {
			s.obsolete = append(s.obsolete, name)
		}
	}
	s.written = nil
}

func (l *ledger) refers(segment string) bool {
	return slices.ContainsFunc(l.segments, func(r SegmentRef) bool { return r.Name == segment })
}

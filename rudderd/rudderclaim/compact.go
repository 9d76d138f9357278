package rudderclaim

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

// compaction replaces adjacent segments by fewer ones. The next write of the head commits it.
type compaction struct {
	refs     []SegmentRef
	nextRead int
	records  map[string]Record
	ready    bool
}

func (c *compaction) covers(segment string) bool {
	return slices.ContainsFunc(c.refs, func(r SegmentRef) bool { return r.Name == segment })
}

// startCompaction chooses segments to replace: a run of small ones, or one whose records have all expired.
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

// smallRun returns the first run of at least CompactMinSegments adjacent segments that fit into SegmentBytes.
func smallRun(refs []SegmentRef, limits Limits) []SegmentRef {
	for from := range refs {
		to, size := from, 0
		for to < len(refs) && size+refs[to].Bytes <= limits.SegmentBytes {
			size += refs[to].Bytes
			to++
		}
		if to-from >= limits.CompactMinSegments {
			return refs[from:to]
		}
	}
	return nil
}

// expiredRun returns the first segment whose full records can all be dropped or reduced to digests.
func expiredRun(refs []SegmentRef, now time.Time) []SegmentRef {
	for i, r := range refs {
		if r.Records > 0 && now.UnixMilli() >= r.LastExpiresMS {
			return refs[i : i+1]
		}
	}
	return nil
}

// finishCompactRead handles the read of one segment that is to be replaced.
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
		key := shortDigest(r.Key)
		if s.ledger.index[key].segment == c.refs[c.nextRead].Name && !r.forgettable(now) {
			c.records[key] = r.shrink(now)
		}
	}
	if c.nextRead++; c.nextRead == len(c.refs) {
		c.ready, s.phase = true, phaseReady
	}
	return nil
}

// shrink reduces an expired record to its short digest.
func (r Record) shrink(now time.Time) Record {
	if !r.expired(now) {
		return r
	}
	return Record{Key: shortDigest(r.Key), State: StateExpired, Opaque: true}
}

// replaceSegments puts the compacted segments in the place of the first replaced one. This keeps the order
// in which segments override each other.
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

// commitCompaction updates the index with the segments that now hold the compacted records. A record that
// has changed in the meantime is in the head and stays there.
func (s *Shard) commitCompaction(b *batch) {
	c := b.compaction
	if c == nil {
		return
	}
	l := &s.ledger
	for _, sp := range b.spills[:b.replaced] {
		for _, r := range sp.records {
			if e, ok := l.index[shortDigest(r.Key)]; ok && c.covers(e.segment) {
				r.Answer = nil
				l.set(entry{Record: r, segment: sp.ref.Name})
			}
		}
	}
	for key, e := range l.index {
		if c.covers(e.segment) {
			l.unset(key) // was forgettable when the segment was read
		}
	}
	for _, ref := range c.refs {
		s.written = append(s.written, ref.Name)
	}
	s.compaction = nil
}

// dropStaleCompaction cancels a compaction when the head no longer refers to all of its segments.
func (s *Shard) dropStaleCompaction() {
	if s.compaction == nil {
		return
	}
	for _, ref := range s.compaction.refs {
		if !s.ledger.refers(ref.Name) {
			// A write of this collector with an unknown outcome may have completed the compaction, so the
			// replaced segments are candidates for deletion.
			for _, replaced := range s.compaction.refs {
				s.written = append(s.written, replaced.Name)
			}
			s.compaction = nil
			return
		}
	}
}

// collectObsolete lists for deletion the segments that the head does not refer to. It is called after a
// commit, when no earlier write can take effect any more: it would expect an older revision of the head.
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

package rudderclaim

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrCorrupt reports a head or segment that cannot be decoded.
var ErrCorrupt = errors.New("claim: corrupt value")

// Head is the value of a shard's head. A record here overrides one in a segment; a later segment
// overrides an earlier one.
type Head struct {
	// Seq increases by one with each write. A lower value than before shows that the store was restored to
	// an older state.
	Seq int64 `json:"seq"`
	// Batch is a unique token of the write.
	Batch    string       `json:"batch"`
	Records  []Record     `json:"records,omitempty"`
	Segments []SegmentRef `json:"segments,omitempty"`
}

// SegmentRef names a segment. Segments never change after they were written.
type SegmentRef struct {
	Name    string `json:"name"`
	Bytes   int    `json:"bytes"`
	Records int    `json:"records"`
	Digests int    `json:"digests"`
	// LastExpiresMS is when the last of its records expires.
	LastExpiresMS int64 `json:"last_expires_ms"`
}

// Segment is the value of a segment.
type Segment struct {
	Records []Record `json:"records,omitempty"`
	// Digests are the short digests of expired opaque keys, 64 bits each, concatenated.
	Digests []byte `json:"digests,omitempty"`
}

// headKey returns the key of a shard's head.
func headKey(shard int) string { return fmt.Sprintf("claims/%d/head", shard) }

// segmentKey returns the key of a segment. The name starts with the sequence number of the head that
// first refers to it and ends with the writer's token, so two collectors never write the same key.
func segmentKey(shard int, name string) string { return fmt.Sprintf("claims/%d/seg/%s", shard, name) }

// DecodeHead reads a head. It returns ErrCorrupt.
func DecodeHead(value []byte) (Head, error) {
	h, _, err := decodeStored(value)
	if err != nil {
		return Head{}, errors.Wrapf(ErrCorrupt, "decode head: %v", err)
	}
	if h.Seq < 0 {
		return Head{}, errors.Wrapf(ErrCorrupt, "head sequence %d is negative", h.Seq)
	}
	for _, r := range h.Records {
		if err := checkRecord(r); err != nil {
			return Head{}, err
		}
	}
	for _, s := range h.Segments {
		if s.Name == "" || strings.Contains(s.Name, "/") {
			return Head{}, errors.Wrapf(ErrCorrupt, "invalid segment name %q", s.Name)
		}
	}
	return h, nil
}

// DecodeSegment reads a segment. It returns ErrCorrupt.
func DecodeSegment(value []byte) (Segment, error) {
	head, digests, err := decodeStored(value)
	s := Segment{Records: head.Records, Digests: digests}
	if err != nil {
		return Segment{}, errors.Wrapf(ErrCorrupt, "decode segment: %v", err)
	}
	if len(s.Digests)%(shortDigestChars/2) != 0 {
		return Segment{}, errors.Wrapf(ErrCorrupt, "digests take %d bytes, not a multiple of %d", len(s.Digests), shortDigestChars/2)
	}
	for _, r := range s.Records {
		if err := checkRecord(r); err != nil {
			return Segment{}, err
		}
	}
	return s, nil
}

func checkRecord(r Record) error {
	if raw, err := hex.DecodeString(r.Key); err != nil || len(raw) < shortDigestChars/2 {
		return errors.Wrapf(ErrCorrupt, "invalid record key %q", r.Key)
	}
	if _, err := hex.DecodeString(r.Body); err != nil {
		return errors.Wrapf(ErrCorrupt, "invalid record body %q", r.Body)
	}
	if r.precedence() == 0 {
		return errors.Wrapf(ErrCorrupt, "unknown record state %q", r.State)
	}
	return nil
}

// expand returns the records of a segment, with its digests as expired records.
func (s Segment) expand() []Record {
	const size = shortDigestChars / 2
	records := append([]Record(nil), s.Records...)
	for i := 0; i+size <= len(s.Digests); i += size {
		records = append(records, Record{Key: hex.EncodeToString(s.Digests[i : i+size]), State: StateExpired, Opaque: true})
	}
	return records
}

// newSegment packs records into a segment value and its reference.
func newSegment(name string, records []Record) ([]byte, SegmentRef) {
	var s Segment
	ref := SegmentRef{Name: name}
	for _, r := range records {
		if r.State == StateExpired {
			raw, _ := hex.DecodeString(shortDigest(r.Key))
			s.Digests = append(s.Digests, raw...)
			ref.Digests++
			continue
		}
		s.Records = append(s.Records, r)
		ref.Records++
		ref.LastExpiresMS = max(ref.LastExpiresMS, r.ExpiresMS)
	}
	value := encodeStored(Head{Records: s.Records}, s.Digests)
	ref.Bytes = len(value)
	return value, ref
}

package rudderclaim

import (
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"comfreyrudder.example/shared/rudderpeer"
)

// encodeStored encodes a head, or a segment as a head with digests, as protobuf. Binary digests and answers
// take about half of the size of their JSON form.
func encodeStored(head Head, digests []byte) []byte {
	wire := &rudderpeer.StoredClaims{Seq: head.Seq, Batch: head.Batch, Digests: digests}
	for _, r := range head.Records {
		key, _ := hex.DecodeString(r.Key)
		body, _ := hex.DecodeString(r.Body)
		wire.Records = append(wire.Records, &rudderpeer.StoredClaim{
			KeyDigest: key, BodyDigest: body, Token: r.Token, State: int32(r.precedence()), Opaque: r.Opaque,
			ExpiresMs: r.ExpiresMS, Answer: toWireAnswer(r.Answer), Earlier: r.Earlier,
		})
	}
	for _, s := range head.Segments {
		wire.Segments = append(wire.Segments, &rudderpeer.StoredSegment{
			Name: s.Name, Bytes: int64(s.Bytes), Records: int64(s.Records), Digests: int64(s.Digests),
			LastExpiresMs: s.LastExpiresMS,
		})
	}
	raw, err := proto.Marshal(wire)
	if err != nil {
		panic(errors.Wrap(err, "encode claims value"))
	}
	return raw
}

// decodeStored decodes a value from protobuf, or from the JSON that earlier versions wrote. JSON begins with
// a brace; no protobuf value does, because that byte would be a tag of field 15, which does not exist.
func decodeStored(raw []byte) (Head, []byte, error) {
	if len(raw) > 0 && raw[0] == '{' {
		var old struct {
			Head
			Digests []byte `json:"digests"`
		}
		err := json.Unmarshal(raw, &old)
		return old.Head, old.Digests, err
	}
	var wire rudderpeer.StoredClaims
	if err := proto.Unmarshal(raw, &wire); err != nil {
		return Head{}, nil, err
	}
	head := Head{Seq: wire.Seq, Batch: wire.Batch}
	for _, r := range wire.Records {
		head.Records = append(head.Records, Record{
			Key: hex.EncodeToString(r.KeyDigest), Body: hex.EncodeToString(r.BodyDigest), Token: r.Token,
			State: stateOf(r.State), Opaque: r.Opaque, ExpiresMS: r.ExpiresMs,
			Answer: fromWireAnswer(r.Answer), Earlier: r.Earlier,
		})
	}
	for _, s := range wire.Segments {
		head.Segments = append(head.Segments, SegmentRef{
			Name: s.Name, Bytes: int(s.Bytes), Records: int(s.Records), Digests: int(s.Digests),
			LastExpiresMS: s.LastExpiresMs,
		})
	}
	return head, wire.Digests, nil
}

// stateOf returns the state with a precedence; stored values hold the precedence as the state's number.
func stateOf(precedence int32) State {
	for _, s := range []State{StateReleased, StateClaimed, StateSettled, StateExpired} {
		if (Record{State: s}).precedence() == int(precedence) {
			return s
		}
	}
	return ""
}

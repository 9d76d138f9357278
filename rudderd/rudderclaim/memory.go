package rudderclaim

import (
	"encoding/hex"
	"sync"
	"time"
)

// memoryClaims bounds the claims that an entry host remembers of one shard. With 16 shards and about
// 200 bytes each this is a tenth of the 128 MB of a node. The oldest are dropped first, because a service
// that goes back loses its newest writes.
const memoryClaims = 4096

// memory is what an entry host knows of the claims that it was granted. It outlives the collector and the
// key-value service's state, but not the process.
type memory struct {
	mu     sync.Mutex
	shards [ShardCount]shardMemory
}

type shardMemory struct {
	highest int64
	claims  map[[16]byte]*rememberedClaim
	// order is a ring of the granted keys. A key that was released and granted again is in it twice.
	order []orderedClaim
	next  int
}

type orderedClaim struct {
	key   [16]byte
	claim *rememberedClaim
}

type rememberedClaim struct {
	body      [16]byte
	token     string
	seq       int64
	expiresMS int64
	opaque    bool
}

// granted remembers a claim that was granted at a head sequence.
func (m *memory) granted(request Request, limits Limits, seq int64, now time.Time) {
	r := request.record(limits, now, StateClaimed, nil)
	c := &rememberedClaim{token: r.Token, seq: seq, expiresMS: r.ExpiresMS, opaque: r.Opaque}
	var key [16]byte
	_, _ = hex.Decode(key[:], []byte(r.Key))
	_, _ = hex.Decode(c.body[:], []byte(r.Body))
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.shards[request.Shard()]
	if s.claims == nil {
		s.claims = map[[16]byte]*rememberedClaim{}
	}
	s.claims[key] = c
	added := orderedClaim{key: key, claim: c}
	if len(s.order) < memoryClaims {
		s.order = append(s.order, added)
		return
	}
	if old := s.order[s.next]; s.claims[old.key] == old.claim {
		delete(s.claims, old.key)
	}
	s.order[s.next] = added
	s.next = (s.next + 1) % memoryClaims
}

// released forgets a claim whose call was not dispatched.
func (m *memory) released(request Request) {
	var key [16]byte
	_, _ = hex.Decode(key[:], []byte(request.key))
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.shards[request.Shard()]
	if c := s.claims[key]; c != nil && c.token == request.token {
		delete(s.claims, key)
	}
}

// saw notes a head sequence.
func (m *memory) saw(shard int, seq int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[shard].highest = max(m.shards[shard].highest, seq)
}

// highest returns the highest head sequence that was seen.
func (m *memory) highest(shard int) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[shard].highest
}

// recall returns the claims that were granted after a head sequence and are within the retention.
func (m *memory) recall(shard int, after int64, now time.Time) Recall {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.shards[shard]
	r := Recall{HighestSeq: s.highest, Complete: true}
	for key, c := range s.claims {
		if c.seq > after && now.UnixMilli() < c.expiresMS {
			r.Records = append(r.Records, Record{
				Key: hex.EncodeToString(key[:]), Body: hex.EncodeToString(c.body[:]), Token: c.token,
				State: StateClaimed, Opaque: c.opaque, ExpiresMS: c.expiresMS,
			})
		}
	}
	return r
}

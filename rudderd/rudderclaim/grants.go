package rudderclaim

import (
	"encoding/hex"
	"sync"
	"time"
)

// maxGrantsPerShard bounds the claims that an entry host remembers of one shard. With 16 shards and about
// 200 bytes each this is a tenth of a node's budget of 128 MB. The oldest are dropped first, because a store
// that is restored to an older state loses its newest writes.
const maxGrantsPerShard = 4096

// grantLog holds the claims that an entry host was granted, or remembers as a witness, by shard. It survives
// a change of collector and a restore of the key-value service, but not a restart of the process.
type grantLog struct {
	mu     sync.Mutex
	shards [ShardCount]shardGrants
}

type shardGrants struct {
	highestSeq int64
	claims     map[[16]byte]*grantedClaim
	// order is a ring of the granted keys. A key that was released and granted again is in it twice.
	order []orderedClaim
	next  int
}

type orderedClaim struct {
	key   [16]byte
	claim *grantedClaim
}

type grantedClaim struct {
	body      [16]byte
	token     string
	seq       int64
	expiresMS int64
	opaque    bool
}

// add records a claim that was granted at a head sequence.
func (g *grantLog) add(request Request, limits Limits, seq int64, now time.Time) {
	r := request.record(limits, now, StateClaimed, nil)
	c := &grantedClaim{token: r.Token, seq: seq, expiresMS: r.ExpiresMS, opaque: r.Opaque}
	var key [16]byte
	_, _ = hex.Decode(key[:], []byte(r.Key))
	_, _ = hex.Decode(c.body[:], []byte(r.Body))
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.shards[request.Shard()]
	if s.claims == nil {
		s.claims = map[[16]byte]*grantedClaim{}
	}
	s.claims[key] = c
	added := orderedClaim{key: key, claim: c}
	if len(s.order) < maxGrantsPerShard {
		s.order = append(s.order, added)
		return
	}
	if old := s.order[s.next]; s.claims[old.key] == old.claim {
		delete(s.claims, old.key)
	}
	s.order[s.next] = added
	s.next = (s.next + 1) % maxGrantsPerShard
}

// remove deletes a claim whose call was not dispatched.
func (g *grantLog) remove(request Request) {
	var key [16]byte
	_, _ = hex.Decode(key[:], []byte(request.key))
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.shards[request.Shard()]
	if c := s.claims[key]; c != nil && c.token == request.token {
		delete(s.claims, key)
	}
}

// observeSeq records a head sequence that this entry host has seen.
func (g *grantLog) observeSeq(shard int, seq int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shards[shard].highestSeq = max(g.shards[shard].highestSeq, seq)
}

// highestSeq returns the highest head sequence that this entry host has seen.
func (g *grantLog) highestSeq(shard int) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shards[shard].highestSeq
}

// recall returns the claims that were granted after a head sequence and have not expired.
func (g *grantLog) recall(shard int, after int64, now time.Time) Recall {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.shards[shard]
	r := Recall{HighestSeq: s.highestSeq, Complete: true}
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

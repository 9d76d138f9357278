package rudderclaim

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// witnessTimeout bounds one call to a witness. A call that is not answered costs a claim less than a silent collector.
	witnessTimeout = 150 * time.Millisecond
	// witnessTries is the number of entry hosts that are asked to remember a claim until one of them does.
	witnessTries = 2
)

// tellWitness asks another entry host to remember a claim, or to forget it. The key-value service may go back to a state
// without the claim, and an entry host that collected the claim of its own request would be the only one to remember it.
// A claim counts without a witness too: where no other entry host answers, refusing all claims would protect nobody.
func (c *Claims) tellWitness(ctx context.Context, request Request, seq int64, released bool) {
	for _, m := range c.witnesses(request) {
		attempt, cancel := context.WithTimeout(ctx, witnessTimeout)
		_, err := c.peer(m.PeerAddress).Remember(attempt, &rudderpeer.ClaimRememberRequest{Key: toWireKey(request), HeadSeq: seq, Released: released})
		cancel()
		if err == nil {
			return
		}
		c.noteAnswer(ctx, m.Name, err)
		c.Logger.Warn().Err(err).Str("witness", m.Name).Bool("released", released).Msg("claim not remembered by a second entry host")
	}
}

// witnesses returns the entry hosts to ask, the next collectors of the shard first.
func (c *Claims) witnesses(request Request) []ruddermember.Member {
	var list []ruddermember.Member
	for _, m := range ruddermember.Rank(headKey(request.Shard()), c.Members()) {
		if len(list) < witnessTries && m.Name != c.Self && !c.suspects.Has(m.Name, c.Clock.Now()) {
			list = append(list, m)
		}
	}
	return list
}

// Remember implements rudderpeer.Claims.
func (s *server) Remember(_ context.Context, in *rudderpeer.ClaimRememberRequest) (*rudderpeer.ClaimChangeReply, error) {
	r, err := fromWireKey(in.Key)
	if err != nil {
		return nil, err
	}
	if in.HeadSeq < 0 {
		return nil, twirp.InvalidArgumentError("head_seq", "is negative")
	}
	c := s.claims
	if in.Released {
		c.memory.released(r)
		return &rudderpeer.ClaimChangeReply{}, nil
	}
	c.memory.granted(r, c.Limits, in.HeadSeq, c.Clock.Now())
	c.memory.saw(r.Shard(), in.HeadSeq)
	return &rudderpeer.ClaimChangeReply{}, nil
}

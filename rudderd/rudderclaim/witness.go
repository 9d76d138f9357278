package rudderclaim

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// witnessTimeout bounds one call to a witness. It is shorter than defaultPeerTimeout, so an unresponsive
	// witness delays a claim by less than an unresponsive collector.
	witnessTimeout = 150 * time.Millisecond
	// witnessTries is the largest number of entry hosts that are called, one after the other, to record a
	// claim.
	witnessTries = 2
)

// notifyWitness calls another entry host to record a granted claim, or to delete a released one. The
// key-value service may be restored to a state without the claim, and an entry host that collects the claim
// of its own request would be the only one that remembers it. A grant stands without a witness too: when no
// other entry host answers, refusing all claims would protect nobody.
func (c *Claims) notifyWitness(ctx context.Context, request Request, seq int64, released bool) {
	for _, m := range c.witnesses(request) {
		attempt, cancel := context.WithTimeout(ctx, witnessTimeout)
		_, err := c.peer(m.PeerAddress).Remember(attempt, &rudderpeer.ClaimRememberRequest{Key: toWireKey(request), HeadSeq: seq, Released: released})
		cancel()
		if err == nil {
			return
		}
		c.recordResponse(ctx, m.Name, err)
		c.Logger.Warn().Err(err).Str("witness", m.Name).Bool("released", released).Msg("witness did not acknowledge the grant or release of a claim")
	}
}

// witnesses returns the entry hosts to call, in the shard's rank order of collectors.
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
		c.grants.remove(r)
		return &rudderpeer.ClaimChangeReply{}, nil
	}
	c.grants.add(r, c.Limits, in.HeadSeq, c.Clock.Now())
	c.grants.observeSeq(r.Shard(), in.HeadSeq)
	return &rudderpeer.ClaimChangeReply{}, nil
}

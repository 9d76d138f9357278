package rudderclaim

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderpeer"
)

// Handler returns the twirp handler of the service Claims, which other entry hosts call.
func (c *Claims) Handler() rudderpeer.TwirpServer {
	c.init()
	return rudderpeer.NewClaimsServer(&server{claims: c})
}

// peer returns the client of another entry host.
func (c *Claims) peer(address string) rudderpeer.Claims {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		client := c.HTTPClient
		if client == nil {
			client = http.DefaultClient
		}
		p = rudderpeer.NewClaimsProtobufClient("http://"+address, client)
		c.peers[address] = p
	}
	return p
}

// claimAt makes a claim at one collector. An error means that its outcome is unknown.
func (c *Claims) claimAt(ctx context.Context, m ruddermember.Member, r Request) (Decision, error) {
	if m.Name == c.Self {
		return c.claimHere(ctx, r, 0)
	}
	// The collector answers that the claim is pending before this call gives up.
	reply, err := c.peer(m.PeerAddress).Claim(ctx, &rudderpeer.ClaimRequest{
		Key: toWireKey(r), WaitMs: remaining(ctx).Milliseconds() * 3 / 4,
		SeenSeq: c.memory.highest(r.Shard()),
	})
	if err != nil {
		return Decision{}, err
	}
	return Decision{
		Verdict: Verdict(reply.Verdict), Answer: fromWireAnswer(reply.Answer), Unknown: reply.Unknown, seq: reply.HeadSeq,
	}, nil
}

// claimHere makes a claim at this entry host's collector. A claim that is not decided in time is
// pending: its write may still succeed.
func (c *Claims) claimHere(ctx context.Context, r Request, seen int64) (Decision, error) {
	seen = max(seen, c.memory.highest(r.Shard()))
	d, err := c.collectors[r.Shard()].submit(ctx, submission{kind: opClaim, request: r, seen: seen})
	c.memory.saw(r.Shard(), d.seq)
	if errors.Is(err, ErrUnavailable) {
		return Decision{Verdict: VerdictPending, Unknown: true}, nil
	}
	return d, err
}

// changeAt sends a settlement or release to one collector.
func (c *Claims) changeAt(ctx context.Context, m ruddermember.Member, ch change) error {
	if m.Name == c.Self {
		return c.changeHere(ctx, ch)
	}
	p := c.peer(m.PeerAddress)
	if ch.settle {
		_, err := p.Settle(ctx, &rudderpeer.ClaimSettleRequest{Key: toWireKey(ch.request), Answer: toWireAnswer(ch.answer)})
		return err
	}
	_, err := p.Release(ctx, &rudderpeer.ClaimReleaseRequest{Key: toWireKey(ch.request)})
	return err
}

func (c *Claims) changeHere(ctx context.Context, ch change) error {
	kind := opRelease
	if ch.settle {
		kind = opSettle
	}
	d, err := c.collectors[ch.request.Shard()].submit(ctx, submission{kind: kind, request: ch.request, answer: ch.answer})
	if err != nil {
		return err
	}
	if d.Verdict != VerdictApplied {
		return errors.Wrapf(ErrUnavailable, "verdict %s", d.Verdict)
	}
	return nil
}

func remaining(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return operationTimeout
	}
	return time.Until(d)
}

// server answers the calls of other entry hosts.
type server struct {
	claims *Claims
}

// Claim implements rudderpeer.Claims.
func (s *server) Claim(ctx context.Context, in *rudderpeer.ClaimRequest) (*rudderpeer.ClaimReply, error) {
	r, err := fromWireKey(in.Key)
	if err != nil {
		return nil, err
	}
	if in.WaitMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(in.WaitMs)*time.Millisecond)
		defer cancel()
	}
	d, err := s.claims.claimHere(ctx, r, in.SeenSeq)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &rudderpeer.ClaimReply{
		Verdict: string(d.Verdict), Answer: toWireAnswer(d.Answer), Unknown: d.Unknown, HeadSeq: d.seq,
	}, nil
}

// Settle implements rudderpeer.Claims.
func (s *server) Settle(ctx context.Context, in *rudderpeer.ClaimSettleRequest) (*rudderpeer.ClaimChangeReply, error) {
	return s.change(ctx, in.Key, change{settle: true, answer: fromWireAnswer(in.Answer)})
}

// Release implements rudderpeer.Claims.
func (s *server) Release(ctx context.Context, in *rudderpeer.ClaimReleaseRequest) (*rudderpeer.ClaimChangeReply, error) {
	return s.change(ctx, in.Key, change{})
}

func (s *server) change(ctx context.Context, key *rudderpeer.ClaimKey, ch change) (*rudderpeer.ClaimChangeReply, error) {
	r, err := fromWireKey(key)
	if err != nil {
		return nil, err
	}
	ch.request = r
	if err := s.claims.changeHere(ctx, ch); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &rudderpeer.ClaimChangeReply{}, nil
}

func toWireKey(r Request) *rudderpeer.ClaimKey {
	return &rudderpeer.ClaimKey{KeyDigest: r.key, BodyDigest: r.body, Token: r.token, KeyTimeMs: r.keyTimeMS}
}

func fromWireKey(k *rudderpeer.ClaimKey) (Request, error) {
	r := Request{key: k.GetKeyDigest(), body: k.GetBodyDigest(), token: k.GetToken(), keyTimeMS: k.GetKeyTimeMs()}
	if len(r.key) != 2*shortDigestChars || checkRecord(Record{Key: r.key, State: StateClaimed}) != nil || r.token == "" {
		return Request{}, twirp.InvalidArgumentError("key", "is not a claim key")
	}
	return r, nil
}

func toWireAnswer(a *Answer) *rudderpeer.ClaimAnswer {
	if a == nil {
		return nil
	}
	wire := &rudderpeer.ClaimAnswer{Status: int32(a.Status), Body: a.Body}
	for name, values := range a.Header {
		wire.Headers = append(wire.Headers, &rudderpeer.ClaimAnswerHeader{Name: name, Values: values})
	}
	return wire
}

func fromWireAnswer(w *rudderpeer.ClaimAnswer) *Answer {
	if w == nil {
		return nil
	}
	a := &Answer{Status: int(w.Status), Body: w.Body, Header: map[string][]string{}}
	for _, h := range w.Headers {
		a.Header[h.Name] = h.Values
	}
	return a
}

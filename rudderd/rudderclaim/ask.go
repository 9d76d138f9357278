package rudderclaim

import (
	"context"
	"encoding/hex"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderpeer"
)

// errSilent stands for the answer of an entry host that was not asked.
var errSilent = errors.New("claim: entry host is silent")

const (
	// recallPatience is how long claims of a shard wait for a silent entry host that the member list holds
	// live: three calls. It leaves a claim more than half of its 2 s.
	recallPatience = 750 * time.Millisecond
	recallPause    = 50 * time.Millisecond
	recallParallel = 32
	// recallAfter gives at most one recall for a shard in 30 s when the shard is almost idle: at 330 entry
	// hosts 11 calls a second for its collector.
	recallAfter = 30 * time.Second
	recallRetry = 5 * time.Second
)

// silence remembers entry hosts that do not answer recalls, so that a silent one delays the shards of
// this collector once and not each of them.
type silence struct {
	mu    sync.Mutex
	hosts map[string]silentHost
}

type silentHost struct{ since, asked time.Time }

// answered forgets the silence of an entry host.
func (s *silence) answered(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, name)
}

// note records that an entry host did not answer a call.
func (s *silence) note(name string, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts == nil {
		s.hosts = map[string]silentHost{}
	}
	h := s.hosts[name]
	if h.since.IsZero() {
		h.since = asked
	}
	h.asked = asked
	s.hosts[name] = h
}

// over tells whether an entry host is not waited for any longer, and skip whether it need not be asked.
func (s *silence) over(name string, now time.Time) (over, skip bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.hosts[name]
	over = ok && now.Sub(h.since) >= recallPatience
	return over, over && now.Sub(h.asked) < recallRetry
}

// recall asks all live entry hosts what they know of a shard. It asks silent ones again until each
// answered, left the member list or was silent for recallPatience.
func (c *Claims) recall(ctx context.Context, shard int, after int64) Recall {
	total := c.memory.recall(shard, after, c.Clock.Now())
	answered := map[string]bool{c.Self: true}
	for {
		waiting := false
		total.Complete = true
		for name, err := range c.askMembers(ctx, shard, after, answered, &total) {
			if err == nil || gone(err) {
				c.silence.answered(name)
				answered[name] = true
				continue
			}
			total.Complete = false
			over, _ := c.silence.over(name, c.Clock.Now())
			waiting = waiting || !over
		}
		if !waiting {
			return total
		}
		select {
		case <-ctx.Done():
			return total
		case <-c.Clock.After(recallPause):
		}
	}
}

// gone tells whether no process with a memory can be behind the error: nothing listens at the address,
// or it runs a version without recalls.
func gone(err error) bool {
	var e twirp.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &e) && e.Code() == twirp.BadRoute
}

// askMembers asks the live members that have not answered yet and adds their answers to the total.
func (c *Claims) askMembers(ctx context.Context, shard int, after int64, answered map[string]bool, total *Recall) map[string]error {
	var mu sync.Mutex
	results := map[string]error{}
	var group errgroup.Group
	group.SetLimit(recallParallel)
	for _, m := range c.Members() {
		if answered[m.Name] {
			continue
		}
		asked := c.Clock.Now()
		if _, skip := c.silence.over(m.Name, asked); skip {
			mu.Lock()
			results[m.Name] = errSilent
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			r, err := c.recallAt(ctx, m, shard, after)
			mu.Lock()
			defer mu.Unlock()
			if results[m.Name] = err; err != nil {
				c.silence.note(m.Name, asked)
			}
			total.HighestSeq = max(total.HighestSeq, r.HighestSeq)
			total.Records = append(total.Records, r.Records...)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

func (c *Claims) recallAt(ctx context.Context, m ruddermember.Member, shard int, after int64) (Recall, error) {
	ctx, cancel := context.WithTimeout(ctx, c.PeerTimeout)
	defer cancel()
	reply, err := c.peer(m.PeerAddress).Recall(ctx, &rudderpeer.ClaimRecallRequest{Shard: int32(shard), AfterSeq: after})
	if err != nil {
		return Recall{}, err
	}
	r := Recall{HighestSeq: reply.HighestSeq}
	for _, w := range reply.Claims {
		record := Record{
			Key: hex.EncodeToString(w.KeyDigest), Body: hex.EncodeToString(w.BodyDigest), Token: w.Token,
			State: StateClaimed, Opaque: w.Opaque, ExpiresMS: w.ExpiresMs,
		}
		if err := checkRecord(record); err != nil {
			return Recall{}, err
		}
		r.Records = append(r.Records, record)
	}
	return r, nil
}

// Recall implements rudderpeer.Claims.
func (s *server) Recall(_ context.Context, in *rudderpeer.ClaimRecallRequest) (*rudderpeer.ClaimRecallReply, error) {
	if in.Shard < 0 || in.Shard >= ShardCount {
		return nil, twirp.InvalidArgumentError("shard", "does not exist")
	}
	c := s.claims
	known := c.memory.recall(int(in.Shard), in.AfterSeq, c.Clock.Now())
	return &rudderpeer.ClaimRecallReply{HighestSeq: known.HighestSeq, Claims: wireClaims(known.Records)}, nil
}

func wireClaims(records []Record) []*rudderpeer.RememberedClaim {
	claims := make([]*rudderpeer.RememberedClaim, 0, len(records))
	for _, r := range records {
		key, _ := hex.DecodeString(r.Key)
		body, _ := hex.DecodeString(r.Body)
		claims = append(claims, &rudderpeer.RememberedClaim{
			KeyDigest: key, BodyDigest: body, Token: r.Token, Opaque: r.Opaque, ExpiresMs: r.ExpiresMS,
		})
	}
	return claims
}

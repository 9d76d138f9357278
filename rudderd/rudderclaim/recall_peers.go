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

// errUnresponsive is the result for an entry host that was not asked, because it did not answer lately.
var errUnresponsive = errors.New("claim: entry host skipped, it did not answer earlier recalls")

const (
	// recallMaxWait is how long the claims of a shard wait for an unresponsive entry host that is still in
	// the member list: three calls. More than half of a claim's 2 s is left after it.
	recallMaxWait      = 750 * time.Millisecond
	recallPollInterval = 50 * time.Millisecond
	recallConcurrency  = 32
	// recallAfter limits an almost idle shard to one recall in 30 s: with 330 entry hosts these are 11 calls
	// a second for its collector.
	recallAfter = 30 * time.Second
	recallRetry = 5 * time.Second
)

// unresponsiveHosts tracks entry hosts that do not answer recalls, so that such a host delays the shards of
// this collector once in total instead of once each.
type unresponsiveHosts struct {
	mu    sync.Mutex
	hosts map[string]unresponsiveHost
}

type unresponsiveHost struct{ since, asked time.Time }

// remove deletes an entry host, after it answered.
func (u *unresponsiveHosts) remove(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.hosts, name)
}

// add records that an entry host did not answer a call.
func (u *unresponsiveHosts) add(name string, asked time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.hosts == nil {
		u.hosts = map[string]unresponsiveHost{}
	}
	h := u.hosts[name]
	if h.since.IsZero() {
		h.since = asked
	}
	h.asked = asked
	u.hosts[name] = h
}

// status reports whether a recall no longer waits for an entry host (over), and whether it need not call
// the host at all (skip).
func (u *unresponsiveHosts) status(name string, now time.Time) (over, skip bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	h, ok := u.hosts[name]
	over = ok && now.Sub(h.since) >= recallMaxWait
	return over, over && now.Sub(h.asked) < recallRetry
}

// recall asks all live entry hosts for the claims of a shard that they were granted. It repeats the call until
// each host has answered, has left the member list or has been unresponsive for recallMaxWait.
func (c *Claims) recall(ctx context.Context, shard int, after int64) Recall {
	total := c.grants.recall(shard, after, c.Clock.Now())
	answered := map[string]bool{c.Self: true}
	for {
		waiting := false
		total.Complete = true
		for name, err := range c.recallFromMembers(ctx, shard, after, answered, &total) {
			if err == nil || hasNoGrants(err) {
				c.unresponsive.remove(name)
				answered[name] = true
				continue
			}
			total.Complete = false
			over, _ := c.unresponsive.status(name, c.Clock.Now())
			waiting = waiting || !over
		}
		if !waiting {
			return total
		}
		select {
		case <-ctx.Done():
			return total
		case <-c.Clock.After(recallPollInterval):
		}
	}
}

// hasNoGrants reports whether an error shows that no granted claims exist at the address: no process listens
// there, or it runs a version without recalls.
func hasNoGrants(err error) bool {
	var e twirp.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &e) && e.Code() == twirp.BadRoute
}

// recallFromMembers calls the live members that have not answered yet, adds their answers to total and returns
// each member's error by name.
func (c *Claims) recallFromMembers(ctx context.Context, shard int, after int64, answered map[string]bool, total *Recall) map[string]error {
	var mu sync.Mutex
	results := map[string]error{}
	var group errgroup.Group
	group.SetLimit(recallConcurrency)
	for _, m := range c.Members() {
		if answered[m.Name] {
			continue
		}
		asked := c.Clock.Now()
		if _, skip := c.unresponsive.status(m.Name, asked); skip {
			mu.Lock()
			results[m.Name] = errUnresponsive
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			r, err := c.recallFrom(ctx, m, shard, after)
			mu.Lock()
			defer mu.Unlock()
			if results[m.Name] = err; err != nil {
				c.unresponsive.add(m.Name, asked)
			}
			total.HighestSeq = max(total.HighestSeq, r.HighestSeq)
			total.Records = append(total.Records, r.Records...)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

func (c *Claims) recallFrom(ctx context.Context, m ruddermember.Member, shard int, after int64) (Recall, error) {
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
	known := c.grants.recall(int(in.Shard), in.AfterSeq, c.Clock.Now())
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

package rudderchange

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderpermit"
	"comfreyrudder.example/shared/rudderpeer"
)

// spareCalls is the number of calls in the first wave beyond those that a majority needs, to allow for
// members that do not answer.
const spareCalls = 3

// runRounds renews the permit by majority rounds while reads of the platform do not renew it.
func (c *Controller) runRounds(ctx context.Context) error {
	for {
		if c.renewalDue() {
			c.report(c.renewByMajority(ctx))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wakeup:
		case <-c.Clock.After(c.PermitTTL / 8):
		}
	}
}

func (c *Controller) requestRound() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

func (c *Controller) renewalDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permit.Remaining(c.Clock.Now()) < c.PermitTTL/2
}

// renewByMajority renews the permit by the acknowledgements in digests if they are recent enough, and else by
// a direct round.
func (c *Controller) renewByMajority(ctx context.Context) error {
	now := c.Clock.Now()
	verdict := c.judge(c.Node.Acks(), now.Add(-c.PermitTTL))
	if verdict.Majority {
		c.recordRound(verdict.Started)
		if !c.renewalDue() {
			return nil
		}
	}
	if !c.lastRoundFailure.IsZero() && rudderpermit.Elapsed(c.lastRoundFailure, now) < c.PermitTTL/4 {
		return nil // limits the rate of rounds while members do not answer
	}
	r := c.directRound(ctx)
	if r.verdict.Behind {
		if err := c.adoptFrom(ctx, r.verdict); err != nil {
			return err
		}
		r.verdict = c.judge(r.acks, r.started)
	}
	if !r.verdict.Majority {
		c.lastRoundFailure = c.Clock.Now()
		return ErrNoMajority
	}
	c.lastRoundFailure = time.Time{}
	c.recordRound(r.verdict.Started)
	return nil
}

func (c *Controller) recordRound(started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permit.MajorityRound(started)
}

// judge evaluates the acknowledgements of other members together with this host's own.
func (c *Controller) judge(acks []rudderpermit.Ack, notBefore time.Time) rudderpermit.AckResult {
	adopted, hasConfig := c.version()
	registry := c.Node.Registry()
	if hasConfig {
		acks = append(slices.Clone(acks), rudderpermit.Ack{Member: c.Node.Self.Name, Version: adopted, At: c.Clock.Now()})
	}
	return rudderpermit.EvaluateAcks(adopted, acks, notBefore, registry.Quorum)
}

// round is the result of asking members directly.
type round struct {
	started  time.Time
	acks     []rudderpermit.Ack
	verdict  rudderpermit.AckResult
	answers  map[string]bool // members that answered, with or without a configuration
	answered bool            // the members that answered are a majority
}

// directRound requests the versions of members: first as many live ones as a majority needs plus spareCalls,
// then the others if the answers do not decide.
func (c *Controller) directRound(ctx context.Context) round {
	r := round{started: c.Clock.Now(), answers: map[string]bool{c.Node.Self.Name: true}}
	first, rest := c.waves()
	for _, wave := range [][]ruddermember.Member{first, rest} {
		c.callMembers(ctx, wave, c.callTimeout(), func(answers []answer) bool {
			r.add(answers[len(answers)-1])
			r.answered = c.Node.Registry().Quorum(r.answers)
			if r.answered {
				r.verdict = c.judge(r.acks, r.started)
			}
			return r.decided()
		})
		if !r.answered {
			r.verdict = c.judge(r.acks, r.started)
		}
		if r.decided() {
			break
		}
	}
	return r
}

func (r *round) add(a answer) {
	r.answers[a.Member] = true
	if a.acknowledges {
		r.acks = append(r.acks, a.Ack)
	}
}

func (r *round) decided() bool { return r.verdict.Majority || r.verdict.Behind }

// waves splits the members into two waves of calls: live members of the own region first, then other live
// ones, then the rest.
func (c *Controller) waves() (first, rest []ruddermember.Member) {
	registry, self := c.Node.Registry(), c.Node.Self
	live := map[string]bool{}
	for _, m := range c.Node.Live() {
		live[m.Name] = true
	}
	order := func(m ruddermember.Member) int {
		switch {
		case live[m.Name] && m.Region == self.Region:
			return 0
		case live[m.Name]:
			return 1
		}
		return 2
	}
	members := slices.Clone(registry.Members)
	slices.SortStableFunc(members, func(a, b ruddermember.Member) int { return order(a) - order(b) })
	set := map[string]bool{self.Name: true}
	spare := spareCalls
	for i, m := range members {
		set[m.Name] = true
		if registry.Quorum(set) {
			if spare--; spare < 0 {
				return members[:i], members[i:]
			}
		}
	}
	return members, nil
}

// answer is the reply of a member. acknowledges is false if the member has no configuration.
type answer struct {
	rudderpermit.Ack
	acknowledges bool
}

// callMembers calls members in parallel and adopts the newer registries that they return. It returns when all calls
// have ended, at the latest after limit, or as soon as enough returns true: a member that does not answer
// must not delay a decision of the majority.
func (c *Controller) callMembers(ctx context.Context, members []ruddermember.Member, limit time.Duration, enough func([]answer) bool) []answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	adopted, _ := c.version()
	q := &rudderpeer.AcknowledgeRequest{
		Caller: c.Node.Self.PeerAddress, ConfigVersion: adopted.Number, ConfigHash: adopted.Hash,
		RegistryVersion: c.Node.Registry().Version,
	}
	results := make(chan answer, len(members)) // has room for all results, so that late calls do not block
	calls := 0
	for _, m := range members {
		if m.Name != c.Node.Self.Name {
			calls++
			go func() { results <- c.callMember(ctx, m, q) }()
		}
	}
	var answers []answer
	for range calls {
		a := <-results
		if a.Member == "" {
			continue
		}
		answers = append(answers, a)
		if enough(answers) {
			break
		}
	}
	return answers
}

// callMember returns a member's answer, or an empty one if the call failed.
func (c *Controller) callMember(ctx context.Context, m ruddermember.Member, q *rudderpeer.AcknowledgeRequest) answer {
	sent := c.Clock.Now()
	a, err := c.Node.Peer.Acknowledge(ctx, m.PeerAddress, q)
	if err != nil {
		return answer{}
	}
	c.Node.AdoptRegistry(a.Registry)
	version := rudderpermit.Version{Number: a.ConfigVersion, Hash: a.ConfigHash}
	return answer{
		Ack: rudderpermit.Ack{Member: m.Name, Version: version, At: sent}, acknowledges: a.HasConfig,
	}
}

// adoptFrom fetches and adopts the newest configuration that a verdict refers to.
func (c *Controller) adoptFrom(ctx context.Context, v rudderpermit.AckResult) error {
	m, found := c.Node.Registry().Member(v.Newest.Member)
	if !found {
		return errors.Wrapf(ErrNoMajority, "member %s, which has a newer configuration, is no longer in the registry", v.Newest.Member)
	}
	return c.fetch(ctx, m.PeerAddress, v.Differs)
}

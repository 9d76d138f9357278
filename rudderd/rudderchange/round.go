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

// spareCalls are made beyond the least number that a majority needs, for members that do not answer.
const spareCalls = 3

// runRounds renews the permit by majority rounds when the platform does not.
func (k *Keeper) runRounds(ctx context.Context) error {
	for {
		if k.renewalDue() {
			k.report(k.renewByMajority(ctx))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.wakeup:
		case <-k.Clock.After(k.PermitTTL / 8):
		}
	}
}

func (k *Keeper) askForRound() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

func (k *Keeper) renewalDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.permit.Remaining(k.Clock.Now()) < k.PermitTTL/2
}

// renewByMajority takes the acknowledgements from digests if they are young enough, else it asks.
func (k *Keeper) renewByMajority(ctx context.Context) error {
	now := k.Clock.Now()
	verdict := k.judge(k.Node.Acks(), now.Add(-k.PermitTTL))
	if verdict.Majority {
		k.recordRound(verdict.Started)
		if !k.renewalDue() {
			return nil
		}
	}
	if !k.lastFail.IsZero() && rudderpermit.Elapsed(k.lastFail, now) < k.PermitTTL/4 {
		return nil // members that do not answer are not asked more often
	}
	r := k.directRound(ctx)
	if r.verdict.Behind {
		if err := k.adoptFrom(ctx, r.verdict); err != nil {
			return err
		}
		r.verdict = k.judge(r.acks, r.started)
	}
	if !r.verdict.Majority {
		k.lastFail = k.Clock.Now()
		return ErrNoMajority
	}
	k.lastFail = time.Time{}
	k.recordRound(r.verdict.Started)
	return nil
}

func (k *Keeper) recordRound(started time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.permit.MajorityRound(started)
}

// judge adds this host's own acknowledgement to those of others.
func (k *Keeper) judge(acks []rudderpermit.Ack, notBefore time.Time) rudderpermit.AckResult {
	adopted, hasConfig := k.version()
	registry := k.Node.Registry()
	if hasConfig {
		acks = append(slices.Clone(acks), rudderpermit.Ack{Member: k.Node.Self.Name, Version: adopted, At: k.Clock.Now()})
	}
	return rudderpermit.EvaluateAcks(adopted, acks, notBefore, registry.Quorum)
}

// round is the result of asking members directly.
type round struct {
	started  time.Time
	acks     []rudderpermit.Ack
	verdict  rudderpermit.AckResult
	answers  map[string]bool // members that answered, with or without a configuration
	answered bool            // those are a majority
}

// directRound asks members for their versions: first as many live ones as a majority needs, then the
// others.
func (k *Keeper) directRound(ctx context.Context) round {
	r := round{started: k.Clock.Now(), answers: map[string]bool{k.Node.Self.Name: true}}
	first, rest := k.waves()
	for _, wave := range [][]ruddermember.Member{first, rest} {
		k.ask(ctx, wave, k.callTimeout(), func(answers []answer) bool {
			r.add(answers[len(answers)-1])
			r.answered = k.Node.Registry().Quorum(r.answers)
			if r.answered {
				r.verdict = k.judge(r.acks, r.started)
			}
			return r.decided()
		})
		if !r.answered {
			r.verdict = k.judge(r.acks, r.started)
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

// waves orders the members to ask: live ones of the own region first.
func (k *Keeper) waves() (first, rest []ruddermember.Member) {
	registry, self := k.Node.Registry(), k.Node.Self
	live := map[string]bool{}
	for _, m := range k.Node.Live() {
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

// answer is one member's reply.
type answer struct {
	rudderpermit.Ack
	acknowledges bool
}

// ask calls members in parallel and adopts newer registries that they have. It returns when all
// answered or the limit passed, or earlier when the answers are enough: a silent member must not
// delay what a majority can decide.
func (k *Keeper) ask(ctx context.Context, members []ruddermember.Member, limit time.Duration, enough func([]answer) bool) []answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	adopted, _ := k.version()
	q := &rudderpeer.AcknowledgeRequest{
		Caller: k.Node.Self.PeerAddress, ConfigVersion: adopted.Number, ConfigHash: adopted.Hash,
		RegistryVersion: k.Node.Registry().Version,
	}
	results := make(chan answer, len(members)) // room for all, so that late calls end
	calls := 0
	for _, m := range members {
		if m.Name != k.Node.Self.Name {
			calls++
			go func() { results <- k.askOne(ctx, m, q) }()
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

// askOne returns a member's answer, an empty one if it gave none.
func (k *Keeper) askOne(ctx context.Context, m ruddermember.Member, q *rudderpeer.AcknowledgeRequest) answer {
	sent := k.Clock.Now()
	a, err := k.Node.Peer.Acknowledge(ctx, m.PeerAddress, q)
	if err != nil {
		return answer{}
	}
	k.Node.AdoptRegistry(a.Registry)
	version := rudderpermit.Version{Number: a.ConfigVersion, Hash: a.ConfigHash}
	return answer{
		Ack: rudderpermit.Ack{Member: m.Name, Version: version, At: sent}, acknowledges: a.HasConfig,
	}
}

// adoptFrom takes over the configuration that a verdict found to be newer.
func (k *Keeper) adoptFrom(ctx context.Context, v rudderpermit.AckResult) error {
	m, found := k.Node.Registry().Member(v.Newest.Member)
	if !found {
		return errors.Wrapf(ErrNoMajority, "member %s with a newer configuration left the registry", v.Newest.Member)
	}
	return k.fetch(ctx, m.PeerAddress, v.Differs)
}

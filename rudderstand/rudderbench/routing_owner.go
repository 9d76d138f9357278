package rudderbench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/ruddertarget"
)

// ownerShard is a shard with its owner's state.
type ownerShard struct {
	info   rudderrouter.Shard
	state  *rudderadmission.Shard
	hints  *rudderrouter.Hints
	owner  string
	queued map[string]*modelRequest
	held   map[string]*modelRequest
}

// ownerScheme runs rudderrouter at each entry host and rudderadmission at each shard's owner.
type ownerScheme struct {
	m        *model
	shards   []*ownerShard
	byGroup  map[string]int // group ID to index
	choosers []*rudderrouter.Chooser
	loads    [][]float64 // by entry host and shard, as digests and answers have it
	retries  []float64   // retry credit by entry host
	traffic  map[string]*traffic
	measure  func() bool // whether messages count now
	seq      []int64     // cache event sequence by group
}

type traffic struct{ messages, bytes int }

func groupName(i int) string { return fmt.Sprintf("g-%d-%d", i%30, i) }

// useOwners installs the owner scheme. central puts all groups into one shard that each entry host
// knows exactly: the best that any division into shards could do.
func (m *model) useOwners(central bool) *ownerScheme {
	s := &ownerScheme{
		m: m, byGroup: map[string]int{}, traffic: map[string]*traffic{}, seq: make([]int64, len(m.groups)),
		retries: make([]float64, m.hosts), measure: func() bool { return true },
	}
	var groups []rudderrouter.Group
	for i, g := range m.groups {
		s.byGroup[groupName(i)] = i
		groups = append(groups, rudderrouter.Group{
			ID: groupName(i), Firm: "f", Model: "m", Region: "r", DataCentre: itoa(i % 3), Slots: g.slots,
		})
	}
	var members []ruddermember.Member
	for h := range m.hosts {
		members = append(members, ruddermember.Member{Name: "entry-" + itoa(h), Region: "r", DataCentre: itoa(h % 3)})
	}
	split := rudderrouter.BuildShards(groups)
	owners := rudderrouter.RankOwners(split, members)
	for _, info := range split {
		s.addShard(info, owners[info.ID()][0].Name, central)
	}
	for h := range m.hosts {
		s.choosers = append(s.choosers, &rudderrouter.Chooser{
			Rand: rand.New(rand.NewPCG(m.rng.Uint64(), uint64(h))), Hints: rudderrouter.NewHints(4096),
		})
		s.loads = append(s.loads, make([]float64, len(s.shards)))
	}
	m.every(50*time.Millisecond, s.tick)
	m.every(reportInterval, s.digest)
	m.every(renewInterval, s.renew)
	m.arrive = func(r *modelRequest) { s.ask(r, nil) }
	m.finished = s.release
	m.cacheChanged = s.cacheEvents
	return s
}

func (s *ownerScheme) addShard(info rudderrouter.Shard, owner string, central bool) {
	var admit []rudderadmission.Group
	for _, g := range info.Groups() {
		admit = append(admit, rudderadmission.Group{ID: g.ID, Slots: g.Slots})
	}
	if central && len(s.shards) > 0 {
		return
	}
	shard := &ownerShard{
		info: info, state: rudderadmission.NewShard(nil), hints: rudderrouter.NewHints(0),
		owner:  owner,
		queued: map[string]*modelRequest{}, held: map[string]*modelRequest{},
	}
	if central {
		admit = s.allGroups()
	}
	shard.state.SetGroups(s.m.wall(), admit)
	s.shards = append(s.shards, shard)
	if s.traffic[shard.owner] == nil {
		s.traffic[shard.owner] = &traffic{}
	}
}

func (s *ownerScheme) allGroups() []rudderadmission.Group {
	var all []rudderadmission.Group
	for i, g := range s.m.groups {
		all = append(all, rudderadmission.Group{ID: groupName(i), Slots: g.slots})
	}
	return all
}

func (s *ownerScheme) count(shard *ownerShard, messages ...proto.Message) {
	if !s.measure() {
		return
	}
	t := s.traffic[shard.owner]
	t.messages++
	for _, message := range messages {
		t.bytes += proto.Size(message)
	}
}

func (s *ownerScheme) wireWork(r *modelRequest) *rudderpeer.SlotWork {
	return &rudderpeer.SlotWork{
		RequestId: "entry-000." + r.id + ":0123456789ab", Workspace: r.workspace, Class: rudderpeer.SlotWork_SHORT,
		Preset: rudderpeer.SlotWork_WAITING_FIRST, Tokens: int64(r.estimate), Blocks: keysOf(r.blocks),
	}
}

func keysOf(blocks []uint64) []uint32 {
	var keys []uint32
	for _, block := range blocks {
		keys = append(keys, rudderrouter.BlockKey(block))
	}
	return keys
}

// ask chooses a shard and asks its owner. A refusal is tried at one more shard within the budget of
// a tenth of the requests.
func (s *ownerScheme) ask(r *modelRequest, tried []int) {
	var candidates []rudderrouter.Candidate
	var index []int
	for i, shard := range s.shards {
		if !slices.Contains(tried, i) {
			candidates = append(candidates, rudderrouter.Candidate{Shard: shard.info, Load: s.loads[r.host][i], SameRegion: true})
			index = append(index, i)
		}
	}
	if len(tried) == 0 {
		s.retries[r.host] = min(10, s.retries[r.host]+0.1)
	}
	chosen := s.choosers[r.host].Choose(candidates, keysOf(r.blocks))
	if chosen < 0 || len(tried) > 0 && s.retries[r.host] < 1 {
		r.refused, r.gone = true, true
		return
	}
	if len(tried) > 0 {
		s.retries[r.host]--
	}
	i := index[chosen]
	s.m.after(messageDelay, func() { s.offer(r, i, append(tried, i)) })
}

func (s *ownerScheme) offer(r *modelRequest, i int, tried []int) {
	shard, now := s.shards[i], s.m.wall()
	work := rudderadmission.Work{
		RequestID: r.id, Holder: itoa(r.host), Workspace: r.workspace, Preset: s.m.load.preset, Class: r.class,
		Tokens: r.estimate, Deadline: now.Add(r.arrived + r.deadline - s.m.now),
	}
	if len(r.blocks) > 0 {
		shard.hints.SetTime(now)
		work.PrefixShares = shard.hints.Match(keysOf(r.blocks))
	}
	shard.queued[r.id] = r
	r.shard = i
	d := shard.state.Admit(now, work)
	s.count(shard, &rudderpeer.GrantRequest{Shard: shard.info.ID(), Work: s.wireWork(r), DeadlineMs: 2000},
		&rudderpeer.GrantResponse{Group: d.Group, Leader: "10.0.0.1:8000", Load: 0.5})
	load := shard.state.Load()
	s.m.after(messageDelay, func() { s.loads[r.host][i] = load })
	if d.Kind != rudderadmission.Queued {
		s.settle(shard, d, tried)
	}
}

// settle carries out a decision; a refusal is passed on to another shard.
func (s *ownerScheme) settle(shard *ownerShard, d rudderadmission.Decision, tried []int) {
	r := shard.queued[d.RequestID]
	delete(shard.queued, d.RequestID)
	if d.Kind == rudderadmission.Granted {
		shard.held[r.id] = r
		if len(r.blocks) > 0 {
			shard.hints.RecordPlacement(d.Group, keysOf(r.blocks))
			s.choosers[r.host].Hints.SetTime(s.m.wall())
			s.choosers[r.host].Hints.RecordPlacement(d.Group, keysOf(r.blocks))
		}
		s.m.after(messageDelay, func() { s.m.submit(r, s.byGroup[d.Group]) })
		return
	}
	if d.Kind == rudderadmission.Refused && len(tried) < 2 {
		s.m.after(messageDelay, func() { s.ask(r, tried) })
		return
	}
	r.gone, r.refused = true, d.Kind == rudderadmission.Refused
}

func (s *ownerScheme) settleAll(shard *ownerShard, decisions []rudderadmission.Decision) {
	for _, d := range decisions {
		s.settle(shard, d, []int{0, 1})
	}
}

func (s *ownerScheme) release(r *modelRequest) {
	s.m.after(2*messageDelay, func() {
		shard := s.shards[r.shard]
		delete(shard.held, r.id)
		s.count(shard, &rudderpeer.ReleaseRequest{Shard: shard.info.ID(), Released: []*rudderpeer.ReleasedSlot{
			{RequestId: s.wireWork(r).RequestId, Tokens: int64(r.tokens)},
		}})
		s.settleAll(shard, shard.state.Release(s.m.wall(), r.id, rudderadmission.Outcome{Tokens: r.tokens}))
	})
}

func (s *ownerScheme) tick() {
	for _, shard := range s.shards {
		s.settleAll(shard, shard.state.Tick(s.m.wall()))
	}
}

// digest brings the loads of all shards to all entry hosts, one interval old at most.
func (s *ownerScheme) digest() {
	for i, shard := range s.shards {
		load := shard.state.Load()
		for h := range s.loads {
			s.loads[h][i] = load
		}
		for _, r := range shard.queued {
			// A waiting request polls after 1, 3 and 7 s, then each 8 s.
			if age := int((s.m.now - r.arrived).Seconds()); age == 1 || age == 3 || age%8 == 7 {
				s.count(shard, &rudderpeer.GrantRequest{Shard: shard.info.ID(), Work: s.wireWork(r), WaitMs: 8000},
					&rudderpeer.GrantResponse{State: rudderpeer.GrantResponse_QUEUED, Load: 0.5})
			}
		}
	}
}

const renewInterval = rudderadmission.LeaseTTL / 3

// renew lets each holder send the summary of its slots to each owner. No message is lost here, so
// that lists are not needed.
func (s *ownerScheme) renew() {
	for _, shard := range s.shards {
		summaries := make([]rudderadmission.Summary, s.m.hosts)
		for id, r := range shard.held {
			summaries[r.host] = summaries[r.host].With(id, 1)
		}
		for h, summary := range summaries {
			if summary.Count > 0 {
				shard.state.Renew(s.m.wall(), itoa(h), summary)
				s.count(shard, &rudderpeer.HeldSlotsRequest{
					Shard: shard.info.ID(), Holder: "entry-000", Count: int32(summary.Count), Summary: summary.Hash,
				}, &rudderpeer.HeldSlotsResponse{LeaseMs: rudderadmission.LeaseTTL.Milliseconds()})
			}
		}
	}
}

// cacheEvents reach the owners a second late; one batch in twenty is lost.
func (s *ownerScheme) cacheEvents(group int, changes []cacheChange) {
	var events []ruddertarget.CacheEvent
	for _, c := range changes {
		s.seq[group]++
		events = append(events, ruddertarget.CacheEvent{Seq: s.seq[group], Block: c.block, Stored: c.stored})
	}
	if s.m.rng.IntN(20) == 0 {
		return
	}
	s.m.after(time.Second, func() {
		for _, shard := range s.shards {
			for _, g := range shard.info.Groups() {
				if g.ID == groupName(group) {
					shard.hints.SetTime(s.m.wall())
					shard.hints.ApplyCacheEvents(g.ID, events)
				}
			}
		}
	})
}

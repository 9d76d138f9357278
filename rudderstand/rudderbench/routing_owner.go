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

// ownerShard is a shard and the state that its owner keeps.
type ownerShard struct {
	info   rudderrouter.Shard
	state  *rudderadmission.Shard
	hints  *rudderrouter.Hints
	owner  string
	queued map[string]*modelRequest
	held   map[string]*modelRequest
}

// ownerScheme is the routing scheme of the system: rudderrouter chooses a shard at each entry host, and
// rudderadmission grants slots at the owner of the shard.
type ownerScheme struct {
	m        *model
	shards   []*ownerShard
	byGroup  map[string]int // group ID to index
	choosers []*rudderrouter.Chooser
	loads    [][]float64 // by entry host and shard, as last received in a digest or response
	retries  []float64   // retry budget by entry host
	traffic  map[string]*traffic
	counting func() bool // reports whether messages count at this time
	seq      []int64     // cache event sequence by group
}

type traffic struct{ messages, bytes int }

func groupName(i int) string { return fmt.Sprintf("g-%d-%d", i%30, i) }

// useOwners installs the owner scheme. central puts all groups into one shard that each entry host
// knows exactly, which is the upper limit for any division into shards.
func (m *model) useOwners(central bool) *ownerScheme {
	s := &ownerScheme{
		m: m, byGroup: map[string]int{}, traffic: map[string]*traffic{}, seq: make([]int64, len(m.groups)),
		retries: make([]float64, m.hosts), counting: func() bool { return true },
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
	m.every(reportInterval, s.distributeLoads)
	m.every(renewInterval, s.renewLeases)
	m.arrive = func(r *modelRequest) { s.requestSlot(r, nil) }
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
	shard.state.SetGroups(s.m.wallTime(), admit)
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

// countTraffic counts one call to the owner of a shard, with the sizes of its request and response.
func (s *ownerScheme) countTraffic(shard *ownerShard, messages ...proto.Message) {
	if !s.counting() {
		return
	}
	t := s.traffic[shard.owner]
	t.messages++
	for _, message := range messages {
		t.bytes += proto.Size(message)
	}
}

func (s *ownerScheme) slotWork(r *modelRequest) *rudderpeer.SlotWork {
	return &rudderpeer.SlotWork{
		RequestId: "entry-000." + r.id + ":0123456789ab", Workspace: r.workspace, Class: rudderpeer.SlotWork_SHORT,
		Preset: rudderpeer.SlotWork_WAITING_FIRST, Tokens: int64(r.estimate), Blocks: blockKeys(r.blocks),
	}
}

func blockKeys(blocks []uint64) []uint32 {
	var keys []uint32
	for _, block := range blocks {
		keys = append(keys, rudderrouter.BlockKey(block))
	}
	return keys
}

// requestSlot chooses a shard and requests a slot from its owner. A refused request is retried at one more
// shard, within a retry budget of a tenth of the requests.
func (s *ownerScheme) requestSlot(r *modelRequest, tried []int) {
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
	chosen := s.choosers[r.host].Choose(candidates, blockKeys(r.blocks))
	if chosen < 0 || len(tried) > 0 && s.retries[r.host] < 1 {
		r.refused, r.abandoned = true, true
		return
	}
	if len(tried) > 0 {
		s.retries[r.host]--
	}
	i := index[chosen]
	s.m.after(messageDelay, func() { s.submitToOwner(r, i, append(tried, i)) })
}

// submitToOwner requests a slot from the owner of shard i, which grants, queues or refuses it.
func (s *ownerScheme) submitToOwner(r *modelRequest, i int, tried []int) {
	shard, now := s.shards[i], s.m.wallTime()
	work := rudderadmission.Work{
		RequestID: r.id, Holder: itoa(r.host), Workspace: r.workspace, Preset: s.m.load.preset, Class: r.class,
		Tokens: r.estimate, Deadline: now.Add(r.arrived + r.deadline - s.m.now),
	}
	if len(r.blocks) > 0 {
		shard.hints.SetTime(now)
		work.PrefixShares = shard.hints.Match(blockKeys(r.blocks))
	}
	shard.queued[r.id] = r
	r.shard = i
	d := shard.state.Admit(now, work)
	s.countTraffic(shard, &rudderpeer.GrantRequest{Shard: shard.info.ID(), Work: s.slotWork(r), DeadlineMs: 2000},
		&rudderpeer.GrantResponse{Group: d.Group, Leader: "10.0.0.1:8000", Load: 0.5})
	load := shard.state.Load()
	s.m.after(messageDelay, func() { s.loads[r.host][i] = load })
	if d.Kind != rudderadmission.Queued {
		s.applyDecision(shard, d, tried)
	}
}

// applyDecision carries out a decision of an owner. A request refused by its first shard is retried at
// another.
func (s *ownerScheme) applyDecision(shard *ownerShard, d rudderadmission.Decision, tried []int) {
	r := shard.queued[d.RequestID]
	delete(shard.queued, d.RequestID)
	if d.Kind == rudderadmission.Granted {
		shard.held[r.id] = r
		if len(r.blocks) > 0 {
			shard.hints.RecordPlacement(d.Group, blockKeys(r.blocks))
			s.choosers[r.host].Hints.SetTime(s.m.wallTime())
			s.choosers[r.host].Hints.RecordPlacement(d.Group, blockKeys(r.blocks))
		}
		s.m.after(messageDelay, func() { s.m.submit(r, s.byGroup[d.Group]) })
		return
	}
	if d.Kind == rudderadmission.Refused && len(tried) < 2 {
		s.m.after(messageDelay, func() { s.requestSlot(r, tried) })
		return
	}
	r.abandoned, r.refused = true, d.Kind == rudderadmission.Refused
}

func (s *ownerScheme) applyDecisions(shard *ownerShard, decisions []rudderadmission.Decision) {
	for _, d := range decisions {
		s.applyDecision(shard, d, []int{0, 1})
	}
}

// release returns the slot of a finished request to its owner, which may grant it to queued requests.
func (s *ownerScheme) release(r *modelRequest) {
	s.m.after(2*messageDelay, func() {
		shard := s.shards[r.shard]
		delete(shard.held, r.id)
		s.countTraffic(shard, &rudderpeer.ReleaseRequest{Shard: shard.info.ID(), Released: []*rudderpeer.ReleasedSlot{
			{RequestId: s.slotWork(r).RequestId, Tokens: int64(r.tokens)},
		}})
		s.applyDecisions(shard, shard.state.Release(s.m.wallTime(), r.id, rudderadmission.Outcome{Tokens: r.tokens}))
	})
}

// tick lets the owners expire requests and leases, and grant free slots.
func (s *ownerScheme) tick() {
	for _, shard := range s.shards {
		s.applyDecisions(shard, shard.state.Tick(s.m.wallTime()))
	}
}

// distributeLoads sends the loads of all shards to all entry hosts. It also counts the messages of queued
// requests, which poll their owner.
func (s *ownerScheme) distributeLoads() {
	for i, shard := range s.shards {
		load := shard.state.Load()
		for h := range s.loads {
			s.loads[h][i] = load
		}
		for _, r := range shard.queued {
			// A queued request polls after 1, 3 and 7 s, then every 8 s.
			if age := int((s.m.now - r.arrived).Seconds()); age == 1 || age == 3 || age%8 == 7 {
				s.countTraffic(shard, &rudderpeer.GrantRequest{Shard: shard.info.ID(), Work: s.slotWork(r), WaitMs: 8000},
					&rudderpeer.GrantResponse{State: rudderpeer.GrantResponse_QUEUED, Load: 0.5})
			}
		}
	}
}

const renewInterval = rudderadmission.LeaseTTL / 3

// renewLeases renews the leases of each holder with a summary of its slots at each owner. The simulation
// loses no such message, so that full lists are not needed.
func (s *ownerScheme) renewLeases() {
	for _, shard := range s.shards {
		summaries := make([]rudderadmission.Summary, s.m.hosts)
		for id, r := range shard.held {
			summaries[r.host] = summaries[r.host].With(id, 1)
		}
		for h, summary := range summaries {
			if summary.Count > 0 {
				shard.state.Renew(s.m.wallTime(), itoa(h), summary)
				s.countTraffic(shard, &rudderpeer.HeldSlotsRequest{
					Shard: shard.info.ID(), Holder: "entry-000", Count: int32(summary.Count), Summary: summary.Hash,
				}, &rudderpeer.HeldSlotsResponse{LeaseMs: rudderadmission.LeaseTTL.Milliseconds()})
			}
		}
	}
}

// cacheEvents sends cache events to the owners with a delay of one second. One batch in twenty is lost.
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
					shard.hints.SetTime(s.m.wallTime())
					shard.hints.ApplyCacheEvents(g.ID, events)
				}
			}
		}
	})
}

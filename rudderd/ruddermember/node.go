package ruddermember

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderpermit"
	"comfreyrudder.example/shared/rudderpeer"
)

// Time limits of a digest call; a call to another region may take longer.
const (
	digestTimeout       = time.Second
	remoteDigestTimeout = 2 * time.Second
)

// Node is this entry host among its peers: it keeps the registry and the table of digests, pulls from
// others and answers them. Exported fields are set before Run and before the first call is served.
type Node struct {
	Self Member
	// Incarnation is higher than that of any earlier process of this host, for example the tenths of
	// a second since the Unix epoch.
	Incarnation uint32
	Clock       clockwork.Clock
	Peer        Peer
	// Seeds are peer addresses that are asked when the registry is not known.
	Seeds []string
	// Random chooses peers; nil takes a seed from Self and Incarnation.
	Random *rand.Rand

	// Config returns the adopted configuration version, false if there is none.
	Config func() (rudderpermit.Version, bool)
	// Document returns the adopted configuration as stored, nil if there is none.
	Document func() (int64, []byte)
	// Load returns the load to report; may be nil.
	Load func() Load
	// OnConfigSeen is told of a newer configuration version that a peer has; may be nil. It must not
	// block.
	OnConfigSeen func(v rudderpermit.Version, peerAddress string)
	// OnChange is told when the live members or the registry change; may be nil. It must not block.
	OnChange func(live []Member)

	mu        sync.Mutex
	registry  Registry
	table     table
	heartbeat uint32
	leaving   bool
	started   time.Time
	round     int
	reported  []Member
	reportedV int64
	pulling   map[string]bool
}

// Run gossips until the context ends and its pulls are done.
func (n *Node) Run(ctx context.Context) error {
	n.prepare()
	var pulls sync.WaitGroup
	defer pulls.Wait()
	for {
		n.step(ctx, &pulls)
		n.mu.Lock()
		wait := GossipInterval*9/10 + time.Duration(n.Random.Int64N(int64(GossipInterval/5)))
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.Clock.After(wait):
		}
	}
}

// prepare sets what the first step or call needs.
func (n *Node) prepare() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pulling != nil {
		return
	}
	n.pulling = map[string]bool{}
	n.started = n.Clock.Now()
	if n.Random == nil {
		n.Random = rand.New(rand.NewPCG(uint64(memberID(n.Self.Name)), uint64(n.Incarnation)))
	}
}

// step advances the heartbeat and starts the pulls of a round.
func (n *Node) step(ctx context.Context, pulls *sync.WaitGroup) {
	n.AdvanceHeartbeat()
	n.mu.Lock()
	peers := choosePeers(n.view(), n.Seeds, n.round, n.Random)
	n.round++
	n.mu.Unlock()
	pulls.Go(func() { n.pullAll(ctx, peers, pulls) })
	n.report()
}

// pullAll spreads the pulls of a round over the interval. Pulls at the same time would each return
// the same news.
func (n *Node) pullAll(ctx context.Context, peers []string, pulls *sync.WaitGroup) {
	for i, address := range peers {
		if i > 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.Clock.After(GossipInterval * 9 / 10 / time.Duration(len(peers))):
			}
		}
		pulls.Go(func() { n.pull(ctx, address) })
	}
}

// AdvanceHeartbeat takes a new snapshot of this member at once. Call it after a change of the configuration
// version, so that peers see it before the next round.
func (n *Node) AdvanceHeartbeat() {
	config, hasConfig := n.Config()
	var load Load
	if n.Load != nil {
		load = n.Load()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeat++
	now := n.Clock.Now()
	n.table.merge(Entry{
		name: n.Self.Name, incarnation: n.Incarnation, heartbeat: n.heartbeat,
		config: config, hasConfig: hasConfig, registry: n.registry.Version,
		load: load, leaving: n.leaving, observed: now,
	}, now)
}

// Leave marks this member as leaving in its digests.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.AdvanceHeartbeat()
}

// pull asks one peer for what this node lacks.
func (n *Node) pull(ctx context.Context, address string) {
	n.mu.Lock()
	if n.pulling[address] {
		n.mu.Unlock()
		return
	}
	n.pulling[address] = true
	q := digestRequest(n.registry, &n.table, n.Self.Region)
	timeout := n.timeout(address)
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.pulling, address)
		n.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := n.Clock.Now()
	d, err := n.Peer.Digest(ctx, address, q)
	if err != nil {
		return // silence is noticed by the missing heartbeats
	}
	n.absorb(address, d, sent)
}

func (n *Node) timeout(address string) time.Duration {
	for _, m := range n.registry.Members {
		if m.PeerAddress == address && m.Region == n.Self.Region {
			return digestTimeout
		}
	}
	return remoteDigestTimeout
}

// absorb takes over what a peer answered.
func (n *Node) absorb(address string, d *rudderpeer.DigestResponse, sent time.Time) {
	n.AdoptRegistry(d.Registry)
	n.mu.Lock()
	now := n.Clock.Now()
	for _, e := range entriesOf(n.registry, d, sent) {
		if e.name == n.Self.Name {
			// An entry of an earlier process of this host must not outlive this one's.
			if e.incarnation > n.Incarnation {
				n.Incarnation = e.incarnation + 1
			}
			continue
		}
		n.table.merge(e, now)
	}
	n.mu.Unlock()
	n.seen(rudderpermit.Version{Number: d.ConfigVersion, Hash: d.ConfigHash}, address)
	n.report()
}

func (n *Node) seen(v rudderpermit.Version, address string) {
	if own, _ := n.Config(); v.Number > own.Number && n.OnConfigSeen != nil {
		n.OnConfigSeen(v, address)
	}
}

// AdoptRegistry takes over an encoded registry if it is newer than the known one, and reports whether
// it did. An invalid value is ignored.
func (n *Node) AdoptRegistry(raw []byte) bool {
	if len(raw) == 0 {
		return false
	}
	r, err := ParseRegistry(raw)
	if err != nil {
		return false
	}
	n.mu.Lock()
	newer := r.Version > n.registry.Version
	if newer {
		n.registry = r
		n.table.keep(r)
	}
	n.mu.Unlock()
	if newer {
		n.prepare()
		n.AdvanceHeartbeat()
		n.report()
	}
	return newer
}

// report calls OnChange if the live members or the registry changed since the last call.
func (n *Node) report() {
	n.mu.Lock()
	live := n.view().live()
	changed := n.reportedV != n.registry.Version || !slices.Equal(live, n.reported)
	n.reported, n.reportedV = live, n.registry.Version
	n.mu.Unlock()
	if changed && n.OnChange != nil {
		n.OnChange(slices.Clone(live))
	}
}

func (n *Node) view() view {
	return view{self: n.Self, registry: n.registry, table: &n.table, started: n.started, now: n.Clock.Now()}
}

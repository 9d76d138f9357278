package ruddermember

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"comfreyrudder.example/rudderd/rudderpermit"
	"comfreyrudder.example/shared/rudderpeer"
)

var digestStart = time.Unix(1_800_000_000, 0)

func entry(name string, incarnation, heartbeat uint32, age time.Duration) Entry {
	return Entry{
		name: name, incarnation: incarnation, heartbeat: heartbeat, hasConfig: true,
		config: rudderpermit.Version{Number: 7, Hash: 70}, registry: 3,
		load: Load{InFlight: 5, QueuePermille: 100}, observed: digestStart.Add(-age),
	}
}

// Guards against an encoding that loses a field, and against an age that does not include the round trip.
func TestDigestCarriesEntriesWithAges(t *testing.T) {
	r := registryOf("a", "b", "c")
	var sender table
	first, second := entry("a", 9, 4, 0), entry("b", 8, 300, 2*time.Second)
	second.config, second.leaving, second.registry = rudderpermit.Version{Number: 6, Hash: 60}, true, 2
	third := Entry{name: "c", incarnation: 1, heartbeat: 1, observed: digestStart}
	for _, e := range []Entry{first, second, third} {
		sender.merge(e, digestStart)
	}
	d := digestResponse(r, &sender, first, &rudderpeer.DigestRequest{}, digestStart)
	raw, err := proto.Marshal(d)
	require.NoError(t, err)
	var received rudderpeer.DigestResponse
	require.NoError(t, proto.Unmarshal(raw, &received))
	sent := digestStart.Add(time.Hour) // the clocks of the two hosts may differ
	got := decodeEntries(r, &received, sent)
	require.Len(t, got, 3)
	for i, want := range []Entry{first, second, third} {
		age := want.Age(digestStart) + time.Millisecond
		want.observed = sent.Add(-age)
		require.Equal(t, want, got[i])
	}
	require.Empty(t, decodeEntries(registryOf("x"), &received, sent), "members that are not registered are skipped")
}

// Guards against digests that send entries which the puller has, or omit entries which it lacks.
func TestDeltaLeavesOutWhatThePullerHas(t *testing.T) {
	remote := registryOf("a", "b", "c", "d", "e")
	remote.Members[4].Region = "far"
	var sender, puller table
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		sender.merge(entry(name, 5, 200, 0), digestStart)
		puller.merge(entry(name, 5, 200, 0), digestStart)
	}
	sender.merge(entry("b", 5, 201, 0), digestStart) // advanced
	puller.merge(entry("c", 5, 203, 0), digestStart) // the puller is ahead
	sender.merge(entry("e", 5, 202, 0), digestStart) // too small a lead for another region
	delete(puller.entries, memberID("d"))
	ids := func() []uint32 {
		self := sender.entries[memberID("a")]
		return digestResponse(remote, &sender, self, digestRequest(remote, &puller, ""), digestStart).Members
	}
	require.Equal(t, []uint32{memberID("a"), memberID("b"), memberID("d")}, ids(), "the sender's own entry is always sent")
	sender.merge(entry("e", 5, 200+minRemoteLead, 0), digestStart)
	require.Contains(t, ids(), memberID("e"))
}

// Guards against a relayed snapshot that takes on the age of another snapshot of the same member.
func TestMergeKeepsSnapshotsWhole(t *testing.T) {
	var s table
	require.True(t, s.merge(entry("a", 5, 10, 3*time.Second), digestStart))
	require.False(t, s.merge(entry("a", 5, 9, 0), digestStart), "an older heartbeat with a smaller age")
	require.Equal(t, 3*time.Second, s.entries[memberID("a")].Age(digestStart))
	require.False(t, s.merge(entry("a", 5, 10, time.Second), digestStart))
	require.Equal(t, time.Second, s.entries[memberID("a")].Age(digestStart), "the same snapshot tightens the age")
	require.False(t, s.merge(entry("a", 4, 99, 0), digestStart), "an earlier process")
	require.True(t, s.merge(entry("a", 6, 1, 0), digestStart), "a later process")
}

// Guards against members that stay live without heartbeats, and against members of other regions that are
// suspected as early as those of the own region although their digests arrive less often.
func TestLiveness(t *testing.T) {
	r := registryOf("near", "far", "self", "leaving", "unheard")
	v := view{registry: r, table: &table{}, started: digestStart, now: digestStart}
	for i, m := range r.Members {
		if m.Name == "far" {
			r.Members[i].Region = "other"
		}
		if m.Name == "self" {
			v.self = m
		}
		e := entry(m.Name, 1, 1, 0)
		e.leaving = m.Name == "leaving"
		if m.Name != "unheard" {
			v.table.merge(e, digestStart)
		}
	}
	cases := []struct {
		after time.Duration
		want  []string
	}{
		{SuspectAfter, []string{"far", "near", "self"}},
		{SuspectAfter + 1, []string{"far", "self"}},
		{SuspectRemoteAfter + 1, []string{"self"}},
	}
	for _, c := range cases {
		v.now = digestStart.Add(c.after)
		var names []string
		for _, m := range v.live() {
			names = append(names, m.Name)
		}
		require.Equal(t, c.want, names, c.after)
	}
}

// Guards against pulling from other regions as often as from the own one, and against a host without a
// registry that does not pull from its seeds.
func TestChoosePeers(t *testing.T) {
	r := registryOf("a", "b", "c", "d", "e", "f")
	for i := range r.Members {
		if i >= 3 {
			r.Members[i].Region = "other"
		}
	}
	v := view{self: r.Members[0], registry: r, table: &table{}, started: digestStart, now: digestStart}
	random := rand.New(rand.NewPCG(1, 2))
	near, far := 0, 0
	for round := 1; round <= 300; round++ {
		for _, a := range choosePeers(v, []string{"seed"}, round, random) {
			m, _ := r.Member(a)
			switch {
			case a == "seed":
			case m.Region == v.self.Region:
				near++
			default:
				far++
			}
			require.NotEqual(t, "a", a, "itself")
		}
	}
	require.GreaterOrEqual(t, near, oldestPulls*300)
	require.Equal(t, 300/remoteRounds, far)
	require.Equal(t, []string{"seed"}, choosePeers(view{self: r.Members[0], table: &table{}}, []string{"seed"}, 1, random))
}

package rudderowner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderconfig"
)

// fleet is a set of entry hosts that call each other over HTTP and have one shard of groups.
type fleet struct {
	owners  []*Owner
	members atomic.Pointer[[]ruddermember.Member]
	holders atomic.Pointer[[]ruddermember.Member] // nil means members
	servers []*httptest.Server
}

func newFleet(t *testing.T, hosts int, groups ...rudderrouter.Group) *fleet {
	return newFleetAt(t, clockwork.NewRealClock(), hosts, groups...)
}

func newFleetAt(t *testing.T, clock clockwork.Clock, hosts int, groups ...rudderrouter.Group) *fleet {
	f := &fleet{}
	var members []ruddermember.Member
	for i := range hosts {
		o := &Owner{
			Clock: clock, HTTPClient: http.DefaultClient, Logger: zerolog.Nop(),
			Members: func() []ruddermember.Member { return *f.members.Load() },
			Holders: func() []ruddermember.Member {
				if holders := f.holders.Load(); holders != nil {
					return *holders
				}
				return *f.members.Load()
			},
			Groups: func() []rudderrouter.Group { return groups },
		}
		server := httptest.NewServer(o.Handler())
		t.Cleanup(server.Close)
		o.Self = ruddermember.Member{
			Name: fmt.Sprint("entry-", i), PeerAddress: strings.TrimPrefix(server.URL, "http://"), Region: "r",
		}
		members = append(members, o.Self)
		f.owners = append(f.owners, o)
		f.servers = append(f.servers, server)
	}
	f.members.Store(&members)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, hosts)
	for _, o := range f.owners {
		go func() { _ = o.Run(ctx); done <- struct{}{} }()
	}
	t.Cleanup(func() {
		cancel()
		for range hosts {
			<-done
		}
	})
	return f
}

// roles returns the first two in rank for the only shard and a host that is neither.
func (f *fleet) roles() (first, second, other *Owner) {
	shards := rudderrouter.BuildShards(f.owners[0].Groups())
	ranked := rudderrouter.RankOwners(shards, *f.members.Load())[shards[0].ID()]
	for _, o := range f.owners {
		switch o.Self.Name {
		case ranked[0].Name:
			first = o
		case ranked[1].Name:
			second = o
		default:
			other = o
		}
	}
	return first, second, other
}

func work(id string) Work {
	return Work{
		RequestID: id, Workspace: "w", Wanted: rudderrouter.Requirements{Firm: "f", Model: "m", Workspace: "w"},
		Class: rudderconfig.ClassShort, Tokens: 20,
	}
}

func group(id string, slots int) rudderrouter.Group {
	return rudderrouter.Group{ID: id, Firm: "f", Model: "m", Region: "r", Slots: slots, Leader: id + ":1"}
}

// Guards against a queued request that is not served when another host releases a slot, against a wait past the
// deadline, and against a request without a group that waits.
func TestAcquireWaitsAndReleases(t *testing.T) {
	f := newFleet(t, 3, group("g", 1))
	_, second, other := f.roles()
	ctx := context.Background()
	slot, err := other.Acquire(ctx, work("a"))
	require.NoError(t, err)
	require.Equal(t, "g:1", slot.Leader())
	require.False(t, slot.Local())
	got := make(chan error, 1)
	go func() {
		_, err := second.Acquire(ctx, work("b"))
		got <- err
	}()
	select {
	case err := <-got:
		t.Fatal("two requests hold one slot", err)
	case <-time.After(100 * time.Millisecond):
	}
	slot.Release(Outcome{Tokens: 20})
	require.NoError(t, <-got)

	late := work("c")
	late.Deadline = time.Now().Add(1400 * time.Millisecond)
	begin := time.Now()
	_, err = other.Acquire(ctx, late)
	require.ErrorIs(t, err, ErrDeadline)
	require.Less(t, time.Since(begin), 2*time.Second)
	cancelled, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	begin = time.Now()
	_, err = other.Acquire(cancelled, work("d"))
	require.ErrorIs(t, err, ErrDeadline)
	require.Less(t, time.Since(begin), 200*time.Millisecond, "the final answer is not held back")

	unknown := work("e")
	unknown.Wanted.Model = "other"
	_, err = other.Acquire(ctx, unknown)
	require.ErrorIs(t, err, ErrNoGroup)
}

// Guards against slots of an entry host that is leaving which are granted again while its requests run, and against slots
// that are kept when it has left.
func TestSlotsOfLeavingHostAreKept(t *testing.T) {
	f := newFleet(t, 3, group("g", 1))
	first, _, other := f.roles()
	_, err := other.Acquire(context.Background(), work("a"))
	require.NoError(t, err)
	members := *f.members.Load()
	staying := slices.DeleteFunc(slices.Clone(members), func(m ruddermember.Member) bool { return m.Name == other.Self.Name })
	f.holders.Store(&members)
	f.members.Store(&staying)
	time.Sleep(2 * viewInterval)
	waits := work("b")
	waits.Deadline = time.Now().Add(500 * time.Millisecond)
	_, err = first.Acquire(context.Background(), waits)
	require.ErrorIs(t, err, ErrDeadline)

	f.holders.Store(&staying)
	time.Sleep(2 * viewInterval)
	_, err = first.Acquire(context.Background(), work("c"))
	require.NoError(t, err)
}

// Guards against an outage of the owner that stops admission, and against a new owner that grants slots which
// are still held.
func TestOwnerDies(t *testing.T) {
	f := newFleet(t, 3, group("g", 2))
	first, second, other := f.roles()
	ctx := context.Background()
	kept, err := other.Acquire(ctx, work("a"))
	require.NoError(t, err)
	for i, o := range f.owners {
		if o == first {
			f.servers[i].Close()
		}
	}
	local, err := other.Acquire(ctx, work("b"))
	require.NoError(t, err)
	require.True(t, local.Local())
	_, err = other.Acquire(ctx, work("c"))
	require.ErrorIs(t, err, ErrRefused)
	require.Positive(t, RetryAfter(err))

	var rest []ruddermember.Member
	for _, m := range *f.members.Load() {
		if m.Name != first.Self.Name {
			rest = append(rest, m)
		}
	}
	f.members.Store(&rest)
	require.Eventually(t, func() bool {
		for _, load := range second.OwnedLoads() {
			return load == 1
		}
		return false
	}, 2*time.Second, 20*time.Millisecond, "both slots are registered with the new owner")
	kept.Release(Outcome{})
	local.Release(Outcome{})
	require.Eventually(t, func() bool {
		for _, load := range second.OwnedLoads() {
			return load == 0
		}
		return false
	}, time.Second, 20*time.Millisecond)
}

// Guards against a request that keeps waiting at an owner that has left the member list.
func TestWaitEndsWithTheOwner(t *testing.T) {
	f := newFleet(t, 3, group("g", 1))
	first, second, other := f.roles()
	slot, err := other.Acquire(context.Background(), work("a"))
	require.NoError(t, err)
	waiting := work("b")
	waiting.Tokens = 1
	waiting.Deadline = time.Now().Add(20 * time.Second)
	got := make(chan error, 1)
	go func() {
		_, err := other.Acquire(context.Background(), waiting)
		got <- err
	}()
	time.Sleep(100 * time.Millisecond)
	f.members.Store(&[]ruddermember.Member{second.Self, other.Self})
	select {
	case err = <-got:
		require.ErrorIs(t, err, ErrRefused, "the only slot is held")
	case <-time.After(2 * time.Second):
		t.Fatal("still waits at ", first.Self.Name)
	}
	slot.Release(Outcome{})
}

// Guards against retries that multiply the load when shards refuse work.
func TestRetryBudget(t *testing.T) {
	now, b, taken := time.Unix(0, 0), retryBudget{}, 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		b.addRequest(now)
		if b.take() {
			taken++
		}
	}
	require.InDelta(t, 0.1*1000+1, taken, 2)
}

// Guards against work on an unconfirmed group: an owner grants only slots of groups that it has confirmed,
// and an entry host that cannot reach the owner queries the members itself.
func TestOnlyConfirmedGroupsServe(t *testing.T) {
	confirmedAt := map[string]bool{} // by entry host; set before calls
	f := newFleet(t, 3, group("g", 2))
	first, second, other := f.roles()
	confirmCalls := 0
	for _, o := range f.owners {
		groups := o.Groups
		o.mu.Lock()
		o.Groups = func() []rudderrouter.Group {
			g := groups()[0]
			g.Unconfirmed = !confirmedAt[o.Self.Name]
			return []rudderrouter.Group{g}
		}
		o.view = view{}
		o.mu.Unlock()
	}
	_, err := other.Acquire(context.Background(), work("a"))
	require.Error(t, err, "neither the owner nor this entry host has confirmed the group")

	change := func(o *Owner) {
		for _, o := range f.owners {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.view = view{}
		}
		confirmedAt[o.Self.Name] = true
	}
	change(first)
	slot, err := other.Acquire(context.Background(), work("b"))
	require.NoError(t, err)
	require.False(t, slot.Local(), "the owner's grant is enough")

	f.servers[slices.Index(f.owners, first)].Close()
	_, err = other.Acquire(context.Background(), work("c"))
	require.Error(t, err, "no owner, and this entry host cannot ask the members")
	other.mu.Lock()
	other.Confirm = func(context.Context, string) bool {
		confirmCalls++
		change(other)
		return true
	}
	other.mu.Unlock()
	slot, err = other.Acquire(context.Background(), work("d"))
	require.NoError(t, err)
	require.True(t, slot.Local())
	require.Equal(t, 1, confirmCalls)
	require.NotEqual(t, first, second)
}

// Guards against work that changes when it is encoded for the owner. A holder that is left out of the message
// and derived wrongly from the request ID would lose its slots with another host's.
func TestWireKeepsWork(t *testing.T) {
	o := &Owner{Self: ruddermember.Member{Name: "entry-1"}}
	for _, id := range []string{"entry-1.abc#1", "entry-2.abc#1", "entry-1", ""} {
		w := work(id)
		w.Class, w.Preset, w.Tokens = rudderconfig.ClassLong, rudderconfig.PresetCrestFirst, 900
		got := workFromWire(o.workToWire(w))
		require.Equal(t, rudderadmission.Work{
			RequestID: id, Holder: "entry-1", Workspace: "w", Preset: w.Preset, Class: w.Class, Tokens: 900,
		}, got)
	}
}

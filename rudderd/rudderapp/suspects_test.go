package rudderapp

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderstream"
)

func newSuspects() *suspects {
	return &suspects{tracker: rudderpoison.NewTracker(maxDeaths), parts: rudderpoison.NewPartTracker()}
}

// Guards against chat requests that share a message which crashes engines, and are otherwise all different.
func TestSharedMessageIsBlocked(t *testing.T) {
	now := time.Now()
	parts := []rudderpoison.Part{"model/rules"}
	anyHost, noHost := func(rudderpoison.Part) bool { return true }, func(rudderpoison.Part) bool { return false }
	s := newSuspects()
	for i, target := range []string{"g1", "g2"} {
		require.Nil(t, s.blocked(now, parts, anyHost))
		s.recordCrash(now, rudderpoison.Crash{Target: target, Suspects: []rudderpoison.SuspectRequest{{Request: rudderpoison.Fingerprint(i), Parts: parts}}})
		now = now.Add(time.Second)
	}
	block := s.blocked(now, parts, anyHost)
	require.NotNil(t, block)
	require.NotNil(t, s.blocked(block.NextTrial, parts, noHost), "another entry host lets the trial pass")
	require.Nil(t, s.blocked(block.NextTrial, parts, anyHost), "one request passes as a trial")
	require.NotNil(t, s.blocked(block.NextTrial, parts, anyHost))
	require.Equal(t, []string{"model/rules"}, s.survived(block.NextTrial, parts))
	require.Nil(t, s.blocked(block.NextTrial, parts, noHost))
}

// Guards against an entry host that keeps a suspicion which another one has refuted.
func TestRefutedSuspicionEnds(t *testing.T) {
	now := time.Now()
	parts := []rudderpoison.Part{"model/rules"}
	s := newSuspects()
	for i, target := range []string{"g1", "g2"} {
		s.recordCrash(now.Add(time.Duration(i)*time.Second), rudderpoison.Crash{Target: target, Suspects: []rudderpoison.SuspectRequest{{Request: rudderpoison.Fingerprint(i), Parts: parts}}})
	}
	require.NotNil(t, s.blocked(now, parts, func(rudderpoison.Part) bool { return false }))
	s.applySound([]string{"model/rules"})
	require.Nil(t, s.blocked(now, parts, func(rudderpoison.Part) bool { return false }))
}

// Guards against answers of a lost group that wait for each other although each of them goes on elsewhere, and against a request
// that is no longer suspected because another one with the same prompt has begun.
func TestSurvivingAnswersMayShareAGroup(t *testing.T) {
	for _, test := range []struct {
		name   string
		deaths int
		avoids []string
	}{{"goes on after the death of its group", 1, nil}, {"begins", 0, []string{"left"}}} {
		t.Run(test.name, func(t *testing.T) {
			a, now := &App{Clock: clockwork.NewRealClock()}, time.Now()
			a.suspects.tracker, a.suspects.parts = rudderpoison.NewTracker(maxDeaths), rudderpoison.NewPartTracker()
			a.suspects.record(now, rudderpoison.Death{Group: "lost", Domain: "a", AtUnixMS: now.UnixMilli(), InFlight: []rudderpoison.Fingerprint{1, 2}})
			a.suspects.started("left", 1)
			a.recordSurvival(rudderstream.Request{Fingerprint: 1, Deaths: test.deaths})
			_, groups := a.suspects.avoid(now, 2)
			require.Equal(t, test.avoids, groups)
		})
	}
}

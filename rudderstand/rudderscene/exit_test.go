package rudderscene

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

const (
	// gossipMargin is the time for which a stopping entry host serves after its lifetime in the callers' lists.
	gossipMargin = 5 * time.Second
	// exitLimit is the documented bound of the time between the end of the grace time and that of the process.
	exitLimit = 15 * time.Second
)

// Guards against a stopping entry host that outlives its time by calls to a key-value service that does not answer, and is killed by
// whoever stops it.
func TestStopEndsWithoutTheKeyValueService(t *testing.T) {
	const lifetime, grace = time.Second, 500 * time.Millisecond
	location := Location{rudderfleetstand.RegionKigali, "kigali-1"}
	s := &stopScene{Scene: &Scene{
		Fleet: &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small(), Tune: func(_ *rudderengine.Engine, b *rudderbackend.Backend) {
			if b != nil {
				b.SetDelay(time.Minute)
			}
		}},
		Locations: []Location{location, location},
		Settings:  map[string]string{"stop-grace": grace.String(), "entry-lifetime": lifetime.String()},
	}, results: map[string][]ruddercaller.Result{}}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start())
	awaitAnswers(t, s.Scene)
	s.start("cut", 3000, true)
	s.start("cut", 0, false)
	time.Sleep(500 * time.Millisecond) // until both run
	s.Fleet.KV.SetUnresponsive(true)
	begin := time.Now()
	require.NoError(t, s.Entries()[0].Stop())
	took := time.Since(begin)
	s.running.Wait()
	require.Less(t, took, lifetime+gossipMargin+grace+exitLimit)
}

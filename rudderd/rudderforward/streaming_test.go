package rudderforward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
)

// Guards against a target that counts as alive because of a stream that has ended or is silent, and against the reverse.
func TestStreaming(t *testing.T) {
	for _, test := range []struct {
		name   string
		events bool
		since  time.Duration // last event
		ended  bool
		born   int64
		want   bool
	}{
		{"events", true, 0, false, 1, true},
		{"no event yet", false, 0, false, 1, false},
		{"silent", true, eventSilence, false, 1, false},
		{"ended", true, 0, true, 1, false},
		{"another incarnation", true, 0, false, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Minute
			f := &Forwarder{Uptime: func() time.Duration { return now }}
			leader := &rudderview.Target{Host: rudderhost.Host{Name: "t"}, Born: 1}
			f.watchdogs.Store(&watchdog{forwarder: f, group: &rudderview.Group{Leader: leader}, events: test.events, lastEvent: now - test.since, ended: test.ended}, true)
			require.Equal(t, test.want, f.Streaming(&rudderview.Target{Host: rudderhost.Host{Name: "t"}, Born: test.born}))
		})
	}
}

package rudderkv

import (
	"strings"
	"time"
)

// faults holds the fault switches that are set.
type faults struct {
	down         bool
	unresponsive bool
	delay        time.Duration
	dropNext     int             // number of write responses still to drop
	dropPrefixes map[string]bool // key prefixes whose write responses are dropped
	blocked      map[string]bool // by client name
}

// SetDown makes the service refuse every call with ErrUnavailable, or ends that. Open watches are refused
// too. Leases still expire by the clock while the service is down.
func (s *Server) SetDown(down bool) {
	s.setFault(func(f *faults) { f.down = down })
}

// SetUnresponsive makes the service accept calls without executing or answering them, or ends that.
// Callers wait until their own timeout.
func (s *Server) SetUnresponsive(unresponsive bool) {
	s.setFault(func(f *faults) { f.unresponsive = unresponsive })
}

// SetDelay delays every call. A delayed write takes effect after the delay even if its caller has timed
// out.
func (s *Server) SetDelay(delay time.Duration) {
	s.setFault(func(f *faults) { f.delay = delay })
}

// DropResponses drops the responses of the next count writes after they took effect.
func (s *Server) DropResponses(count int) {
	s.setFault(func(f *faults) { f.dropNext = count })
}

// DropResponsesUnder drops the responses of all writes to keys under a prefix after they took effect, or
// ends that.
func (s *Server) DropResponsesUnder(prefix string, drop bool) {
	s.setFault(func(f *faults) { setMember(f.dropPrefixes, prefix, drop) })
}

// SetClientBlocked makes the service refuse all calls of the client with this name
// (rudderstore.HeaderClient), or ends that.
func (s *Server) SetClientBlocked(client string, blocked bool) {
	s.setFault(func(f *faults) { setMember(f.blocked, client, blocked) })
}

// ClearFaults ends all faults.
func (s *Server) ClearFaults() {
	s.setFault(func(f *faults) {
		*f = faults{dropPrefixes: map[string]bool{}, blocked: map[string]bool{}}
	})
}

func setMember(set map[string]bool, name string, member bool) {
	if member {
		set[name] = true
		return
	}
	delete(set, name)
}

func (s *Server) setFault(change func(f *faults)) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.wake()
}

// dropsResponse reports whether the response of a write to a key is dropped, and counts it down.
func (f *faults) dropsResponse(key string) bool {
	if f.dropNext > 0 {
		f.dropNext--
		return true
	}
	for prefix := range f.dropPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

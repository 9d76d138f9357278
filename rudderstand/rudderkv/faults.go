package rudderkv

import (
	"strings"
	"time"
)

type faults struct {
	down         bool
	silent       bool
	delay        time.Duration
	loseNext     int
	lostPrefixes map[string]bool
	refused      map[string]bool
}

// SetDown makes the service refuse every call with ErrUnavailable, or ends that. Waiting watches are
// refused too. Leases run out by the clock meanwhile.
func (s *Server) SetDown(down bool) {
	s.setFault(func(f *faults) { f.down = down })
}

// SetUnresponsive makes the service take calls without carrying them out or answering, or ends that.
// Callers wait until their own timeout.
func (s *Server) SetUnresponsive(silent bool) {
	s.setFault(func(f *faults) { f.silent = silent })
}

// SetDelay delays every call. A delayed write takes effect after the delay even when its caller has
// given up.
func (s *Server) SetDelay(delay time.Duration) {
	s.setFault(func(f *faults) { f.delay = delay })
}

// DropResponses loses the answers of the next count writes after they took effect.
func (s *Server) DropResponses(count int) {
	s.setFault(func(f *faults) { f.loseNext = count })
}

// DropResponsesUnder loses the answers of all writes to keys under a prefix after they took effect, or
// ends that.
func (s *Server) DropResponsesUnder(prefix string, lose bool) {
	s.setFault(func(f *faults) { setMember(f.lostPrefixes, prefix, lose) })
}

// SetClientBlocked cuts off the client of a name (rudderstore.HeaderClient), or ends that.
func (s *Server) SetClientBlocked(client string, refuse bool) {
	s.setFault(func(f *faults) { setMember(f.refused, client, refuse) })
}

// ClearFaults ends all faults.
func (s *Server) ClearFaults() {
	s.setFault(func(f *faults) {
		*f = faults{lostPrefixes: map[string]bool{}, refused: map[string]bool{}}
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

// loses reports whether the answer of a write to a key is lost, and counts it.
func (f *faults) loses(key string) bool {
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	for prefix := range f.lostPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

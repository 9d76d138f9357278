package rudderswitch

import (
	"sync"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfront"
	"comfreyrudder.example/rudderstand/rudderinventory"
	"comfreyrudder.example/rudderstand/rudderkv"
	"comfreyrudder.example/shared/rudderhost"
)

// Server sets the fault switches of one environment. Set the exported fields before the first call.
type Server struct {
	Hosts          []*Host
	KV             *rudderkv.Server
	KVFront        *rudderfront.Front
	Inventory      *rudderinventory.Inventory
	InventoryFront *rudderfront.Front
	Runs           *rudderengine.Ledger
	Calls          *rudderbackend.Ledger

	mu        sync.Mutex
	snapshots map[string]rudderkv.Snapshot
}

// SetHost sets a switch of one host. It returns ErrUnknown or ErrUnsupported.
func (s *Server) SetHost(name string, f Fault) error {
	return s.setAll(name, f, func(h *Host) bool { return h.Name == name })
}

// SetDomain sets a switch of each host of a fabric domain.
func (s *Server) SetDomain(domain string, f Fault) error {
	return s.setAll(domain, f, func(h *Host) bool { return h.FabricDomain == domain })
}

// SetDataCentre sets a switch of each host of a data centre.
func (s *Server) SetDataCentre(dataCentre string, f Fault) error {
	return s.setAll(dataCentre, f, func(h *Host) bool { return h.DataCentre == dataCentre })
}

// setAll sets a switch of all matching hosts. It continues after an error, so that a fault that only some kinds
// of hosts can have is set on all of those.
func (s *Server) setAll(name string, f Fault, matches func(h *Host) bool) error {
	found := false
	var result error
	for _, h := range s.Hosts {
		if matches(h) {
			found = true
			result = errors.CombineErrors(result, s.set(h, f))
		}
	}
	if !found {
		return errors.Wrapf(ErrUnknown, "%q", name)
	}
	return result
}

func (s *Server) set(h *Host, f Fault) error {
	switch {
	case f.Kind == KindUnlist && f.Off:
		s.Inventory.Put(h.Host)
		return nil
	case f.Kind == KindUnlist:
		s.Inventory.Remove(h.Name)
		return nil
	case f.Kind == KindLeaving && f.Off:
		s.Inventory.SetState(h.Name, rudderhost.StateLive)
	case f.Kind == KindLeaving:
		s.Inventory.SetState(h.Name, rudderhost.StateLeaving)
	}
	return h.Set(f)
}

// SetKV sets a switch of the key-value service.
func (s *Server) SetKV(f Fault) error {
	switch f.Kind {
	case KindDown:
		s.KV.SetDown(!f.Off)
	case KindKill:
		s.KVFront.Kill()
	case KindRestart:
		return s.KVFront.Restart()
	case KindDark:
		s.KVFront.SetIsolated(!f.Off)
	case KindCut:
		s.KVFront.SetBlocked(f.From, !f.Off)
	case KindSilenceOpen:
		s.KVFront.StallConnections()
	case KindDelay:
		s.KV.SetDelay(f.delay())
	case KindLoseAnswers:
		s.dropResponses(f)
	case KindRefuseClient:
		s.KV.SetClientBlocked(f.Client, !f.Off)
	case KindSnapshot:
		s.snapshot(f.Name)
	case KindRestore:
		return s.restore(f.Name)
	case KindClear:
		s.KV.ClearFaults()
		s.KVFront.SetIsolated(false)
		return s.KVFront.Restart()
	default:
		return f.unsupported()
	}
	return nil
}

func (s *Server) dropResponses(f Fault) {
	if f.Prefix != "" {
		s.KV.DropResponsesUnder(f.Prefix, !f.Off)
		return
	}
	if f.Off {
		f.Count = 0
	}
	s.KV.DropResponses(f.Count)
}

func (s *Server) snapshot(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshots == nil {
		s.snapshots = map[string]rudderkv.Snapshot{}
	}
	s.snapshots[name] = s.KV.Snapshot()
}

func (s *Server) restore(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot, found := s.snapshots[name]
	if !found {
		return errors.Wrapf(ErrUnknown, "snapshot %q", name)
	}
	s.KV.Restore(snapshot)
	return nil
}

// SetList sets a switch of the host list.
func (s *Server) SetList(f Fault) error {
	switch f.Kind {
	case KindDown:
		s.Inventory.SetDown(!f.Off)
	case KindDark:
		s.InventoryFront.SetIsolated(!f.Off)
	default:
		return f.unsupported()
	}
	return nil
}

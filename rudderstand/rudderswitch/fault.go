// Package rudderswitch exposes all fault switches of a simulated environment over HTTP. The API is described
// in docs/stand-ins.md.
package rudderswitch

import (
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/shared/rudderhost"
)

// Errors of the switches.
var (
	// ErrUnknown reports a host, domain, data centre or snapshot that does not exist.
	ErrUnknown = errors.New("switch: unknown name")
	// ErrUnsupported reports a fault that the kind of host or service cannot have.
	ErrUnsupported = errors.New("switch: unsupported fault")
)

// Kind is the kind of a fault.
type Kind string

// Faults of hosts.
const (
	KindKill        Kind = "kill"         // close connections, refuse new ones
	KindRestart     Kind = "restart"      // start a new process without weights or a role
	KindPause       Kind = "pause"        // Off resumes
	KindDark        Kind = "dark"         // no traffic, while the process continues; Off ends it
	KindCut         Kind = "cut"          // no traffic with the callers at From; Off ends it
	KindSilenceOpen Kind = "silence_open" // no more traffic on existing connections
	KindLeaving     Kind = "leaving"      // flagged in the status and the host list; Off ends it
	KindUnlist      Kind = "unlist"       // removed from the host list; Off adds it again
)

// Faults of engine hosts only.
const (
	KindStraggle    Kind = "straggle"     // slower by Factor; Off ends it
	KindCrashMarker Kind = "crash_marker" // crash on prompts that contain Marker; Off ends it
	KindMalform     Kind = "malform"      // malformed event in the next Count streams
	KindHang        Kind = "hang"         // requests are accepted and never answered; Off ends it
	KindStaleChunks Kind = "stale_chunks" // duplicates and chunks of earlier attempts; Off ends it
)

// Faults of hosts of plain services only.
const (
	KindKillBeforeRun Kind = "kill_before_run" // at the next Count calls
	KindKillAfterRun  Kind = "kill_after_run"  // at the next Count calls
	KindRunTwice      Kind = "run_twice"       // each call takes effect twice; Off ends it
)

// Faults of the key-value service; the host list has KindDown and KindDark.
const (
	KindDown         Kind = "down"          // refuses all calls; Off ends it
	KindLoseAnswers  Kind = "lose_answers"  // drops responses of Count next writes, or all under Prefix; Off ends it
	KindRefuseClient Kind = "refuse_client" // refuses the client named Client; Off ends it
	KindSnapshot     Kind = "snapshot"      // save the state as Name
	KindRestore      Kind = "restore"       // restore the state saved as Name
	KindClear        Kind = "clear"         // end all faults of the service
)

// KindDelay delays each call of the key-value service or of a plain service by DelayMS.
const KindDelay Kind = "delay"

// Fault is one setting of a switch.
type Fault struct {
	Kind Kind `json:"kind"`
	// Off ends a fault that lasts.
	Off     bool    `json:"off,omitempty"`
	Factor  float64 `json:"factor,omitempty"`
	Marker  string  `json:"marker,omitempty"`
	Count   int     `json:"count,omitempty"`
	DelayMS int64   `json:"delay_ms,omitempty"`
	From    string  `json:"from,omitempty"`
	Client  string  `json:"client,omitempty"`
	Prefix  string  `json:"prefix,omitempty"`
	Name    string  `json:"name,omitempty"`
}

func (f Fault) delay() time.Duration {
	if f.Off {
		return 0
	}
	return time.Duration(f.DelayMS) * time.Millisecond
}

func (f Fault) unsupported() error { return errors.Wrapf(ErrUnsupported, "%q", f.Kind) }

// Host is one target host. Exactly one of Engine and Backend is set.
type Host struct {
	rudderhost.Host
	Engine  *rudderengine.Engine
	Backend *rudderbackend.Backend
}

// target holds the fault switches that engines and services have in common.
type target interface {
	Kill()
	Restart() error
	Pause()
	Resume()
	SetIsolated(isolated bool)
	SetBlocked(ip string, blocked bool)
	StallConnections()
	SetLeaving(leaving bool)
	SetHang(hang bool)
	Alive() bool
	Close()
}

func (h *Host) target() target {
	if h.Engine != nil {
		return h.Engine
	}
	return h.Backend
}

// Alive reports whether the host's process runs, paused or not.
func (h *Host) Alive() bool { return h.target().Alive() }

// Close ends the host.
func (h *Host) Close() { h.target().Close() }

// Set sets one switch of the host. KindLeaving changes only the flag in the host's own status here; the host
// list, and so KindUnlist, is up to Server.
func (h *Host) Set(f Fault) error {
	t := h.target()
	switch f.Kind {
	case KindKill:
		t.Kill()
	case KindRestart:
		return t.Restart()
	case KindPause:
		if f.Off {
			t.Resume()
		} else {
			t.Pause()
		}
	case KindDark:
		t.SetIsolated(!f.Off)
	case KindCut:
		t.SetBlocked(f.From, !f.Off)
	case KindSilenceOpen:
		t.StallConnections()
	case KindLeaving:
		t.SetLeaving(!f.Off)
	case KindHang:
		t.SetHang(!f.Off)
	default:
		if h.Engine != nil {
			return setEngine(h.Engine, f)
		}
		return setBackend(h.Backend, f)
	}
	return nil
}

func setEngine(e *rudderengine.Engine, f Fault) error {
	switch f.Kind {
	case KindStraggle:
		if f.Off {
			f.Factor = 1
		}
		e.SetSlowdown(f.Factor)
	case KindCrashMarker:
		if f.Off {
			f.Marker = ""
		}
		e.SetCrashMarker(f.Marker)
	case KindMalform:
		e.MalformNext(f.Count)
	case KindStaleChunks:
		e.SetStaleChunks(!f.Off)
	default:
		return f.unsupported()
	}
	return nil
}

func setBackend(b *rudderbackend.Backend, f Fault) error {
	switch f.Kind {
	case KindDelay:
		b.SetDelay(f.delay())
	case KindKillBeforeRun:
		b.KillBeforeRun(f.Count)
	case KindKillAfterRun:
		b.KillAfterRun(f.Count)
	case KindRunTwice:
		b.SetRunTwice(!f.Off)
	default:
		return f.unsupported()
	}
	return nil
}

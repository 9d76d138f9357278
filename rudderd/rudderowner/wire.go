package rudderowner

import (
	"strings"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderpeer"
)

// presets and classes map wire values; other values are sent as unset.
var (
	presets = []struct {
		wire   rudderpeer.SlotWork_Preset
		preset rudderconfig.Preset
	}{
		{rudderpeer.SlotWork_WAITING_FIRST, rudderconfig.PresetWaitingFirst},
		{rudderpeer.SlotWork_CREST_FIRST, rudderconfig.PresetCrestFirst},
	}
	classes = []struct {
		wire  rudderpeer.SlotWork_Class
		class rudderconfig.WorkClass
	}{
		{rudderpeer.SlotWork_SHORT, rudderconfig.ClassShort},
		{rudderpeer.SlotWork_LONG, rudderconfig.ClassLong},
	}
)

func workFromWire(w *rudderpeer.SlotWork) rudderadmission.Work {
	work := rudderadmission.Work{
		RequestID: w.GetRequestId(), Holder: w.GetHolder(), Workspace: w.GetWorkspace(),
		Weight: int(w.GetWeight()), Tokens: int(w.GetTokens()), Priority: int(w.GetPriority()), Avoid: w.GetAvoid(),
	}
	if work.Holder == "" {
		work.Holder, _, _ = strings.Cut(work.RequestID, holderSeparator)
	}
	for _, p := range presets {
		if p.wire == w.GetPreset() {
			work.Preset = p.preset
		}
	}
	for _, c := range classes {
		if c.wire == w.GetClass() {
			work.Class = c.class
		}
	}
	return work
}

// holderSeparator ends the entry host's name at the start of a request ID.
const holderSeparator = "."

func (o *Owner) workToWire(w Work) *rudderpeer.SlotWork {
	wire := &rudderpeer.SlotWork{
		RequestId: w.RequestID, Workspace: w.Workspace, Weight: int32(w.Weight), Tokens: int64(w.Tokens),
		Priority: int32(w.Priority), Avoid: w.Avoid, Blocks: w.Blocks,
	}
	if holder, _, named := strings.Cut(w.RequestID, holderSeparator); !named || holder != o.Self.Name {
		wire.Holder = o.Self.Name
	}
	for _, p := range presets {
		if p.preset == w.Preset {
			wire.Preset = p.wire
		}
	}
	for _, c := range classes {
		if c.class == w.Class {
			wire.Class = c.wire
		}
	}
	return wire
}

func toGrantResponse(d rudderadmission.Decision, load float64, limits []*rudderpeer.TargetLimit) *rudderpeer.GrantResponse {
	r := &rudderpeer.GrantResponse{
		Group: d.Group, Leader: d.Leader, Reason: d.Reason, RetryAfterMs: d.RetryAfter.Milliseconds(), Load: load, Limits: limits,
	}
	switch d.Kind {
	case rudderadmission.Queued:
		r.State = rudderpeer.GrantResponse_QUEUED
	case rudderadmission.Granted:
		r.State = rudderpeer.GrantResponse_GRANTED
	case rudderadmission.Refused:
		r.State = rudderpeer.GrantResponse_REFUSED
	case rudderadmission.Expired:
		r.State = rudderpeer.GrantResponse_EXPIRED
	case rudderadmission.NoGroup:
		r.State = rudderpeer.GrantResponse_NO_GROUP
		if d.Reason == notOwner {
			r.State = rudderpeer.GrantResponse_NOT_OWNER
		}
	}
	return r
}

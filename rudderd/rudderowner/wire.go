package rudderowner

import (
	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderpeer"
)

func workFromWire(w *rudderpeer.SlotWork) rudderadmission.Work {
	return rudderadmission.Work{
		RequestID: w.GetRequestId(), Holder: w.GetHolder(), Workspace: w.GetWorkspace(),
		Weight: int(w.GetWeight()), Preset: rudderconfig.Preset(w.GetPreset()),
		Class: rudderconfig.WorkClass(w.GetClass()), Tokens: int(w.GetTokens()),
		Priority: int(w.GetPriority()), Avoid: w.GetAvoid(),
	}
}

func (o *Owner) workToWire(w Work) *rudderpeer.SlotWork {
	return &rudderpeer.SlotWork{
		RequestId: w.RequestID, Holder: o.Self.Name, Workspace: w.Workspace, Weight: int32(w.Weight),
		Preset: string(w.Preset), Class: string(w.Class), Tokens: int64(w.Tokens),
		Priority: int32(w.Priority), Avoid: w.Avoid, Blocks: w.Blocks,
	}
}

func answer(d rudderadmission.Decision, load float64) *rudderpeer.GrantResponse {
	r := &rudderpeer.GrantResponse{
		Group: d.Group, Leader: d.Leader, Reason: d.Reason, RetryAfterMs: d.RetryAfter.Milliseconds(), Load: load,
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

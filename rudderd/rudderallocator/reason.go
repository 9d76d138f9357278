package rudderallocator

// Code is the machine-readable part of a Reason.
type Code string

// Codes for plan changes and orders.
const (
	CodeFormed          Code = "formed"
	CodeReady           Code = "ready"
	CodeReleased        Code = "released"
	CodeMemberDead      Code = "member_dead"
	CodeMemberRestarted Code = "member_restarted"
	CodeOtherRole       Code = "other_role"
	CodeSelectorRemoved Code = "selector_removed"
	CodeSelectorChanged Code = "selector_changed"
	CodeWindowClosed    Code = "window_closed"
	CodeLeaving         Code = "leaving"
	CodeSurplus         Code = "surplus"
	CodeStaleRole       Code = "stale_role"
	CodePreload         Code = "preload"
	CodeLoadTimeout     Code = "load_timeout"
	CodeFence           Code = "fence"
)

// Codes that appear in explanations only.
const (
	CodeServing     Code = "serving"
	CodeLoading     Code = "loading"
	CodeDraining    Code = "draining"
	CodeUnknownHost Code = "unknown_host"
	CodeNoReport    Code = "no_report"
	CodeNoMatch     Code = "no_match"
	CodeNoRoom      Code = "no_room"
	CodeEnough      Code = "enough_groups"
	CodeRemainder   Code = "remainder"
	CodeEvacuated   Code = "evacuated"
)

// Reason explains a plan change, an order or the state of a host. Text is written for operators.
type Reason struct {
	Code  Code   `json:"code"`
	Group string `json:"group,omitempty"`
	Host  string `json:"host,omitempty"`
	Text  string `json:"text"`
}

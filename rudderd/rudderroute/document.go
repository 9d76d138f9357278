// Package rudderroute holds the routing document of an entry host: which request goes to which service, under
// which limits, and who may send it. A Table is immutable and safe for concurrent use.
package rudderroute

import (
	"time"
)

// Kind determines how often a request may run.
type Kind string

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindAtMostOnce requests run at most once.
	KindAtMostOnce Kind = "at_most_once"
	// KindStream requests are answered by numbered events. They run at most once unless the route is
	// resumable.
	KindStream Kind = "stream"
)

// Share assigns a part of a route's requests, by weight, to one service.
type Share struct {
	Service string
	Weight  int
}

// Route describes where the requests for a path prefix of one host name are sent.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take in total; 0 sets no limit.
	Timeout time.Duration
	// Objective is the time to the first byte of an answer that callers want.
	Objective time.Duration
	// GapObjective is the longest time between two events of a stream that callers want.
	GapObjective time.Duration
	// CallerIdleTimeout is the longest time between two events, or before the first one, after which callers
	// leave a stream; 0 if it is not known.
	CallerIdleTimeout time.Duration
	Priority          int
	Shares            []Share
	// MaxAttempts is the largest number of targets to which one request is sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be resumed at another target after the last delivered event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Model is a model that an engine service can serve.
type Model struct {
	Name string
	// Size is the number of hosts that together run one replica.
	Size int
	// Share is the model's initial share of the work, 0 to 1.
	Share float64
	// TimeFactor multiplies all times of the model's groups.
	TimeFactor float64
	// LoadTime is the time that one host takes to fetch the weights from the weight store, StagedLoadTime the
	// time from its own staging area.
	LoadTime, StagedLoadTime time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots  int
	Models []Model
	// LoadsPerSecond and LoadsAtOnce bound the loads from the weight store: how many may start per second,
	// and how many can run at full speed.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// FormTime is the time from the order to open a group until the group serves.
	FormTime time.Duration
	// TokensPerEvent is the number of tokens in one event of a stream; 0 if it is not known.
	TokensPerEvent int
	// PromptTokensPerSecond is the prefill rate of a group at a TimeFactor of 1. A token of an answer takes
	// Step, plus StepPerRequest for each running request.
	PromptTokensPerSecond float64
	Step, StepPerRequest  time.Duration
	// MaxStagedModels is the number of models whose weights one host can keep staged.
	MaxStagedModels int
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Cost returns the time that a group of a model needs for a request when its batch is full.
func (e *Engine) Cost(m Model, promptTokens, answerTokens int) time.Duration {
	pace := m.TimeFactor
	if pace <= 0 {
		pace = 1
	}
	cost := time.Duration(answerTokens) * (e.Step/time.Duration(max(e.Slots, 1)) + e.StepPerRequest)
	if e.PromptTokensPerSecond > 0 {
		cost += time.Duration(float64(promptTokens) / e.PromptTokensPerSecond * float64(time.Second))
	}
	return time.Duration(float64(cost) * pace)
}

// AnswerTime returns how long a group of a model decodes an answer while its batch is full.
func (e *Engine) AnswerTime(m Model, answerTokens int) time.Duration {
	pace := m.TimeFactor
	if pace <= 0 {
		pace = 1
	}
	step := e.Step + time.Duration(e.Slots)*e.StepPerRequest
	return time.Duration(pace * float64(answerTokens) * float64(step))
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdStart is how long a target is cold after its start, and ColdRate the requests per second that it takes from all entry hosts
	// together while it is cold; 0 if the targets of the service do not get cold.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Workspace is a team of callers, identified by its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the priority of routes when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Document is one version of the routing document.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// KeyRequired is set if requests need a key, except on public routes.
	KeyRequired bool
	Limits      Limits
}

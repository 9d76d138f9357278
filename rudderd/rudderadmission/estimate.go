package rudderadmission

import (
	"math"

	"comfreyrudder.example/shared/rudderconfig"
)

const (
	// promptCost is the work of one prompt token relative to one generated token: prefill runs in
	// large batches.
	promptCost = 0.05
	// historyDecay is the weight of a new answer in a workspace's decayed mean length.
	historyDecay = 0.1
	// priorAnswer is the assumed length of an answer in tokens without history.
	priorAnswer = 200.0
	// longWork is the estimated work in tokens from which a request counts as long: at 63 ms a token
	// it holds a slot for about 30 s.
	longWork = 500
	// maxWorkspaces bounds the memory of the history.
	maxWorkspaces = 4096
)

// Estimator predicts the work of a request from its prompt, its limit and its workspace's history.
// It is not safe for concurrent use.
type Estimator struct {
	means map[string]float64 // per workspace and prompt-length bucket
}

// Estimate returns the estimated work in tokens and the class. maxTokens is the caller's limit on
// the answer, 0 for none. The limit alone isn't a prediction: callers set it far above need.
func (e *Estimator) Estimate(workspace string, promptTokens, maxTokens int) (int, rudderconfig.WorkClass) {
	answer, known := e.means[historyKey(workspace, promptTokens)]
	if !known {
		answer = max(priorAnswer, float64(promptTokens)/8)
	}
	if maxTokens > 0 {
		answer = min(answer, float64(maxTokens))
	}
	tokens := WorkTokens(promptTokens, int(math.Ceil(answer)))
	if tokens >= longWork {
		return tokens, rudderconfig.ClassLong
	}
	return tokens, rudderconfig.ClassShort
}

// Observe records the length of a complete answer.
func (e *Estimator) Observe(workspace string, promptTokens, generated int) {
	if e.means == nil || len(e.means) >= maxWorkspaces {
		e.means = map[string]float64{}
	}
	key := historyKey(workspace, promptTokens)
	mean, known := e.means[key]
	if !known {
		mean = float64(generated)
	}
	e.means[key] = mean + historyDecay*(float64(generated)-mean)
}

// WorkTokens is the work of a request in tokens: generated tokens plus the discounted prompt.
func WorkTokens(promptTokens, generated int) int {
	return int(promptCost*float64(promptTokens)) + generated
}

// historyKey separates prompts by powers of four in length: a full season's summary says nothing
// about the length of a short note in the same workspace.
func historyKey(workspace string, promptTokens int) string {
	bucket := 0
	for n := promptTokens; n >= 256; n /= 4 {
		bucket++
	}
	return workspace + "\x00" + string(rune('a'+bucket))
}

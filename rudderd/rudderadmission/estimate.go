package rudderadmission

import (
	"math"

	"comfreyrudder.example/shared/rudderconfig"
)

const (
	// promptTokenCost is the work of one prompt token relative to one generated token. It is low because
	// prefill runs in large batches.
	promptTokenCost = 0.05
	// historyDecay is the weight of a new answer in the moving average of a workspace's answer lengths.
	historyDecay = 0.1
	// defaultAnswerTokens is the least assumed length of an answer without history.
	defaultAnswerTokens = 200.0
	// longWorkTokens is the estimated work from which a request is classified as long: at 63 ms a token it
	// holds a slot for about 30 s.
	longWorkTokens = 500
	// maxHistoryEntries bounds the entries of the history, one per workspace and prompt-length bucket.
	maxHistoryEntries = 4096
)

// Estimator estimates the work of a request from its prompt length, its token limit and the workspace's
// history. It is not safe for concurrent use.
type Estimator struct {
	means map[string]float64 // mean answer length by workspace and prompt-length bucket
}

// Estimate returns the estimated work in tokens and the class. maxTokens is the caller's limit on
// the answer, 0 for none. It only caps the estimate, because callers set it far above what they need.
func (e *Estimator) Estimate(workspace string, promptTokens, maxTokens int) (int, rudderconfig.WorkClass) {
	answer, known := e.means[historyKey(workspace, promptTokens)]
	if !known {
		answer = max(defaultAnswerTokens, float64(promptTokens)/8)
	}
	if maxTokens > 0 {
		answer = min(answer, float64(maxTokens))
	}
	tokens := WorkTokens(promptTokens, int(math.Ceil(answer)))
	if tokens >= longWorkTokens {
		return tokens, rudderconfig.ClassLong
	}
	return tokens, rudderconfig.ClassShort
}

// Observe records the length of a complete answer.
func (e *Estimator) Observe(workspace string, promptTokens, generated int) {
	if e.means == nil || len(e.means) >= maxHistoryEntries {
		e.means = map[string]float64{}
	}
	key := historyKey(workspace, promptTokens)
	mean, known := e.means[key]
	if !known {
		mean = float64(generated)
	}
	e.means[key] = mean + historyDecay*(float64(generated)-mean)
}

// WorkTokens returns the work of a request in tokens: generated tokens plus the discounted prompt tokens.
func WorkTokens(promptTokens, generated int) int {
	return int(promptTokenCost*float64(promptTokens)) + generated
}

// historyKey buckets prompts by powers of four of their length: the answer to a long prompt, such as the
// summary of a full season, says nothing about the answer to a short one in the same workspace.
func historyKey(workspace string, promptTokens int) string {
	bucket := 0
	for n := promptTokens; n >= 256; n /= 4 {
		bucket++
	}
	return workspace + "\x00" + string(rune('a'+bucket))
}

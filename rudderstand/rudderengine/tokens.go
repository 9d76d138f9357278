package rudderengine

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Natural lengths of answers are between minTokens and minTokens+spreadTokens-1.
const (
	minTokens    = 16
	spreadTokens = 48
)

// lengthMark in a prompt sets the natural length of its answer, for example "[tokens=500]".
var lengthMark = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

// LengthMark returns text that, as a part of a prompt, sets the natural length of the answer.
func LengthMark(tokens int) string { return "[tokens=" + strconv.Itoa(tokens) + "]" }

// NaturalLength returns the number of tokens of the answer to a prompt without a token limit.
func NaturalLength(prompt string) int {
	if m := lengthMark.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil && n > 0 {
			return n
		}
	}
	return minTokens + int(xxhash.Sum64String(prompt)%spreadTokens)
}

// ExpectedTokens returns the complete answer to a prompt (ruddertarget.PromptText of the messages). It depends
// on the prompt only, so that a checker can verify that an answer is complete and correct. A maxTokens of 0 or
// less means no limit.
func ExpectedTokens(prompt string, maxTokens int) []string {
	return tokensOf(xxhash.Sum64String(prompt), answerLength(prompt, maxTokens))
}

// ExpectedText returns the text of ExpectedTokens.
func ExpectedText(prompt string, maxTokens int) string {
	return strings.Join(ExpectedTokens(prompt, maxTokens), "")
}

func answerLength(prompt string, maxTokens int) int {
	length := NaturalLength(prompt)
	if maxTokens > 0 {
		length = min(length, maxTokens)
	}
	return length
}

func tokensOf(seed uint64, count int) []string {
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = tokenAt(seed, i)
	}
	return tokens
}

func tokenAt(seed uint64, index int) string {
	sum := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + strconv.Itoa(index))
	return " " + strconv.FormatUint(sum%(36*36*36*36*36), 36)
}

package ruddertarget

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Message is one message of a chat completion request.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. It reads a JSON string, or a list of parts whose texts are joined.
type Content string

// UnmarshalJSON reads a string, null or a list of text parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.Wrap(err, "message content")
	}
	var joined strings.Builder
	for _, p := range parts {
		joined.WriteString(p.Text)
	}
	*c = Content(joined.String())
	return nil
}

// PromptText is the prompt that an engine makes of messages. Prefix-cache blocks cover this text.
func PromptText(messages []Message) string {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role)
		prompt.WriteString("\n")
		prompt.WriteString(string(m.Content))
		prompt.WriteString("\n")
	}
	return prompt.String()
}

// PrefixBlocks returns the identifiers of the whole prefix-cache blocks of a prompt, shortest prefix
// first.
func PrefixBlocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	digest := xxhash.New()
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[end-PrefixBlockBytes : end])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

package rudderengine

import (
	"context"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// Guards against responses that a client of the OpenAI protocol cannot parse.
func TestOpenAIClient(t *testing.T) {
	r := newRig(t, 1, nil)
	r.form("g1", 1)
	client := openai.NewClient(
		option.WithBaseURL("http://"+r.engines[0].Address()+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
	prompt := "hello " + LengthMark(20)
	params := openai.ChatCompletionNewParams{
		Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxCompletionTokens: openai.Int(12),
	}
	ctx := context.Background()
	want := ExpectedText(promptOf(prompt), 12)

	whole, err := client.Chat.Completions.New(ctx, params)
	require.NoError(t, err)
	require.Equal(t, want, whole.Choices[0].Message.Content)
	require.Equal(t, "length", whole.Choices[0].FinishReason)
	require.EqualValues(t, 12, whole.Usage.CompletionTokens)

	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var collected openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, collected.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, want, collected.Choices[0].Message.Content)
	require.Equal(t, "length", collected.Choices[0].FinishReason)
	require.EqualValues(t, 12, collected.Usage.CompletionTokens)
}

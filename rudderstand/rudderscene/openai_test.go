package rudderscene

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
)

// Guards against a caller API that the official OpenAI client cannot use with only its base URL and API key
// configured.
func TestStockOpenAIClient(t *testing.T) {
	s := startSmallScene(t, 3)
	awaitAnswers(t, s)
	workspace, model := s.Fleet.Document.Workspaces[0].Name, s.Fleet.Document.Models[0].Name
	client := openai.NewClient(
		option.WithBaseURL("http://"+s.Entries()[0].App.CallerAddress()+"/v1"),
		option.WithAPIKey(rudderfleetstand.WorkspaceKey(workspace)))
	prompt := "season " + rudderengine.LengthMark(20)
	params := openai.ChatCompletionNewParams{
		Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxCompletionTokens: openai.Int(12),
	}
	want := rudderengine.ExpectedText(rudderoracle.PromptOf(prompt), 12)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

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
	require.EqualValues(t, 12, collected.Usage.CompletionTokens)

	params.Model = "no-such-model"
	_, err = client.Chat.Completions.New(ctx, params)
	var failure *openai.Error
	require.True(t, errors.As(err, &failure))
	require.Equal(t, http.StatusNotFound, failure.StatusCode)
	require.Equal(t, "model_not_found", failure.Code)
	require.Equal(t, "invalid_request_error", failure.Type)
}

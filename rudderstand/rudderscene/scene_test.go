package rudderscene

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/shared/ruddertarget"
)

func startSmall(t *testing.T, entries int) *Scene {
	t.Helper()
	s := &Scene{Fleet: &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}}
	if os.Getenv("SCENE_LOGS") != "" {
		s.Logs = os.Stderr
	}
	place := Location{Region: s.Fleet.Layout.Domains[0].Region, DataCentre: s.Fleet.Layout.Domains[0].DataCentre}
	for range entries {
		s.Locations = append(s.Locations, place)
	}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start())
	return s
}

// ask sends one chat request and returns status and answer.
func ask(t *testing.T, address, key, model, prompt string, maxTokens int) (int, string) {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": model, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, string(text)
	}
	require.NoError(t, json.Unmarshal(text, &answer))
	return response.StatusCode, answer.Choices[0].Message.Content
}

// awaitAnswers waits until every entry host answers. Each learns of the groups a moment later than the
// planner, and until then rightly answers that no group serves the work.
func awaitAnswers(t *testing.T, s *Scene) {
	t.Helper()
	key, model := rudderfleetstand.WorkspaceKey(s.Fleet.Document.Workspaces[0].Name), s.Fleet.Document.Models[0].Name
	for _, e := range s.Entries() {
		require.NoError(t, Await(20*time.Second, "an answer of "+e.Name, func() bool {
			status, _ := ask(t, e.App.CallerAddress(), key, model, "ready?", 1)
			return status == http.StatusOK
		}))
	}
}

// Guards against a system whose parts work alone and not together: labels and selectors lead to whole
// answers from whole groups, also when a member dies while it runs.
func TestWholePath(t *testing.T) {
	s := startSmall(t, 3)
	workspace := s.Fleet.Document.Workspaces[0]
	key, model := rudderfleetstand.WorkspaceKey(workspace.Name), s.Fleet.Document.Models[0].Name
	address := s.Entries()[0].App.CallerAddress()
	prompt := "summarise the season " + rudderengine.LengthMark(40)
	expected := rudderengine.ExpectedText(ruddertarget.PromptText([]ruddertarget.Message{{Role: "user", Content: ruddertarget.Content(prompt)}}), 40)
	var status int
	var text string
	require.NoError(t, Await(20*time.Second, "first answer", func() bool {
		status, text = ask(t, address, key, model, prompt, 40)
		return status == http.StatusOK
	}), "%d %s", status, text)
	require.Equal(t, expected, text)

	awaitAnswers(t, s)
	answers := make(chan string, 1)
	go func() {
		_, text := ask(t, s.Entries()[1].App.CallerAddress(), key, model, prompt, 40)
		answers <- text
	}()
	killed := ""
	require.NoError(t, Await(10*time.Second, "a run", func() bool {
		for _, run := range s.Fleet.Fabric.Ledger.Runs() {
			if run.End.IsZero() {
				killed = run.Host
			}
		}
		return killed != ""
	}))
	time.Sleep(100 * time.Millisecond)
	s.Fleet.Host(killed).Engine.Kill()
	require.Equal(t, expected, <-answers)
}

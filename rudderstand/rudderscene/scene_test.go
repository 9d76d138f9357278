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

func startSmallScene(t *testing.T, entries int) *Scene {
	t.Helper()
	s := &Scene{Fleet: &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}}
	if os.Getenv("SCENE_LOGS") != "" {
		s.Logs = os.Stderr
	}
	location := Location{Region: s.Fleet.Layout.Domains[0].Region, DataCentre: s.Fleet.Layout.Domains[0].DataCentre}
	for range entries {
		s.Locations = append(s.Locations, location)
	}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start())
	return s
}

// sendChat sends one chat request and returns the status and the answer text, or the body of an error.
func sendChat(t *testing.T, address, key, model, prompt string, maxTokens int) (int, string) {
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

// awaitAnswers waits until every entry host answers. An entry host receives the plan slightly later than the
// planner writes it, and until then correctly answers that no group serves the request.
func awaitAnswers(t *testing.T, s *Scene) {
	t.Helper()
	key, model := rudderfleetstand.WorkspaceKey(s.Fleet.Document.Workspaces[0].Name), s.Fleet.Document.Models[0].Name
	for _, e := range s.Entries() {
		require.NoError(t, Await(20*time.Second, "an answer of "+e.Name, func() bool {
			status, _ := sendChat(t, e.App.CallerAddress(), key, model, "ready?", 1)
			return status == http.StatusOK
		}))
	}
}

// Guards against components that work separately but not together: labels and selectors must form groups that
// give complete answers, also when a group member dies during a run.
func TestWholePath(t *testing.T) {
	s := startSmallScene(t, 3)
	workspace := s.Fleet.Document.Workspaces[0]
	key, model := rudderfleetstand.WorkspaceKey(workspace.Name), s.Fleet.Document.Models[0].Name
	address := s.Entries()[0].App.CallerAddress()
	prompt := "summarise the season " + rudderengine.LengthMark(40)
	expected := rudderengine.ExpectedText(ruddertarget.PromptText([]ruddertarget.Message{{Role: "user", Content: ruddertarget.Content(prompt)}}), 40)
	var status int
	var text string
	require.NoError(t, Await(20*time.Second, "first answer", func() bool {
		status, text = sendChat(t, address, key, model, prompt, 40)
		return status == http.StatusOK
	}), "%d %s", status, text)
	require.Equal(t, expected, text)

	awaitAnswers(t, s)
	answers := make(chan string, 1)
	go func() {
		_, text := sendChat(t, s.Entries()[1].App.CallerAddress(), key, model, prompt, 40)
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

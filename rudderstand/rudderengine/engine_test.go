package rudderengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderweights"
	"comfreyrudder.example/shared/ruddertarget"
)

// rig is a set of engines that can form one group, with a client of their control API.
type rig struct {
	t       *testing.T
	fabric  *Fabric
	engines []*Engine
	control *ruddertarget.Control
}

func newRig(t *testing.T, count int, change func(*Engine)) *rig {
	r := &rig{t: t, fabric: &Fabric{}, control: (&ruddertarget.HTTP{}).Control()}
	for i := range count {
		e := &Engine{
			Host: "h" + string(rune('0'+i)), Fabric: r.fabric, Weights: &rudderweights.Store{DefaultBytes: 1},
			Timing: Timing{TokenGap: 2 * time.Millisecond}, ChecksFencing: true,
		}
		if change != nil {
			change(e)
		}
		require.NoError(t, e.Start())
		t.Cleanup(e.Close)
		r.engines = append(r.engines, e)
	}
	return r
}

// form assigns all engines to one group and waits until they are ready.
func (r *rig) form(group string, fencing int64) {
	var members []string
	for _, e := range r.engines {
		members = append(members, e.Address())
	}
	for rank, address := range members {
		_, err := r.control.Send(context.Background(), address, ruddertarget.Order{
			Kind: ruddertarget.OrderAssign, Fencing: fencing,
			Role: ruddertarget.Role{Group: group, Rank: rank, Size: len(members), Model: "m", ModelVersion: "1", Members: members},
		})
		require.NoError(r.t, err)
	}
	for _, e := range r.engines {
		require.Eventually(r.t, func() bool { return e.Status().Phase == ruddertarget.PhaseReady }, 5*time.Second, time.Millisecond)
	}
}

type chunkLine struct {
	ruddertarget.ChunkExtension
	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
}

// ask sends a streamed request to the leader and calls each for every chunk. It returns the HTTP status and
// whether the stream ended with [DONE].
func (r *rig) ask(work ruddertarget.WorkExtension, prompt string, each func(chunkLine)) (status int, whole bool) {
	body := map[string]any{
		"model": "m", "stream": true, "messages": []map[string]string{{"role": "user", "content": prompt}},
		"rudder_request_id": work.RequestID, "rudder_attempt": work.Attempt, "rudder_group": work.Group,
		"rudder_resume_after": work.ResumeAfter, "rudder_resume_text": work.ResumeText, "priority": work.Priority,
	}
	encoded, err := json.Marshal(body)
	require.NoError(r.t, err)
	response, err := http.Post("http://"+r.engines[0].Address()+"/v1/chat/completions", "application/json", bytes.NewReader(encoded))
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var c chunkLine
		if json.Unmarshal([]byte(data), &c) == nil && each != nil {
			each(c)
		}
	}
	return response.StatusCode, whole
}

func promptOf(text string) string {
	return ruddertarget.PromptText([]ruddertarget.Message{{Role: "user", Content: ruddertarget.Content(text)}})
}

// Guards against answers that a checker would reject, and against a resume that repeats or skips tokens.
func TestStreamAndResume(t *testing.T) {
	r := newRig(t, 2, nil)
	r.form("g1", 1)
	prompt := "hello " + LengthMark(10)
	var texts []string
	collect := func(c chunkLine) {
		texts = append(texts, c.Choices[0].Delta.Content)
		require.Equal(t, len(texts), c.Seq)
	}
	_, whole := r.ask(ruddertarget.WorkExtension{RequestID: "a", Attempt: 1, Group: "g1"}, prompt, collect)
	require.True(t, whole)
	require.Equal(t, ExpectedTokens(promptOf(prompt), 0), texts)

	texts = texts[:4]
	_, whole = r.ask(ruddertarget.WorkExtension{
		RequestID: "a", Attempt: 2, Group: "g1", ResumeAfter: 4, ResumeText: joined(texts),
	}, prompt, collect)
	require.True(t, whole)
	require.Equal(t, ExpectedTokens(promptOf(prompt), 0), texts)
	require.EqualValues(t, 2, r.fabric.Ledger.CountOf("a"))

	status, _ := r.ask(ruddertarget.WorkExtension{RequestID: "b", Group: "other"}, prompt, nil)
	require.Equal(t, http.StatusConflict, status, "a request for another group is refused")
	require.Zero(t, r.fabric.Ledger.CountOf("b"))
}

// Guards against a group that continues, or a ledger that shows it complete, after it lost a member.
func TestLostMemberCutsStream(t *testing.T) {
	losses := []struct {
		name string
		lose func(e *Engine)
	}{
		{"killed", func(e *Engine) { e.Kill() }},
		{"restarted", func(e *Engine) { _ = e.Restart() }},
		{"released", func(e *Engine) {
			_ = e.applyOrder(ruddertarget.Order{Kind: ruddertarget.OrderRelease, Fencing: 2, ExpectGroup: "g1"})
		}},
	}
	for _, loss := range losses {
		t.Run(loss.name, func(t *testing.T) {
			r := newRig(t, 3, nil)
			r.form("g1", 1)
			_, whole := r.ask(ruddertarget.WorkExtension{RequestID: "a"}, LengthMark(100000), func(c chunkLine) {
				if c.Seq == 5 {
					loss.lose(r.engines[2])
				}
			})
			require.False(t, whole)
			_, whole = r.ask(ruddertarget.WorkExtension{RequestID: "b"}, "x", nil)
			require.False(t, whole)
			runs := r.fabric.Ledger.Runs()
			require.Len(t, runs, 2)
			require.Len(t, runs[0].Members, 3)
			require.Equal(t, OutcomeFailed, runs[0].Outcome)
			require.Len(t, runs[1].Members, 2)
			require.False(t, runs[1].Ran())
		})
	}
}

// Guards against a paused member that does not stall its group, and a group that does not continue after
// Resume.
func TestPausedMemberStallsGroup(t *testing.T) {
	r := newRig(t, 2, nil)
	r.form("g1", 1)
	var resumed atomic.Bool
	_, whole := r.ask(ruddertarget.WorkExtension{RequestID: "a"}, LengthMark(20), func(c chunkLine) {
		if c.Seq != 5 {
			return
		}
		r.engines[1].Pause()
		time.AfterFunc(100*time.Millisecond, func() { resumed.Store(true); r.engines[1].Resume() })
	})
	require.True(t, whole)
	require.True(t, resumed.Load())
}

// Guards against an engine with fencing checks that accepts orders of an old planner, and one without them
// that refuses orders.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		r := newRig(t, 1, func(e *Engine) { e.ChecksFencing = checks })
		r.form("g5", 5)
		old := ruddertarget.Order{Kind: ruddertarget.OrderRelease, Fencing: 4, ExpectGroup: "g5"}
		status, err := r.control.Send(context.Background(), r.engines[0].Address(), old)
		if !checks {
			require.NoError(t, err)
			require.Empty(t, status.Role.Group)
			continue
		}
		require.ErrorIs(t, err, ruddertarget.ErrStaleFencing)
		require.Equal(t, "g5", status.Role.Group)
		late := ruddertarget.Order{Kind: ruddertarget.OrderRelease, Fencing: 6, ExpectGroup: "g4"}
		_, err = r.control.Send(context.Background(), r.engines[0].Address(), late)
		require.ErrorIs(t, err, ruddertarget.ErrRefused)
	}
}

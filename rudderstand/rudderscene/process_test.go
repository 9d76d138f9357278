package rudderscene

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
)

// process is a rudderd binary that runs as a separate operating-system process.
type process struct {
	command *exec.Cmd
	address string
	ended   chan error
}

func startProcess(t *testing.T, binary, name string, fleet *rudderfleetstand.Fleet, logs string, more ...string) *process {
	t.Helper()
	p := &process{ended: make(chan error, 1)}
	p.command = exec.Command(binary, append([]string{"--name", name, "--region", "kigali", "--data-centre", "kigali-1", //nolint:gosec // built by this test
		"--caller-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0",
		"--key-value-url", fleet.KVURL(), "--host-list-url", fleet.InventoryURL(),
		"--peer-secret", peerSecret, "--entry-lifetime", "1s"}, more...)...)
	log := filepath.Join(logs, name+".log")
	file, err := os.Create(log) //nolint:gosec // in the test's directory
	require.NoError(t, err)
	p.command.Stderr = file
	require.NoError(t, p.command.Start())
	go func() { p.ended <- p.command.Wait(); _ = file.Close() }()
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	require.NoError(t, Await(10*time.Second, "start of "+name, func() bool {
		addresses, started := AddressesFromLog(log)
		p.address = addresses.Caller
		return started
	}))
	return p
}

// Guards against guarantees that hold only while all entry hosts share one process: after a SIGKILL during a
// stream the caller retries at another process, and a SIGTERM to another process interrupts no stream.
func TestSeparateProcesses(t *testing.T) {
	directory := t.TempDir()
	binary, err := BuildRudderd(t.Context(), directory)
	require.NoError(t, err)
	fleet := &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}
	t.Cleanup(fleet.Close)
	require.NoError(t, fleet.Start())
	var processes []*process
	for _, name := range []string{"entry-01", "entry-02", "entry-03"} {
		processes = append(processes, startProcess(t, binary, name, fleet, directory))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var recorder rudderoracle.Recorder
	// Only the first attempt goes to the process under test; the caller gets the entry list from the others.
	caller := func(first int) *ruddercaller.Caller {
		c := &ruddercaller.Caller{
			Key: rudderfleetstand.WorkspaceKey("umuvumu-01"), Workspace: "umuvumu-01", HTTP: &http.Client{}, Record: recorder.Answer, MaxAttempts: 20,
		}
		for i := range processes {
			c.Seeds = append(c.Seeds, processes[(first+i)%len(processes)].address)
		}
		return c.UseEntry(processes[first].address)
	}
	for i := range processes {
		require.NoError(t, Await(30*time.Second, "an answer of each process", func() bool {
			return caller(i).Chat(ctx, ruddercaller.Chat{Model: rudderfleetstand.ModelLedger, Prompt: "ready?", MaxTokens: 1}).Answer.Outcome == rudderoracle.OutcomeComplete
		}))
	}
	stream := func(first int, prompt string, started chan struct{}) ruddercaller.Result {
		var once sync.Once
		return caller(first).Chat(ctx, ruddercaller.Chat{
			Model: rudderfleetstand.ModelLedger, Prompt: prompt + rudderengine.LengthMark(60), MaxTokens: 60, Stream: true,
			Started: func() { once.Do(func() { close(started) }) },
		})
	}
	interrupt := func(first int, prompt string, signal syscall.Signal) ruddercaller.Result {
		started, results := make(chan struct{}), make(chan ruddercaller.Result, 1)
		go func() { results <- stream(first, prompt, started) }()
		select {
		case <-started:
		case result := <-results:
			require.Fail(t, "no stream", "%+v", result)
		}
		require.NoError(t, processes[first].command.Process.Signal(signal))
		return <-results
	}

	killed := interrupt(0, "killed ", syscall.SIGKILL)
	require.Equal(t, rudderoracle.OutcomeComplete, killed.Answer.Outcome)
	require.Greater(t, killed.Attempts, 1)
	require.Error(t, <-processes[0].ended)

	stopped := interrupt(1, "stopped ", syscall.SIGTERM)
	require.Equal(t, rudderoracle.OutcomeComplete, stopped.Answer.Outcome)
	require.Equal(t, 1, stopped.Attempts, "the stop cut the stream")
	require.Equal(t, "entry-02", stopped.Answer.Entry)
	require.NoError(t, <-processes[1].ended)

	require.Empty(t, rudderoracle.Check(recorder.Evidence(fleet.Fabric.Ledger.Runs(), fleet.Calls.Calls())))
}

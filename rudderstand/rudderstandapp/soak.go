package rudderstandapp

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"comfreyrudder.example/rudderstand/ruddersoak"
)

// errSoak is returned if any seed had a violation or did not recover; the printed table shows which.
var errSoak = errors.New("some seeds are not sound")

type soakOptions struct {
	first                    uint64
	seeds, parallel          int
	entries, callers         int
	length                   time.Duration
	binary, logs, outputPage string
}

// newSoak returns the command that runs real rudderd processes under random faults.
func newSoak(stdout io.Writer) *cobra.Command {
	var o soakOptions
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run rudderd processes under random faults from outside, seed by seed, and check the promises",
		Example: "  rudderstand soak --seeds 50 --output docs/soak.md\n" +
			"  rudderstand soak --first 17 --seeds 1 --logs /tmp/soak",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runSoak(c.Context(), stdout, o) },
	}
	flags := command.Flags()
	flags.Uint64Var(&o.first, "first", 0, "first seed; 0 takes one from the clock")
	flags.IntVar(&o.seeds, "seeds", 5, "number of seeds")
	flags.IntVar(&o.parallel, "parallel", 2, "seeds that run at a time")
	flags.IntVar(&o.entries, "entries", 6, "rudderd processes of each seed")
	flags.IntVar(&o.callers, "callers", 12, "callers of each seed")
	flags.DurationVar(&o.length, "length", 20*time.Second, "how long faults come")
	flags.StringVar(&o.binary, "binary", "", "rudderd program; empty takes the one beside this program")
	flags.StringVar(&o.logs, "logs", "", "directory for the processes' logs; empty takes a new temporary one")
	flags.StringVar(&o.outputPage, "output", "", "page to write; empty writes none")
	return command
}

func runSoak(ctx context.Context, stdout io.Writer, o soakOptions) error {
	if o.seeds < 1 || o.parallel < 1 || o.entries < 2 || o.callers < 1 || o.length <= 0 {
		return errors.New("--seeds, --parallel and --callers must be at least 1, --entries at least 2 and --length above 0")
	}
	if o.first == 0 {
		o.first = uint64(time.Now().Unix()) //nolint:gosec // after 1970
	}
	if o.binary == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "finding rudderd")
		}
		o.binary = filepath.Join(filepath.Dir(self), "rudderd")
	}
	if _, err := os.Stat(o.binary); err != nil {
		return errors.Wrap(err, "finding rudderd (run make build, or give --binary)")
	}
	if o.logs == "" {
		directory, err := os.MkdirTemp("", "rudder-soak-")
		if err != nil {
			return errors.Wrap(err, "creating a directory for logs")
		}
		o.logs = directory
	}
	_, _ = fmt.Fprintf(stdout, "logs: %s\n", o.logs)
	results := soakSeeds(ctx, stdout, o)
	if o.outputPage != "" {
		if err := os.WriteFile(o.outputPage, []byte(soakPage(o, results)), 0o644); err != nil { //nolint:gosec // a page for everybody
			return errors.Wrap(err, "writing the page")
		}
	}
	if slices.ContainsFunc(results, func(r ruddersoak.Result) bool { return !r.Passed() }) {
		return errSoak
	}
	return nil
}

// soakSeeds runs all seeds, up to o.parallel at a time, and prints each result when it is available.
func soakSeeds(ctx context.Context, stdout io.Writer, o soakOptions) []ruddersoak.Result {
	results := make([]ruddersoak.Result, o.seeds)
	var printMu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, o.parallel)
	for i := range results {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			seed := o.first + uint64(i) //nolint:gosec // not negative
			s := &ruddersoak.Soak{
				Seed: seed, Duration: o.length, Entries: o.entries, Callers: o.callers, Binary: o.binary, Directory: filepath.Join(o.logs, fmt.Sprint(seed)),
			}
			results[i] = s.Run(ctx)
			printMu.Lock()
			defer printMu.Unlock()
			_, _ = fmt.Fprintln(stdout, soakLine(results[i]))
			for _, violation := range results[i].Violations {
				_, _ = fmt.Fprintf(stdout, "  %s: %s\n", violation.Promise, violation.Detail)
			}
		})
	}
	running.Wait()
	return results
}

// soakLine formats a result as a row of a Markdown table.
func soakLine(v ruddersoak.Result) string {
	verdict := "sound"
	if len(v.Violations) > 0 {
		verdict = fmt.Sprintf("%d violations, first %s: %s", len(v.Violations), v.Violations[0].Promise, v.Violations[0].Detail)
	}
	if v.Err != nil {
		verdict += "; " + v.Err.Error()
	}
	return fmt.Sprintf("| %d | %d | %d | %d | %d | %.0f | %s |", v.Seed, v.Faults, v.Outcomes["complete"], v.Outcomes["not_run"],
		v.Outcomes["may_have_run"]+v.Outcomes["unknown"], v.Elapsed.Seconds(), verdict)
}

// soakPage renders the results as the page docs/soak.md.
func soakPage(o soakOptions, results []ruddersoak.Result) string {
	var b strings.Builder
	sound := 0
	for _, v := range results {
		if v.Passed() {
			sound++
		}
	}
	_, _ = fmt.Fprintf(&b, `# Soak

Real rudderd processes against the stand-ins, with faults from outside that are drawn from a seed and overlap:
signals that stop, pause, kill and restart processes; connections that are cut in one or both directions, silenced
or reset; targets that die, pause, slow down or leave; a key-value service that is down, slow or loses answers.
The promises are judged from what callers and targets saw. After the last fault each entry host must complete calls
with and without a key, whole answers and streams, and a change must come into force.

Planned stops are judged only where no fault that cuts requests ran within the 12 s before or meanwhile. The key-value
service is not restored to an older state here; the fault matrix does that ([faults.md](faults.md)).

%s, by "rudderstand soak --first %d --seeds %d --entries %d --callers %d --length %s --parallel %d": %d of %d seeds sound.

| seed | faults | complete | not run | may have run, or unknown | time (s) | verdict |
|---|---|---|---|---|---|---|
`, time.Now().UTC().Format("2006-01-02 15:04 UTC"), o.first, o.seeds, o.entries, o.callers, o.length, o.parallel, sound, len(results))
	for _, v := range results {
		_, _ = fmt.Fprintln(&b, soakLine(v))
	}
	return b.String()
}

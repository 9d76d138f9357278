package rudderstandapp

import (
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderload"
)

// errWrongText is returned if any answer had a text other than the expected one.
var errWrongText = errors.New("answers with wrong text")

// directRequests is enough for a p99 of the gaps between tokens; the requests take about half a minute.
const directRequests = 30

// newLoad returns the command that drives a running system with load.
func newLoad(stdout io.Writer) *cobra.Command {
	load := rudderload.Defaults()
	var entries, keys []string
	var output string
	var direct bool
	command := &cobra.Command{
		Use:     "load",
		Short:   "Drive a running system with open-loop arrivals and print what callers saw",
		Long:    "Without --entries the JSON line of `rudderstand up` is read from standard input.",
		Example: "  rudderstand load --rate 100 --swing-factor 10 < up.json\n  rudderstand load --entries 127.0.0.1:8080 --keys umuvumu-01=KEY --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != "table" && output != "json" {
				return errors.Newf("--output: %q is neither table nor json", output)
			}
			if direct {
				result, err := rudderload.Direct{Requests: directRequests, Tokens: load.ShortTokens}.Run(cmd.Context())
				if err != nil {
					return err
				}
				return result.Write(stdout, output == "json")
			}
			if err := setEndpoints(&load, entries, keys, os.Stdin); err != nil {
				return err
			}
			result, err := load.Run(cmd.Context())
			if err != nil {
				return err
			}
			write := result.WriteTable
			if output == "json" {
				write = result.WriteJSON
			}
			if err := write(stdout); err != nil {
				return err
			}
			if n := result.WrongTexts(); n > 0 {
				return errors.Wrapf(errWrongText, "%d", n)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&entries, "entries", nil, "caller addresses of entry hosts, IP:PORT")
	flags.StringSliceVar(&keys, "keys", nil, "workspace keys as WORKSPACE=KEY, for workspaces of the stand-ins' firms")
	flags.StringVar(&output, "output", "table", "table or json")
	flags.BoolVar(&direct, "direct", false, "measure one group of an own small fleet through an entry host and straight at its leader")
	flags.Uint64Var(&load.Seed, "seed", load.Seed, "seed of arrivals and requests")
	flags.Float64Var(&load.Rate, "rate", load.Rate, "requests per second")
	flags.Float64Var(&load.BurstFactor, "swing-factor", load.BurstFactor, "factor on the rate during the swing")
	flags.DurationVar(&load.BurstStart, "swing-from", load.BurstStart, "start of the swing")
	flags.DurationVar(&load.BurstDuration, "swing-for", load.BurstDuration, "length of the swing")
	flags.DurationVar(&load.Duration, "duration", load.Duration, "time of arrivals")
	flags.Float64Var(&load.PlainShare, "plain-share", load.PlainShare, "share of plain calls")
	flags.Float64Var(&load.LongShare, "long-share", load.LongShare, "share of long work among the chats")
	return command
}

// setEndpoints sets the entry addresses and workspace keys of the load, from the flags or, without --entries,
// from the JSON line that `rudderstand up` prints.
func setEndpoints(load *rudderload.Load, entries, keys []string, stdin io.Reader) error {
	workspaces := map[string]string{}
	for _, pair := range keys {
		workspace, key, found := strings.Cut(pair, "=")
		if !found {
			return errors.Newf("--keys: %q is not WORKSPACE=KEY", pair)
		}
		workspaces[workspace] = key
	}
	if len(entries) == 0 {
		var d connectionInfo
		if err := json.NewDecoder(stdin).Decode(&d); err != nil {
			return errors.Wrap(err, "reading the line of `rudderstand up`")
		}
		entries, workspaces = d.CallerAddresses, d.WorkspaceKeys
	}
	load.Entries, load.Firms = entries, firmsOf(workspaces)
	return nil
}

// firmsOf assigns workspaces to the firms of the built-in layouts by the prefix of their names.
func firmsOf(workspaces map[string]string) []rudderload.Firm {
	firms := []rudderload.Firm{
		{Name: rudderfleetstand.FirmUmuvumu, Model: rudderfleetstand.ModelLedger, Service: rudderfleetstand.ServiceLedger},
		{Name: rudderfleetstand.FirmVercheres, Model: rudderfleetstand.ModelCues, Service: rudderfleetstand.ServiceBooking, IdempotentReads: true},
	}
	for i := range firms {
		firms[i].Keys = map[string]string{}
		for workspace, key := range workspaces {
			if strings.HasPrefix(workspace, firms[i].Name+"-") {
				firms[i].Keys[workspace] = key
			}
		}
	}
	return firms
}

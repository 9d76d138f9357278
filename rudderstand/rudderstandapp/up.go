package rudderstandapp

import (
	"context"
	"encoding/json"
	"io"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderscene"
)

// newUp returns the command that runs a fleet with entry hosts until it is interrupted.
func newUp(stdout, stderr io.Writer) *cobra.Command {
	var layout string
	var logs, bare bool
	command := &cobra.Command{
		Use:     "up",
		Short:   "Run a fleet with entry hosts until interrupted and print how to reach it as one JSON line",
		Example: "  rudderstand up --layout small\n  rudderstand up --layout two-firms --logs\n  rudderstand up --layout small --bare",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			scene, err := newScene(layout)
			if err != nil {
				return err
			}
			if bare {
				scene.Locations, scene.Fleet.NoConfig = nil, true
			}
			if logs {
				scene.Logs = stderr
			}
			defer scene.Close()
			if err := scene.Start(); err != nil {
				return err
			}
			if err := json.NewEncoder(stdout).Encode(connectionInfoOf(scene)); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			<-ctx.Done()
			return nil
		},
	}
	command.Flags().StringVar(&layout, "layout", "two-firms", "fleet to run: small or two-firms")
	command.Flags().BoolVar(&bare, "bare", false, "no entry hosts and no configuration: only the environment, for rudderd processes of your own")
	command.Flags().BoolVar(&logs, "logs", false, "write the entry hosts' log lines to standard error")
	return command
}

// entriesPerDataCentre gives each firm 12 entry hosts across its three data centres.
const entriesPerDataCentre = 4

// newScene returns a scene for a built-in layout and the locations of its entry hosts.
func newScene(layout string) (*rudderscene.Scene, error) {
	scene := &rudderscene.Scene{Fleet: &rudderfleetstand.Fleet{}}
	switch layout {
	case "small":
		scene.Fleet.Layout = rudderfleetstand.Small()
		scene.Locations = rudderscene.LocationsOf(scene.Fleet.Layout, 3)
	case "two-firms":
		scene.Fleet.Layout = rudderfleetstand.TwoFirms()
		scene.Locations = rudderscene.LocationsOf(scene.Fleet.Layout, entriesPerDataCentre)
	default:
		return nil, errors.Newf("--layout: %q is neither small nor two-firms", layout)
	}
	return scene, nil
}

// connectionInfo is the JSON line that `rudderstand up` prints. It holds the addresses and keys for a running
// fleet.
type connectionInfo struct {
	CallerAddresses []string          `json:"caller_addresses"`
	AdminAddresses  []string          `json:"admin_addresses"`
	WorkspaceKeys   map[string]string `json:"workspace_keys"`
	OperatorToken   string            `json:"operator_token"`
	KeyValueURL     string            `json:"key_value_url"`
	HostListURL     string            `json:"host_list_url"`
	SwitchURL       string            `json:"switch_url"`
}

func connectionInfoOf(scene *rudderscene.Scene) connectionInfo {
	d := connectionInfo{
		WorkspaceKeys: map[string]string{}, OperatorToken: rudderfleetstand.OperatorToken,
		KeyValueURL: scene.Fleet.KVURL(), HostListURL: scene.Fleet.InventoryURL(), SwitchURL: scene.Fleet.SwitchURL(),
	}
	for _, e := range scene.Entries() {
		d.CallerAddresses = append(d.CallerAddresses, e.App.CallerAddress())
		d.AdminAddresses = append(d.AdminAddresses, e.App.AdminAddress())
	}
	for _, w := range scene.Fleet.Document.Workspaces {
		d.WorkspaceKeys[w.Name] = rudderfleetstand.WorkspaceKey(w.Name)
	}
	return d
}

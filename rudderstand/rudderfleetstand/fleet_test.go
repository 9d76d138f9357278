package rudderfleetstand

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against a layout whose host list, hosts and configuration are inconsistent.
func TestLayouts(t *testing.T) {
	layouts := []struct {
		name                      string
		layout                    Layout
		engines, services, spaces int
	}{
		{"small", Small(), 12, 1, 10},
		{"two firms", TwoFirms(), 130, 6, 20},
	}
	for _, l := range layouts {
		t.Run(l.name, func(t *testing.T) {
			f := &Fleet{Layout: l.layout}
			require.NoError(t, f.Start())
			t.Cleanup(f.Close)
			ctx := context.Background()
			hosts, err := (&rudderhost.HTTP{BaseURL: f.InventoryURL()}).List().Hosts(ctx)
			require.NoError(t, err)
			require.Len(t, hosts, l.engines+l.services)
			entry, _, err := (&rudderstore.HTTP{BaseURL: f.KVURL()}).Store().Get(ctx, rudderconfig.Key)
			require.NoError(t, err)
			var d rudderconfig.Document
			require.NoError(t, json.Unmarshal(entry.Value, &d))
			require.Len(t, d.Workspaces, l.spaces)
			require.Empty(t, rudderconfig.Validate(d))
			require.Empty(t, rudderconfig.CheckAgainstHosts(d, hosts))
			history, _, err := (&rudderstore.HTTP{BaseURL: f.KVURL()}).Store().Get(ctx, "history/config/0000000001")
			require.NoError(t, err)
			require.Equal(t, entry.Value, history.Value)
			control := (&ruddertarget.HTTP{}).Control()
			checking := 0
			for _, settings := range d.Hosts {
				host := f.Host(settings.Name)
				status, err := control.Status(ctx, host.Address)
				require.NoError(t, err)
				require.Equal(t, settings.Name, status.Host)
				if settings.ChecksFencing && host.Engine != nil {
					checking++
				}
			}
			require.InDelta(t, l.engines/2, checking, 5)
		})
	}
}

package ruddersettings

import (
	"os"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"
)

func load(t *testing.T, arguments []string, environment map[string]string) (Settings, error) {
	t.Helper()
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	AddFlags(flags)
	require.NoError(t, flags.Parse(arguments))
	return Load(flags, func(name string) (string, bool) {
		value, ok := environment[name]
		return value, ok
	})
}

var valid = []string{
	"--name=entry-1", "--region=kigali", "--data-centre=kgl-1", "--peer-secret=0123456789abcdef",
	"--key-value-url=http://127.0.0.1:1", "--host-list-url=http://127.0.0.1:2",
}

// Guards against an environment variable that takes precedence over its flag, and against defaults that
// cannot be loaded.
func TestFlagsTakePrecedenceOverEnvironment(t *testing.T) {
	environment := map[string]string{"RUDDER_REGION": "elsewhere", "RUDDER_PERMIT_TTL": "7s", "RUDDER_SEEDS": "127.0.0.1:5, 127.0.0.1:6"}
	s, err := load(t, valid, environment)
	require.NoError(t, err)
	require.Equal(t, "kigali", s.Region)
	require.Equal(t, 7*time.Second, s.PermitTTL)
	require.Equal(t, []string{"127.0.0.1:5", "127.0.0.1:6"}, s.Seeds)
	require.Equal(t, int64(4<<20), s.MaxBodyBytes)
}

// Guards against problems that are reported one at a time, or not at all.
func TestAllProblemsAreReportedTogether(t *testing.T) {
	_, err := load(t, []string{"--name=a b", "--permit-ttl=soon", "--caller-listen=localhost:80", "--max-attempts=0", "--log-level=loud"}, nil)
	require.ErrorIs(t, err, ErrInvalid)
	for _, part := range []string{"--name", "--permit-ttl", "--caller-listen", "--max-attempts", "--log-level", "--region", "--key-value-url", "--peer-secret"} {
		require.Contains(t, err.Error(), part)
	}
}

// Guards against a change of the settings without regenerating docs/settings.md.
func TestSettingsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	require.Equal(t, MarkdownPage(), string(page), "run `make settings`")
}

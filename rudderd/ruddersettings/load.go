package ruddersettings

import (
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/pflag"
)

// ErrInvalid reports settings that cannot be used; its text names every fault.
var ErrInvalid = errors.New("invalid settings")

// EnvironmentPrefix stands before the names of environment variables.
const EnvironmentPrefix = "RUDDER_"

// minPeerSecretLength keeps trivially guessed secrets out.
const minPeerSecretLength = 16

// minPermitTTL is the interval of digests; a shorter permit would end between two of them.
const minPermitTTL = time.Second

// field describes one setting.
type field struct {
	name, fallback, doc string
	secret, zero        bool
	value               reflect.Value
}

// fields lists the settings of s in the order of the struct.
func fields(s *Settings) []field {
	value := reflect.ValueOf(s).Elem()
	list := make([]field, 0, value.NumField())
	for i := range value.NumField() {
		tag := value.Type().Field(i).Tag
		list = append(list, field{
			name:     tag.Get("name"),
			fallback: tag.Get("default"),
			doc:      tag.Get("doc"),
			secret:   tag.Get("secret") == "true",
			zero:     tag.Get("zero") == "true",
			value:    value.Field(i),
		})
	}
	return list
}

// environmentName returns the environment variable of a setting.
func environmentName(name string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// AddFlags declares one flag for each setting.
func AddFlags(flags *pflag.FlagSet) {
	for _, f := range fields(&Settings{}) {
		flags.String(f.name, f.fallback, f.doc+" ["+environmentName(f.name)+"]")
	}
}

// Load reads the settings from flags that were set, then the environment, then the defaults, and
// checks them. The error lists all faults and wraps ErrInvalid.
func Load(flags *pflag.FlagSet, environment func(string) (string, bool)) (Settings, error) {
	var s Settings
	var faults []string
	for _, f := range fields(&s) {
		text := f.fallback
		if fromEnvironment, ok := environment(environmentName(f.name)); ok {
			text = fromEnvironment
		}
		if flag := flags.Lookup(f.name); flag != nil && flag.Changed {
			text = flag.Value.String()
		}
		if err := assign(f.value, text); err != nil {
			faults = append(faults, "--"+f.name+": "+err.Error())
		}
	}
	faults = append(faults, s.faults()...)
	if len(faults) > 0 {
		return Settings{}, errors.Wrap(ErrInvalid, strings.Join(faults, "; "))
	}
	return s, nil
}

// assign parses text into a setting.
func assign(value reflect.Value, text string) error {
	switch value.Interface().(type) {
	case string:
		value.SetString(text)
	case []string:
		value.Set(reflect.ValueOf(splitList(text)))
	case time.Duration:
		parsed, err := time.ParseDuration(text)
		if err != nil {
			return errors.Newf("%q is not a duration such as 5s", text)
		}
		value.SetInt(int64(parsed))
	case int, int64:
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errors.Newf("%q is not a whole number", text)
		}
		value.SetInt(parsed)
	default:
		return errors.Newf("unsupported type %s", value.Type())
	}
	return nil
}

func splitList(text string) []string {
	var list []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]*$`)
	hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// faults checks the values and returns one text for each fault.
func (s *Settings) faults() []string {
	var faults []string
	report := func(bad bool, text string) {
		if bad {
			faults = append(faults, text)
		}
	}
	report(!namePattern.MatchString(s.Name), "--name: wanted letters, digits and hyphens")
	report(s.Region == "", "--region: missing")
	report(s.DataCentre == "", "--data-centre: missing")
	report(len(s.PeerSecret) < minPeerSecretLength, "--peer-secret: wanted at least 16 characters")
	report(s.OldPeerSecret != "" && len(s.OldPeerSecret) < minPeerSecretLength, "--old-peer-secret: wanted at least 16 characters")
	report(!validURL(s.KeyValueURL), "--key-value-url: wanted http://IP:PORT")
	report(!validURL(s.HostListURL), "--host-list-url: wanted http://IP:PORT")
	report(s.BootstrapTokenHash != "" && !hashPattern.MatchString(s.BootstrapTokenHash), "--bootstrap-token-hash: wanted 64 hexadecimal digits")
	report(s.MaxAttempts < 1, "--max-attempts: wanted at least 1")
	report(s.MaxInFlight < 1, "--max-in-flight: wanted at least 1")
	report(s.MaxBodyBytes < 1, "--max-body-bytes: wanted at least 1")
	report(s.WeightRate < 1, "--weight-rate: wanted at least 1")
	report(s.ConfirmTTL <= s.PollInterval, "--confirm-ttl: must be longer than --poll-interval")
	report(s.PermitTTL < minPermitTTL, "--permit-ttl: wanted at least 1s")
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil || s.LogLevel == "" {
		faults = append(faults, "--log-level: wanted debug, info, warn or error")
	}
	return append(faults, s.addressAndTimeFaults()...)
}

func (s *Settings) addressAndTimeFaults() []string {
	var faults []string
	for _, f := range fields(s) {
		text, isText := f.value.Interface().(string)
		listens := strings.HasSuffix(f.name, "-listen")
		advertises := strings.HasSuffix(f.name, "-advertise") && text != ""
		if isText && (listens || advertises) && !validAddress(text) {
			faults = append(faults, "--"+f.name+": wanted IP:PORT")
		}
		if duration, ok := f.value.Interface().(time.Duration); ok && (duration < 0 || duration == 0 && !f.zero) {
			faults = append(faults, "--"+f.name+": must be above 0")
		}
	}
	for _, seed := range s.Seeds {
		if !validAddress(seed) {
			faults = append(faults, "--seeds: "+strconv.Quote(seed)+" is not IP:PORT")
		}
	}
	return faults
}

// validAddress accepts IP:PORT; processes talk by IP number, so names are refused.
func validAddress(text string) bool {
	host, _, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	_, err = netip.ParseAddr(host)
	return err == nil
}

func validURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && validAddress(parsed.Host)
}

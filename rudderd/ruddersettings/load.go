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

// ErrInvalid reports invalid settings. Load wraps it with a message that lists every problem.
var ErrInvalid = errors.New("invalid settings")

// EnvironmentPrefix is the prefix of the names of environment variables.
const EnvironmentPrefix = "RUDDER_"

// minPeerSecretLength excludes secrets that are easy to guess.
const minPeerSecretLength = 16

// minPermitTTL is the interval of the digests that renew a permit; a shorter permit would expire between two
// of them.
const minPermitTTL = time.Second

// field describes one setting. zero allows a duration of 0.
type field struct {
	name, fallback, doc string
	secret, zero        bool
	value               reflect.Value
}

// fields lists the settings of s in the order of the struct fields.
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

// environmentName returns the name of a setting's environment variable.
func environmentName(name string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// AddFlags defines one flag for each setting.
func AddFlags(flags *pflag.FlagSet) {
	for _, f := range fields(&Settings{}) {
		flags.String(f.name, f.fallback, f.doc+" ["+environmentName(f.name)+"]")
	}
}

// Load reads each setting from its flag if that was set, else from its environment variable, else from its
// default, and validates the settings. The error lists all problems and wraps ErrInvalid.
func Load(flags *pflag.FlagSet, environment func(string) (string, bool)) (Settings, error) {
	var s Settings
	var problems []string
	for _, f := range fields(&s) {
		text := f.fallback
		if fromEnvironment, ok := environment(environmentName(f.name)); ok {
			text = fromEnvironment
		}
		if flag := flags.Lookup(f.name); flag != nil && flag.Changed {
			text = flag.Value.String()
		}
		if err := assign(f.value, text); err != nil {
			problems = append(problems, "--"+f.name+": "+err.Error())
		}
	}
	problems = append(problems, s.validate()...)
	if len(problems) > 0 {
		return Settings{}, errors.Wrap(ErrInvalid, strings.Join(problems, "; "))
	}
	return s, nil
}

// assign parses the text by the type of the setting and sets the value.
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

// validate checks the values and returns a message for each problem.
func (s *Settings) validate() []string {
	var problems []string
	reportIf := func(invalid bool, message string) {
		if invalid {
			problems = append(problems, message)
		}
	}
	reportIf(!namePattern.MatchString(s.Name), "--name: must consist of letters, digits and hyphens")
	reportIf(s.Region == "", "--region: must be set")
	reportIf(s.DataCentre == "", "--data-centre: must be set")
	reportIf(len(s.PeerSecret) < minPeerSecretLength, "--peer-secret: must have at least 16 characters")
	reportIf(s.OldPeerSecret != "" && len(s.OldPeerSecret) < minPeerSecretLength, "--old-peer-secret: must have at least 16 characters")
	reportIf(!validURL(s.KeyValueURL), "--key-value-url: must be http://IP:PORT")
	reportIf(!validURL(s.HostListURL), "--host-list-url: must be http://IP:PORT")
	reportIf(s.BootstrapTokenHash != "" && !hashPattern.MatchString(s.BootstrapTokenHash), "--bootstrap-token-hash: must be 64 hexadecimal digits")
	reportIf(s.MaxAttempts < 1, "--max-attempts: must be at least 1")
	reportIf(s.MaxInFlight < 1, "--max-in-flight: must be at least 1")
	reportIf(s.MaxDescriptors < 0, "--max-descriptors: must be at least 0")
	reportIf(s.MaxBodyBytes < 1, "--max-body-bytes: must be at least 1")
	reportIf(s.WeightRate < 1, "--weight-rate: must be at least 1")
	reportIf(s.ConfirmTTL <= s.PollInterval, "--confirm-ttl: must be longer than --poll-interval")
	reportIf(s.PermitTTL < minPermitTTL, "--permit-ttl: must be at least 1s")
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil || s.LogLevel == "" {
		problems = append(problems, "--log-level: must be debug, info, warn or error")
	}
	return append(problems, s.validateAddressesAndDurations()...)
}

func (s *Settings) validateAddressesAndDurations() []string {
	var problems []string
	for _, f := range fields(s) {
		text, isText := f.value.Interface().(string)
		listens := strings.HasSuffix(f.name, "-listen")
		advertises := strings.HasSuffix(f.name, "-advertise") && text != ""
		if isText && (listens || advertises) && !validAddress(text) {
			problems = append(problems, "--"+f.name+": must be IP:PORT")
		}
		if duration, ok := f.value.Interface().(time.Duration); ok && (duration < 0 || duration == 0 && !f.zero) {
			problems = append(problems, "--"+f.name+": must be above 0")
		}
	}
	for _, seed := range s.Seeds {
		if !validAddress(seed) {
			problems = append(problems, "--seeds: "+strconv.Quote(seed)+" is not IP:PORT")
		}
	}
	return problems
}

// validAddress reports whether the text is IP:PORT. Processes connect by IP address, so host names are refused.
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

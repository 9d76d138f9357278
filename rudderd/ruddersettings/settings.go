// Package ruddersettings defines the settings of rudderd: one documented struct that is loaded from flags and
// environment variables and validated at start. docs/settings.md is generated from it.
package ruddersettings

import "time"

// Settings are the settings of one entry host. Each field has a flag `--name` and an environment variable
// `RUDDER_NAME`; the flag takes precedence. The tags give the name, the default and the documentation. The tag
// `zero:"true"` allows a duration of 0, which is otherwise refused.
type Settings struct {
	Name       string `name:"name" doc:"Name of this entry host, unique in the fleet. Letters, digits and hyphens."`
	Region     string `name:"region" doc:"Region of this entry host."`
	DataCentre string `name:"data-centre" doc:"Data centre of this entry host."`

	CallerListen    string `name:"caller-listen" default:"127.0.0.1:8080" doc:"Address to listen on for callers, by IP number."`
	CallerAdvertise string `name:"caller-advertise" doc:"Address that callers use. Empty takes the listening address."`
	PeerListen      string `name:"peer-listen" default:"127.0.0.1:8081" doc:"Address to listen on for other entry hosts."`
	PeerAdvertise   string `name:"peer-advertise" doc:"Address that other entry hosts use. Empty takes the listening address."`
	AdminListen     string `name:"admin-listen" default:"127.0.0.1:8082" doc:"Address to listen on for operators: admin API, metrics, burn report."`

	KeyValueURL string   `name:"key-value-url" doc:"Base URL of the platform's key-value service."`
	HostListURL string   `name:"host-list-url" doc:"Base URL of the platform's host list."`
	Seeds       []string `name:"seeds" doc:"Peer addresses of other entry hosts, comma separated. Lets a host start while the key-value service is down."`

	PeerSecret    string `name:"peer-secret" secret:"true" doc:"Secret shared by all entry hosts that signs calls between them. At least 16 characters. Set it by the environment: flags are visible in process lists."`
	OldPeerSecret string `name:"old-peer-secret" secret:"true" doc:"Second peer secret that is accepted too. To rotate, first give all hosts the new one here, then exchange the two, then remove the old one."`

	BootstrapTokenHash string `name:"bootstrap-token-hash" doc:"Hex SHA-256 of a token that may write the first configuration. It has no effect once a configuration names operators."`

	PermitTTL    time.Duration `name:"permit-ttl" default:"5s" doc:"How long a read of the configuration, or a majority's acknowledgement, lets this host serve. 12s suits 330 entry hosts."`
	ConfirmTTL   time.Duration `name:"confirm-ttl" default:"3s" doc:"Greatest age of a group member's own confirmation for the group to take new work."`
	PollInterval time.Duration `name:"poll-interval" default:"1s" doc:"Time between two polls of a target by its domain's planner."`
	LeaseTTL     time.Duration `name:"lease-ttl" default:"6s" doc:"Time-to-live of a planner's lease."`
	OrderTTL     time.Duration `name:"order-ttl" default:"2s" doc:"Longest time an order to a target may take."`
	WeightRate   int64         `name:"weight-rate" default:"2000000000" doc:"Bytes per second that the weight store gives one host; sets how early loads begin ahead of a window."`

	QueueDeadline time.Duration `name:"queue-deadline" default:"0s" zero:"true" doc:"Longest time a request waits for a slot before it is refused as not run. 0s takes the deadlines of the workspace's preset."`
	SilenceAfter  time.Duration `name:"silence-after" default:"800ms" doc:"Time without a token after which the engine is probed on a new connection. An engine that does not answer counts as dead after this time, but not before 1.1 seconds without a response."`
	MaxAttempts   int           `name:"max-attempts" default:"4" doc:"Greatest number of engines that one request is sent to."`
	CallTimeout   time.Duration `name:"call-timeout" default:"30s" doc:"Longest time a call to a plain service may take."`

	AnswerRetention time.Duration `name:"answer-retention" default:"2m" doc:"How long a finished answer can be picked up again."`
	AnswerBytes     int64         `name:"answer-bytes" default:"33554432" doc:"Memory for finished answers, in bytes. The oldest ones are dropped first."`
	ClaimRetention  time.Duration `name:"claim-retention" default:"24h" doc:"How long an idempotency key and its stored answer are kept."`

	MemoryBytes    int64         `name:"memory-bytes" default:"0" doc:"Memory limit of this process, in bytes; it bounds what is held of requests and responses, connections of callers (0.15, 20 kB each) and the heap (0.7). 0 takes that of the Go runtime, GOMEMLIMIT, or else the memory of the machine."`
	MaxDescriptors int           `name:"max-descriptors" default:"0" doc:"Descriptors that this process may open; 0.35 of them are for connections of callers and 0.03 for those of operators, above which connections without progress are closed. 0 takes the limit of the process, RLIMIT_NOFILE."`
	MaxInFlight    int           `name:"max-in-flight" default:"2000" doc:"Requests in flight above which this host refuses new ones and names another host."`
	MaxBodyBytes   int64         `name:"max-body-bytes" default:"4194304" doc:"Largest request body, in bytes."`
	EntryLifetime  time.Duration `name:"entry-lifetime" default:"10s" doc:"How long callers may keep an answer of GET /v1/entries."`
	StopGrace      time.Duration `name:"stop-grace" default:"10m" doc:"Longest time a stopping entry host waits for its requests in flight, once callers have stopped using its address. It takes no new work that may need longer. The process ends at most 15 seconds after it."`

	LogLevel string `name:"log-level" default:"info" doc:"Least level of log lines: debug, info, warn or error."`
}

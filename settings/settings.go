// Package settings reads the settings of a process from a YAML file and checks them.
//
// # Usage
//
//	s, err := settings.Load("entry.yaml")
//	if err != nil {
//		// One line for each fault: "entry.yaml:3: listen.callers: \"here\" is not an IP address with a port".
//	}
//	server := caller.New(caller.Options{Address: s.Listen().Callers})
package settings

import (
	"time"
)

// Values of KeysSpec.WhenUnreachable: what happens to keyed work while an entry instance cannot confirm that its
// configuration is current.
const (
	// WhenUnreachableRefuse rejects keyed work as "not run".
	WhenUnreachableRefuse = "refuse"
	// WhenUnreachableBounded admits keyed work until KeysSpec.BoundedFreshness has passed.
	WhenUnreachableBounded = "bounded"
)

// Spec is the settings file of an entry instance.
type Spec struct {
	// Name is unique among the entry instances.
	Name string `yaml:"name"`
	// DataCentre is the data centre in which the process runs.
	DataCentre   string           `yaml:"dataCentre"`
	Listen       ListenSpec       `yaml:"listen"`
	Platform     PlatformSpec     `yaml:"platform"`
	Peers        []PeerSpec       `yaml:"peers"`
	Membership   MembershipSpec   `yaml:"membership"`
	Operators    OperatorsSpec    `yaml:"operators"`
	Certificates CertificatesSpec `yaml:"certificates"`
	Limits       LimitsSpec       `yaml:"limits"`
	Keys         KeysSpec         `yaml:"keys"`
	Allotments   AllotmentsSpec   `yaml:"allotments"`
	Waves        WavesSpec        `yaml:"waves"`
	Stop         StopSpec         `yaml:"stop"`
	Log          LogSpec          `yaml:"log"`
}

// ListenSpec holds IP addresses with ports.
type ListenSpec struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
	// Metrics is optional. Without it there is no metrics server.
	Metrics string `yaml:"metrics"`
}

// PlatformSpec holds the address of the platform and the limits on its use.
type PlatformSpec struct {
	// URL is the base URL of the platform's HTTP API.
	URL     string        `yaml:"url"`
	Timeout time.Duration `yaml:"timeout"`
	// WritesPerSecond and ReadsPerSecond are the share of the platform's capacity that this process may use,
	// in requests per second.
	WritesPerSecond float64 `yaml:"writesPerSecond"`
	ReadsPerSecond  float64 `yaml:"readsPerSecond"`
}

// PeerSpec is another entry instance.
type PeerSpec struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// OperatorsSpec holds the settings for the authentication of operators.
type OperatorsSpec struct {
	// BootstrapKey is accepted as long as the configuration holds no operator key. It is optional.
	BootstrapKey string `yaml:"bootstrapKey"`
}

// MembershipSpec holds the settings of the failure detection between entry instances.
type MembershipSpec struct {
	// Heartbeat is the time between heartbeats. It must be the same in all entry instances.
	Heartbeat time.Duration `yaml:"heartbeat"`
}

// CertificatesSpec holds paths of PEM files. The files are reloaded when they change.
type CertificatesSpec struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// LimitsSpec holds the limits on the size and duration of requests, and on the requests that wait in queues.
type LimitsSpec struct {
	HeaderBytes   int   `yaml:"headerBytes"`
	BodyBytes     int64 `yaml:"bodyBytes"`
	ResponseBytes int64 `yaml:"responseBytes"`
	QueueRequests int   `yaml:"queueRequests"`
	QueueBytes    int64 `yaml:"queueBytes"`
	// MemoryBytes is the memory of the process, and 0 for the memory of the machine. It bounds what callers and operators hold.
	MemoryBytes int64         `yaml:"memoryBytes"`
	ReadTimeout time.Duration `yaml:"readTimeout"`
}

// KeysSpec holds the settings of how long keys are trusted after the last confirmation of the configuration.
type KeysSpec struct {
	// Freshness is the greatest age of the last confirmation at which keyed work is admitted with "refuse".
	Freshness time.Duration `yaml:"freshness"`
	// WhenUnreachable is "refuse" or "bounded".
	WhenUnreachable string `yaml:"whenCutOff"`
	// BoundedFreshness is the greatest age of the last confirmation at which keyed work is admitted with "bounded".
	BoundedFreshness time.Duration `yaml:"term"`
}

// AllotmentsSpec holds the settings of allotments, which are parts of the upper limits of teams.
type AllotmentsSpec struct {
	// LeaseDuration is the time after which an allotment expires if its holder does not renew it.
	LeaseDuration time.Duration `yaml:"term"`
}

// WavesSpec holds the settings of maintenance waves, which stop and reboot instances.
type WavesSpec struct {
	// Notice is the time between the announcement that an endpoint leaves and its reboot.
	Notice time.Duration `yaml:"notice"`
	// DrainLimit is how long an instance may drain before the policy of the wave applies.
	DrainLimit time.Duration `yaml:"drainLimit"`
	// LeaseDuration is the time after which the lease of a duty, the control loop that runs waves, expires.
	LeaseDuration time.Duration `yaml:"lease"`
	// Interval is the time between two passes over the stopped instances.
	Interval time.Duration `yaml:"interval"`
}

// StopSpec holds the settings of the shutdown.
type StopSpec struct {
	// BalancerWait is the time between "not ready" and the close of the listener, in which the load balancer stops
	// sending requests.
	BalancerWait time.Duration `yaml:"balancerWait"`
	Timeout      time.Duration `yaml:"timeout"`
}

// LogSpec holds the level and the format of the log.
type LogSpec struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `yaml:"level"`
	// Format is "text" or "json".
	Format string `yaml:"format"`
}

// Default returns the values of settings that are not in the file.
func Default() Spec {
	return Spec{
		Platform:   PlatformSpec{Timeout: 2 * time.Second, WritesPerSecond: 40, ReadsPerSecond: 250},
		Membership: MembershipSpec{Heartbeat: time.Second},
		Limits: LimitsSpec{
			HeaderBytes:   16 << 10,
			BodyBytes:     1 << 20,
			ResponseBytes: 1 << 20,
			QueueRequests: 10_000,
			QueueBytes:    64 << 20,
			ReadTimeout:   10 * time.Second,
		},
		Keys:       KeysSpec{Freshness: 2 * time.Second, WhenUnreachable: WhenUnreachableRefuse, BoundedFreshness: 30 * time.Second},
		Allotments: AllotmentsSpec{LeaseDuration: 30 * time.Second},
		Waves:      WavesSpec{Notice: 3 * time.Second, DrainLimit: 10 * time.Minute, LeaseDuration: 10 * time.Second, Interval: time.Second},
		Stop:       StopSpec{BalancerWait: 5 * time.Second, Timeout: time.Minute},
		Log:        LogSpec{Level: "info", Format: "text"},
	}
}

// Settings holds settings that have passed all checks.
type Settings struct{ spec Spec }

// Name returns the name of the entry instance.
func (s Settings) Name() string { return s.spec.Name }

// DataCentre returns the data centre in which the process runs.
func (s Settings) DataCentre() string { return s.spec.DataCentre }

// Listen returns the addresses on which the process listens.
func (s Settings) Listen() ListenSpec { return s.spec.Listen }

// Platform returns the address of the platform and the limits on its use.
func (s Settings) Platform() PlatformSpec { return s.spec.Platform }

// Peers returns the other entry instances.
func (s Settings) Peers() []PeerSpec { return s.spec.Peers }

// Operators returns the settings for the authentication of operators.
func (s Settings) Operators() OperatorsSpec { return s.spec.Operators }

// Membership returns the settings of the failure detection between entry instances.
func (s Settings) Membership() MembershipSpec { return s.spec.Membership }

// Certificates returns the paths of the certificates.
func (s Settings) Certificates() CertificatesSpec { return s.spec.Certificates }

// Limits returns the limits on requests.
func (s Settings) Limits() LimitsSpec { return s.spec.Limits }

// Keys returns the settings of how long keys are trusted.
func (s Settings) Keys() KeysSpec { return s.spec.Keys }

// Allotments returns the settings of allotments.
func (s Settings) Allotments() AllotmentsSpec { return s.spec.Allotments }

// Waves returns the settings of maintenance waves.
func (s Settings) Waves() WavesSpec { return s.spec.Waves }

// Stop returns the settings of the shutdown.
func (s Settings) Stop() StopSpec { return s.spec.Stop }

// Log returns the level and the format of the log.
func (s Settings) Log() LogSpec { return s.spec.Log }

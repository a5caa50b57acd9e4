// Package settings reads the settings of a process from a YAML file and checks them.
//
// # Usage
//
//	s, err := settings.Load("entry.yaml")
//	if err != nil {
//		// One line for each fault: "entry.yaml:3: listen.callers: \"here\" is not an IP address with a port".
//	}
//	server := caller.NewServer(s.Listen().Callers, ...)
package settings

import (
	"time"
)

// Ways to treat keyed work while an entry instance cannot confirm that its configuration is current.
const (
	// WhenUnreachableRefuse rejects keyed work as not run.
	WhenUnreachableRefuse = "refuse"
	// WhenUnreachableBounded goes on with keyed work for the term of keys.
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

// PlatformSpec tells how to reach the platform.
type PlatformSpec struct {
	// URL is the base of the platform's HTTP interface.
	URL     string        `yaml:"url"`
	Timeout time.Duration `yaml:"timeout"`
	// WritesPerSecond and ReadsPerSecond are the part of the platform's capacity that this process may use.
	WritesPerSecond float64 `yaml:"writesPerSecond"`
	ReadsPerSecond  float64 `yaml:"readsPerSecond"`
}

// PeerSpec is another entry instance.
type PeerSpec struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// OperatorsSpec tells how operators are admitted.
type OperatorsSpec struct {
	// BootstrapKey is accepted as long as the configuration holds no operator key. It is optional.
	BootstrapKey string `yaml:"bootstrapKey"`
}

// MembershipSpec tells how entry instances watch each other.
type MembershipSpec struct {
	// Heartbeat is the time between heartbeats. All entry instances have the same.
	Heartbeat time.Duration `yaml:"heartbeat"`
}

// CertificatesSpec holds paths of PEM files. They are read again when they change.
type CertificatesSpec struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// LimitsSpec bounds what callers may send and what is held for them.
type LimitsSpec struct {
	HeaderBytes   int           `yaml:"headerBytes"`
	BodyBytes     int64         `yaml:"bodyBytes"`
	ResponseBytes int64         `yaml:"responseBytes"`
	QueueRequests int           `yaml:"queueRequests"`
	QueueBytes    int64         `yaml:"queueBytes"`
	ReadTimeout   time.Duration `yaml:"readTimeout"`
}

// KeysSpec tells how long keys are trusted.
type KeysSpec struct {
	// Freshness is the greatest age of the configuration with which keyed work is admitted.
	Freshness time.Duration `yaml:"freshness"`
	// WhenUnreachable is "refuse" or "bounded".
	WhenUnreachable string `yaml:"whenCutOff"`
	// BoundedFreshness is how long keyed work goes on with "bounded".
	BoundedFreshness time.Duration `yaml:"term"`
}

// AllotmentsSpec tells how parts of upper limits are held.
type AllotmentsSpec struct {
	LeaseDuration time.Duration `yaml:"term"`
}

// WavesSpec tells how instances are stopped for maintenance.
type WavesSpec struct {
	// Notice is how long a leaving endpoint is announced before it is rebooted.
	Notice     time.Duration `yaml:"notice"`
	DrainLimit time.Duration `yaml:"drainLimit"`
	// LeaseDuration is the term of a duty lease.
	LeaseDuration time.Duration `yaml:"lease"`
	// Interval is the time between two looks at the stopped instances.
	Interval time.Duration `yaml:"interval"`
}

// StopSpec tells how the process ends.
type StopSpec struct {
	// BalancerWait is the time between "not ready" and the end of the listener, in which the load balancer notices.
	BalancerWait time.Duration `yaml:"balancerWait"`
	Timeout      time.Duration `yaml:"timeout"`
}

// LogSpec tells what is logged and how.
type LogSpec struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `yaml:"level"`
	// Format is "text" or "json".
	Format string `yaml:"format"`
}

// Default returns the settings that apply where the file says nothing.
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

// Settings are checked settings.
type Settings struct{ spec Spec }

// Name returns the name of the entry instance.
func (s Settings) Name() string { return s.spec.Name }

// DataCentre returns the data centre in which the process runs.
func (s Settings) DataCentre() string { return s.spec.DataCentre }

// Listen returns the addresses on which the process listens.
func (s Settings) Listen() ListenSpec { return s.spec.Listen }

// Platform tells how to reach the platform.
func (s Settings) Platform() PlatformSpec { return s.spec.Platform }

// Peers returns the other entry instances.
func (s Settings) Peers() []PeerSpec { return s.spec.Peers }

// Operators tells how operators are admitted.
func (s Settings) Operators() OperatorsSpec { return s.spec.Operators }

// Membership tells how entry instances watch each other.
func (s Settings) Membership() MembershipSpec { return s.spec.Membership }

// Certificates returns the paths of the certificates.
func (s Settings) Certificates() CertificatesSpec { return s.spec.Certificates }

// Limits returns the bounds on requests.
func (s Settings) Limits() LimitsSpec { return s.spec.Limits }

// Keys tells how long keys are trusted.
func (s Settings) Keys() KeysSpec { return s.spec.Keys }

// Allotments tells how parts of upper limits are held.
func (s Settings) Allotments() AllotmentsSpec { return s.spec.Allotments }

// Waves tells how instances are stopped.
func (s Settings) Waves() WavesSpec { return s.spec.Waves }

// Stop tells how the process ends.
func (s Settings) Stop() StopSpec { return s.spec.Stop }

// Log tells what is logged.
func (s Settings) Log() LogSpec { return s.spec.Log }

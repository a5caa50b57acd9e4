// Package bounds holds the time limits of a deployment, on which the scheduler, the intake and the processes agree.
//
// # Usage
//
//	b := bounds.Bounds{MaxLease: 10 * time.Second, StopTimeout: 900 * time.Millisecond}
package bounds

import "time"

// Bounds are the time limits of a deployment. They come from the settings.
type Bounds struct {
	// MaxLease is the maximum duration of a lease that a worker grants.
	MaxLease time.Duration
	// StopTimeout is the maximum time in which a worker stops a task.
	StopTimeout time.Duration
	// GangTimeout is how long a member of a gang waits for the others.
	GangTimeout time.Duration
	// ServiceDownAfter is the time after which a service task that is not at work counts as down.
	ServiceDownAfter time.Duration
	// InstanceCommandInterval is the minimum time between commands of two leaders for one instance.
	InstanceCommandInterval time.Duration
	// DrainWindow is how long after its notice a leaving worker may still get tasks.
	DrainWindow time.Duration
	// Retention is how long clients can query the state of an ended job.
	Retention time.Duration
	// ConfigDelay is the time within which a configuration is in force. ConfigOutageDelay is added to it while the store has trouble.
	ConfigDelay       time.Duration
	ConfigOutageDelay time.Duration
	// ShutdownGrace is the time between the signal to stop a process and its kill.
	ShutdownGrace time.Duration
	// MaxInterference is how long a best-effort task may keep a service over its latency target.
	MaxInterference time.Duration
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// MoveDuration and MaintenanceDuration are how long an instance is down for a move and for maintenance.
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
}

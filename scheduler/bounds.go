package scheduler

import "time"

// Bounds are the times that the deployment sets. They come from the settings.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTimeout is how long a worker takes to stop a task.
	StopTimeout time.Duration
	// GangTimeout is how long a member of a gang waits for the others.
	GangTimeout time.Duration
	// ServiceDownAfter is after which time a service task that is not at work counts as away.
	ServiceDownAfter time.Duration
	// InstanceCommandInterval is the least time between orders of two holders for one instance.
	InstanceCommandInterval time.Duration
	// DrainWindow is how long after its notice a leaving worker may still get tasks.
	DrainWindow time.Duration
	// Retention is how long the state of an ended job can be asked for.
	Retention time.Duration
	// ConfigDelay is how soon a configuration is in force, and ConfigStretch how much later while the store has trouble.
	ConfigDelay       time.Duration
	ConfigOutageDelay time.Duration
	// ShutdownGrace is the time between the order to stop a process and its kill.
	ShutdownGrace time.Duration
	// MaxInterference is how long a filler may keep a service over its target.
	MaxInterference time.Duration
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// MoveDuration and Upkeep are how long an instance is away for a move and for maintenance.
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
}

const (
	// leaseTerm is the lease that each renewal asks for. Renewals follow each other within renewWait, so that at
	// least 3 s are left when a holder dies, and a successor has renewed it after 2.5 s.
	leaseDuration = 4 * time.Second
	// renewWithin is how long after its last answer the lease of a worker is extended.
	maxLeaseExtension = 1200 * time.Millisecond
	// lookAge is how old the reports on the other tasks of a service may be when one of them is stopped, and lookPause the
	// time between two requests for a report.
	maxPollAge = 250 * time.Millisecond
	pollPause  = 150 * time.Millisecond
	// servingAge is how old the report on a service task may be that counts as at work.
	maxServingAge = 1500 * time.Millisecond
	// renewWait is how long a worker holds its answer back until something ends. It bounds the age of loads, which
	// have to be acted on within 4 s.
	renewWait = 800 * time.Millisecond
	// LeadershipTimeout is how long a holder gives orders without having seen in the store that it still holds the duty. The leases
	// last for another leaseTerm, so that tasks outlive an outage of 7 s.
	LeadershipTimeout = 3 * time.Second
	// slowClock is how much slower the clock of a worker may run, from the platform's pages.
	maxClockSlowdown = 0.02
	// lapseMargin covers the rounding of clocks and the way of the last order.
	expiryMargin = 300 * time.Millisecond
	// contactTimeout is after which silence a worker gets no new tasks. Two renewals fit.
	contactTimeout = 2 * time.Second
	// leaseReserve is the least lease that is left when a task is started.
	leaseReserve = 1500 * time.Millisecond
	// unknownGrace is how long ends and runs of a job that is not known yet are kept. The job rows are read once a second.
	unknownJobGrace = 3 * time.Second
	// runsPerTenure separates the run numbers of successive holders, which do not know all runs of the one before.
	runsPerTerm = 1000
	// noRoomPause is how long a worker that refused a task for want of room gets none. It reports its runs meanwhile.
	noRoomPause = 400 * time.Millisecond
	// unhealthyPause is how long a worker that refuses all orders gets none.
	unhealthyPause = time.Second
	// invalidPause is how long a task waits that a worker called malformed.
	invalidPause = 2 * time.Second
	// stopRepeat is after which time beyond the stop timeout a stop is sent again.
	stopRepeatDelay = 1500 * time.Millisecond
)

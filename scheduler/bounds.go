package scheduler

import (
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/horizon"
	"github.com/chivetiller/chivetiller/internal/settings/bounds"
)

// Bounds are the time limits of a deployment.
type Bounds = bounds.Bounds

const (
	// leaseDuration is the duration that each renewal requests. Renewals follow each other within renewWait, so at least
	// 3 s are left when a leader dies. The next leader has renewed the lease after 2.5 s.
	leaseDuration = 4 * time.Second
	// maxLeaseExtension limits the lease of a silent worker: renewals extend it by no more than this after the last reply.
	maxLeaseExtension = 1200 * time.Millisecond
	// maxPollAge is the maximum age of the reports on the other tasks of a service when one of them is stopped. pollPause is
	// the minimum time between two polls of a worker.
	maxPollAge = 250 * time.Millisecond
	pollPause  = 150 * time.Millisecond
	// maxServingAge is the maximum age of a report that counts a service task as at work.
	maxServingAge = 1500 * time.Millisecond
	// renewWait is how long a worker may delay its reply until a run exits. It bounds the age of load reports, which have
	// to be acted on within 4 s.
	renewWait = 800 * time.Millisecond
	// LeadershipTimeout is how long a leader sends commands without having confirmed its leadership in the store.
	LeadershipTimeout = 3 * time.Second
	// maxUnconfirmedLease is the longest time after the last confirmation of the leadership at which a lease ends. Tasks survive a store
	// outage of that length, and the next leader waits as long for workers that it does not reach.
	maxUnconfirmedLease = 5400 * time.Millisecond
	// maxClockSlowdown is the share by which the clock of a worker may be slow, as the platform documents it.
	maxClockSlowdown = 0.02
	// expiryMargin covers the rounding of clocks and the latency of the last command.
	expiryMargin = 300 * time.Millisecond
	// contactTimeout is the time without a reply after which a worker gets no new tasks. Two renewals fit into it.
	contactTimeout = 2 * time.Second
	// leaseReserve is the minimum time left of a worker's lease when a task is started on it.
	leaseReserve = 1500 * time.Millisecond
	// unknownJobGrace is how long exits and runs of an unknown job are kept. The job rows are read about once a second.
	unknownJobGrace = 3 * time.Second
	// runsPerTerm separates the run numbers of successive leaders. A new leader does not know all runs of the previous one.
	runsPerTerm = 1000
	// noRoomPause is how long a worker that had no room for a task gets no new ones. Meanwhile it reports its runs.
	noRoomPause = 400 * time.Millisecond
	// unhealthyPause is how long a worker that refuses all commands gets no tasks.
	unhealthyPause = time.Second
	// invalidPause is the time before a task is started again that a worker rejected as malformed.
	invalidPause = 2 * time.Second
	// stopRepeatDelay is the time after the stop timeout at which a stop is sent again.
	stopRepeatDelay = 1500 * time.Millisecond
)

// permissionLimits returns the limits to the commands and leases of a leader.
func permissionLimits(b Bounds) horizon.Limits {
	return horizon.Limits{
		Confirmation: LeadershipTimeout, Lease: leaseDuration, UnconfirmedLease: maxUnconfirmedLease, MaxLease: b.MaxLease, CommandDelay: maxCommandDelay, ClockSlowdown: maxClockSlowdown,
		Margin: expiryMargin,
	}
}

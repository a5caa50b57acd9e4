// Package horizon computes until when permissions that earlier leaders gave may be in force: commands that they still send, and leases
// of workers. It has no state and no clock. The proof is in docs/decisions/handover.md.
//
// # Usage
//
//	leaders := horizon.Leaders{AcquiredAt: now, PreviousEndedAt: now, EarlierUntil: horizon.EarlierUntil(limits.Confirmation, previousSeenAt, stored)}
//	if now > leaders.LeasesUntil(limits, false) {
//		// No task that an earlier leader started runs on a worker that has not answered.
//	}
package horizon

import "time"

// Limits are the limits that the protocol and the settings set to permissions.
type Limits struct {
	// Confirmation is how long a leader sends commands after it last confirmed its leadership in the store.
	Confirmation time.Duration
	// Lease is the longest time for which a leader extends the lease of a worker, counted from the time at which it computes the end.
	Lease time.Duration
	// UnconfirmedLease is the longest time after the last confirmation of its leadership at which a lease ends that a leader gives.
	UnconfirmedLease time.Duration
	// MaxLease is the longest lease that a worker grants, whatever end a command names.
	MaxLease time.Duration
	// CommandDelay is how long a command without an answer may still be carried out.
	CommandDelay time.Duration
	// ClockSlowdown is the share by which the clock of a worker may be slow.
	ClockSlowdown float64
	// Margin covers the rounding of clocks and the latency of the last command.
	Margin time.Duration
}

// onWorker returns the longest time that a worker may take for a duration on its own clock. The share is doubled because the duration
// was computed with a clock that may be slow, too.
func (l Limits) onWorker(d time.Duration) time.Duration {
	return d + time.Duration(2*l.ClockSlowdown*float64(d))
}

// leaseAfter returns the time at which a lease has certainly ended whose end was computed at a time.
func (l Limits) leaseAfter(at time.Duration) time.Duration {
	return at + l.onWorker(min(l.Lease, l.MaxLease)) + l.Margin
}

// leaseConfirmedAt returns the time at which a lease has certainly ended that was given by a leader which had last confirmed its
// leadership at a time.
func (l Limits) leaseConfirmedAt(at time.Duration) time.Duration {
	return min(at+l.onWorker(l.UnconfirmedLease)+l.Margin, l.leaseAfter(at+l.Confirmation))
}

// Leaders is what a leader knows of the leaders before it. All times are monotonic times of its process.
type Leaders struct {
	// AcquiredAt is a time at which the leader row named this leader. None before it has confirmed its leadership since.
	AcquiredAt time.Duration
	// PreviousEndedAt is a time at which the leader before this one sent no more commands, since it has resigned or its process has
	// ended. It is 0 if that is not known.
	PreviousEndedAt time.Duration
	// EarlierUntil is the time until which the leaders before the previous one may send commands. It is 0 if that is not known.
	EarlierUntil time.Duration
	// PreviousSeenAt is a time at which the leader row named the leader before this one. None before that has confirmed its leadership
	// since. It is 0 if it is not known.
	PreviousSeenAt time.Duration
	// UnboundedUntil is the time until which leaders may send commands that do not observe [Limits.UnconfirmedLease], and 0 if there
	// are none.
	UnboundedUntil time.Duration
}

// EarlierUntil returns the time until which the leaders before the previous one may send commands. previousSeenAt is a time at which
// the leader row named the previous one, so that none before it has confirmed its leadership since. stored is the time that the
// previous leader left behind, and 0 if there is none. confirmation is [Limits.Confirmation].
func EarlierUntil(confirmation, previousSeenAt, stored time.Duration) time.Duration {
	until := previousSeenAt + confirmation
	if stored != 0 {
		until = min(until, stored)
	}
	return until
}

// ActiveUntil returns the time until which an earlier leader may send commands. confirmation is [Limits.Confirmation].
func (s Leaders) ActiveUntil(confirmation time.Duration) time.Duration {
	until := s.AcquiredAt + confirmation
	if s.PreviousEndedAt == 0 || s.EarlierUntil == 0 {
		return until
	}
	return min(until, max(s.PreviousEndedAt, s.EarlierUntil))
}

// LeasesUntil returns the time at which the lease of a worker that has not answered this leader has certainly ended. restarted means
// that the worker has started again under its ID since an earlier leader knew it. An end on the clock of its earlier life is later than
// any that its clock shows now, so that a command which arrives late extends the lease by the longest that the worker grants.
func (s Leaders) LeasesUntil(l Limits, restarted bool) time.Duration {
	if restarted {
		return s.ActiveUntil(l.Confirmation) + l.CommandDelay + l.onWorker(l.MaxLease) + l.Margin
	}
	until := max(s.previousLeasesUntil(l), s.earlierLeasesUntil(l))
	if s.UnboundedUntil != 0 {
		until = max(until, l.leaseAfter(min(s.UnboundedUntil, s.ActiveUntil(l.Confirmation))))
	}
	return until
}

// previousLeasesUntil returns the time at which the leases of the previous leader have ended.
func (s Leaders) previousLeasesUntil(l Limits) time.Duration {
	until := l.leaseConfirmedAt(s.AcquiredAt)
	if s.PreviousEndedAt != 0 {
		until = min(until, l.leaseAfter(s.PreviousEndedAt))
	}
	return until
}

// earlierLeasesUntil returns the time at which the leases of the leaders before the previous one have ended.
func (s Leaders) earlierLeasesUntil(l Limits) time.Duration {
	until := l.leaseConfirmedAt(s.AcquiredAt)
	if s.EarlierUntil != 0 {
		until = min(until, l.leaseAfter(s.EarlierUntil))
	}
	if s.PreviousSeenAt != 0 {
		until = min(until, l.leaseConfirmedAt(s.PreviousSeenAt))
	}
	return until
}

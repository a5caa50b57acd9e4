package horizon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var limits = Limits{
	Confirmation: 3 * time.Second, Lease: 4 * time.Second, UnconfirmedLease: 5400 * time.Millisecond, MaxLease: 10 * time.Second, CommandDelay: 13 * time.Second, ClockSlowdown: 0.02,
	Margin: 300 * time.Millisecond,
}

// TestActiveUntil guards against a leader that still sends commands and is taken to have ended, because a later one has, and against
// waiting for leaders that have all ended.
func TestActiveUntil(t *testing.T) {
	const acquired = time.Minute
	tests := map[string]struct {
		leaders Leaders
		want    time.Duration
	}{
		"previous leader not known to have ended": {Leaders{EarlierUntil: acquired - time.Second}, acquired + 3*time.Second},
		"earlier leaders unknown":                 {Leaders{PreviousEndedAt: acquired}, acquired + 3*time.Second},
		"earlier leader may act":                  {Leaders{PreviousEndedAt: acquired, EarlierUntil: acquired + 2500*time.Millisecond}, acquired + 2500*time.Millisecond},
		"all have ended":                          {Leaders{PreviousEndedAt: acquired, EarlierUntil: acquired - time.Second}, acquired},
		"previous leader ended later":             {Leaders{PreviousEndedAt: acquired + time.Second, EarlierUntil: acquired - time.Second}, acquired + time.Second},
		"ended after it could act":                {Leaders{PreviousEndedAt: acquired + time.Hour, EarlierUntil: acquired}, acquired + 3*time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.leaders.AcquiredAt = acquired
			qt.Assert(t, test.leaders.ActiveUntil(limits.Confirmation), qt.Equals, test.want)
		})
	}
}

// TestEarlierUntil guards against a stored time that extends the wait, and against a row without one that is read as "none".
func TestEarlierUntil(t *testing.T) {
	tests := map[string]struct{ seen, stored, want time.Duration }{
		"row of an earlier version": {time.Minute, 0, time.Minute + 3*time.Second},
		"stored time is earlier":    {time.Minute, time.Minute - time.Second, time.Minute - time.Second},
		"row was seen long ago":     {time.Minute, time.Hour, time.Minute + 3*time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, EarlierUntil(limits.Confirmation, test.seen, test.stored), qt.Equals, test.want)
		})
	}
}

// TestLeasesUntil guards against a lease that is taken as expired while a command of an earlier leader may extend it.
func TestLeasesUntil(t *testing.T) {
	ended := Leaders{AcquiredAt: time.Minute, PreviousEndedAt: time.Minute, EarlierUntil: time.Minute}
	earlierActs := func(until time.Duration) Leaders {
		return Leaders{AcquiredAt: time.Minute, PreviousEndedAt: time.Minute, EarlierUntil: time.Minute + until}
	}
	seen, unbounded := earlierActs(2500*time.Millisecond), Leaders{AcquiredAt: time.Minute, UnboundedUntil: time.Minute + 3*time.Second}
	seen.PreviousSeenAt = time.Minute - 500*time.Millisecond
	longUnbounded := unbounded
	longUnbounded.UnboundedUntil += time.Hour
	oldUnbounded := unbounded
	oldUnbounded.UnboundedUntil = time.Minute + time.Second
	tests := map[string]struct {
		leaders   Leaders
		maxLease  time.Duration
		restarted bool
		want      time.Duration
	}{
		"all have ended":       {ended, 10 * time.Second, false, 4460 * time.Millisecond},
		"previous leader acts": {Leaders{AcquiredAt: time.Minute, EarlierUntil: time.Minute}, 10 * time.Second, false, 5916 * time.Millisecond},
		"earlier leader acts":  {earlierActs(time.Second), 10 * time.Second, false, 5460 * time.Millisecond},
		"it acts for longer":   {earlierActs(2500 * time.Millisecond), 10 * time.Second, false, 5916 * time.Millisecond},
		"it acts no more":      {earlierActs(-time.Second), 10 * time.Second, false, 4460 * time.Millisecond},
		"previous row seen":    {seen, 10 * time.Second, false, 5416 * time.Millisecond},
		"not known":            {Leaders{AcquiredAt: time.Minute}, 10 * time.Second, false, 5916 * time.Millisecond},
		"earlier version":      {unbounded, 10 * time.Second, false, 7460 * time.Millisecond},
		"long ago":             {oldUnbounded, 10 * time.Second, false, 5916 * time.Millisecond},
		"beyond confirmation":  {longUnbounded, 10 * time.Second, false, 7460 * time.Millisecond},
		"short, not ended":     {Leaders{AcquiredAt: time.Minute}, 2 * time.Second, false, 5380 * time.Millisecond},
		"short leases":         {ended, 2 * time.Second, false, 2380 * time.Millisecond},
		"worker has restarted": {ended, 10 * time.Second, true, 23700 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := limits
			l.MaxLease = test.maxLease
			qt.Assert(t, test.leaders.LeasesUntil(l, test.restarted)-time.Minute, qt.Equals, test.want)
		})
	}
}

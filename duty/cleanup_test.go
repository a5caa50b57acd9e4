package duty_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/provider"
)

// cleanupCalls counts the calls of the clean-up, and fails the first calls of Compact.
type cleanupCalls struct {
	claims, changes, objects int
	failures                 int
	checks                   []provider.Check
}

func (c *cleanupCalls) Clean(_ context.Context, _ time.Time, _ int, guard func(provider.Txn) provider.Txn) (int, bool, error) {
	c.claims++
	c.checks = guard(provider.Txn{}).Checks
	return 0, true, nil
}

func (c *cleanupCalls) Compact(context.Context) (int, error) {
	c.changes++
	if c.changes <= c.failures {
		return 0, provider.ErrUnavailable
	}
	return 1, nil
}

// fixedLease is a lease that is always held, or never.
type fixedLease bool

func (h fixedLease) Holds(string) (provider.Check, bool) {
	return provider.Check{Key: "fence/housekeeping", Version: 7}, bool(h)
}

// TestCleanup guards against a clean-up that runs without the lease, does not check the row of the fencing token, removes slowly
// growing data in every pass, or never runs again after a failure.
func TestCleanup(t *testing.T) {
	tests := map[string]struct {
		leases   fixedLease
		failures int
		want     string
	}{
		"held":                 {leases: true, want: "claims 120, changes 2, objects 2"},
		"store fails at first": {leases: true, failures: 3, want: "claims 120, changes 5, objects 5"},
		"not held":             {want: "claims 0, changes 0, objects 0"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := &cleanupCalls{failures: tt.failures}
				c := duty.NewCleanup(duty.CleanupOptions{
					Rows: []duty.RowCleaner{calls}, Changes: calls,
					Prune: func(context.Context, time.Time, int) (int, error) {
						calls.objects++
						return 0, nil
					},
				})
				for range 120 {
					qt.Assert(t, c.Pass(t.Context(), tt.leases), qt.IsNil)
					time.Sleep(time.Minute)
				}
				qt.Assert(t, fmt.Sprintf("claims %d, changes %d, objects %d", calls.claims, calls.changes, calls.objects), qt.Equals, tt.want)
				if tt.leases {
					qt.Assert(t, calls.checks, qt.DeepEquals, []provider.Check{{Key: "fence/housekeeping", Version: 7}})
				}
			})
		})
	}
}

package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/claim"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// limitedTable rejects transactions with large rows. While it is down, it rejects all.
type limitedTable struct {
	*standin.Table
	down              atomic.Bool
	rejected, written atomic.Int64
}

func (l *limitedTable) Commit(ctx context.Context, txn provider.Txn) error {
	if l.down.Load() {
		return provider.ErrUnavailable
	}
	for _, w := range txn.Writes {
		if len(w.Value) > 8<<10 {
			l.rejected.Add(1)
			return fmt.Errorf("%w: row is too large", provider.ErrUnknownOutcome)
		}
	}
	l.written.Add(1)
	return l.Table.Commit(ctx, txn)
}

// TestRejectedOutcome guards against an outcome that the table rejects, which is tried again without end and fails the claims and
// outcomes of its transactions.
func TestRejectedOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &limitedTable{Table: standin.NewTable()}
		store := claim.NewStore(claim.Options{Table: table, Owner: "a"})
		large, err := store.Claim(t.Context(), "team", "large", [32]byte{})
		qt.Assert(t, err, qt.IsNil)
		large.Done(make([]byte, claim.MaxResponse))
		time.Sleep(time.Second)
		for i := range 300 {
			c, err := store.Claim(t.Context(), "team", fmt.Sprint(i), [32]byte{})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("claim %d", i))
			c.Done([]byte("ok"))
			time.Sleep(time.Second)
		}
		qt.Assert(t, table.rejected.Load() <= 40, qt.IsTrue, qt.Commentf("%d transactions were rejected", table.rejected.Load()))
		qt.Assert(t, store.PendingOutcomes(), qt.Equals, 0)
		for i := range 300 {
			_, err := store.Claim(t.Context(), "team", fmt.Sprint(i), [32]byte{})
			var taken *claim.TakenError
			qt.Assert(t, errors.As(err, &taken) && taken.Stored, qt.IsTrue, qt.Commentf("claim %d: %v", i, err))
		}
		qt.Assert(t, store.Stop(t.Context()), qt.IsNil)
	})
}

// TestOutcomesAfterOutage guards against outcomes that are dropped during an outage of the table, and against one transaction for each
// of them after it.
func TestOutcomesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &limitedTable{Table: standin.NewTable()}
		store := claim.NewStore(claim.Options{Table: table, Owner: "a"})
		var claims []*claim.Claim
		for i := range 1000 {
			c, err := store.Claim(t.Context(), "team", fmt.Sprint(i), [32]byte{})
			qt.Assert(t, err, qt.IsNil)
			claims = append(claims, c)
		}
		table.down.Store(true)
		for _, c := range claims {
			c.Done([]byte("ok"))
		}
		time.Sleep(time.Hour)
		qt.Assert(t, store.PendingOutcomes(), qt.Equals, len(claims))
		table.down.Store(false)
		before := table.written.Load()
		time.Sleep(2 * time.Second)
		qt.Assert(t, store.PendingOutcomes(), qt.Equals, 0)
		qt.Assert(t, table.written.Load()-before <= 60, qt.IsTrue, qt.Commentf("%d transactions", table.written.Load()-before))
		qt.Assert(t, store.Stop(t.Context()), qt.IsNil)
	})
}

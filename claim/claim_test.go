package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/claim"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// TestSecondClaim guards against a second run of a request whose key is claimed, and against answering a repeated
// request with the response to another one.
func TestSecondClaim(t *testing.T) {
	large := make([]byte, claim.MaxResponse+1)
	tests := map[string]struct {
		finish func(*claim.Claim)
		digest [32]byte
		want   error
	}{
		"running":                      {finish: func(*claim.Claim) {}, want: &claim.TakenError{}},
		"done":                         {finish: func(c *claim.Claim) { c.Done([]byte("ok")) }, want: &claim.TakenError{Done: true, Stored: true, Response: []byte("ok")}},
		"done, empty":                  {finish: func(c *claim.Claim) { c.Done(nil) }, want: &claim.TakenError{Done: true, Stored: true}},
		"done, large":                  {finish: func(c *claim.Claim) { c.Done(large) }, want: &claim.TakenError{Done: true}},
		"released":                     {finish: func(c *claim.Claim) { c.Release() }},
		"other request":                {finish: func(c *claim.Claim) { c.Done(nil) }, digest: [32]byte{1}, want: claim.ErrMismatch},
		"released, then other request": {finish: func(c *claim.Claim) { c.Release() }, digest: [32]byte{1}},
		"done, then released":          {finish: func(c *claim.Claim) { c.Done(nil); c.Release() }, want: &claim.TakenError{Done: true, Stored: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				table := standin.NewTable()
				first := claim.NewStore(claim.Options{Table: table, Owner: "a"})
				second := claim.NewStore(claim.Options{Table: table, Owner: "b"})
				c, err := first.Claim(ctx, "team", "key", [32]byte{})
				qt.Assert(t, err, qt.IsNil)
				tt.finish(c)
				time.Sleep(time.Second)
				_, err = second.Claim(ctx, "team", "key", tt.digest)
				var taken *claim.TakenError
				if errors.As(err, &taken) {
					qt.Check(t, taken, qt.DeepEquals, tt.want)
				} else {
					qt.Check(t, err, qt.ErrorIs, tt.want)
				}
				qt.Assert(t, first.Stop(ctx), qt.IsNil)
				qt.Assert(t, second.Stop(ctx), qt.IsNil)
			})
		})
	}
}

// TestBatchWithConflict guards against a key that is claimed already and makes the other claims of its transaction
// fail too.
func TestBatchWithConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		store := claim.NewStore(claim.Options{Table: table, Owner: "a"})
		_, err := store.Claim(t.Context(), "team", "key 3", [32]byte{})
		qt.Assert(t, err, qt.IsNil)
		var wg sync.WaitGroup
		errs := make([]error, 8)
		for i := range errs {
			wg.Go(func() { _, errs[i] = store.Claim(context.Background(), "team", fmt.Sprintf("key %d", i), [32]byte{}) })
		}
		wg.Wait()
		for i, err := range errs {
			qt.Check(t, err != nil, qt.Equals, i == 3, qt.Commentf("key %d: %v", i, err))
		}
		qt.Assert(t, store.Stop(t.Context()), qt.IsNil)
	})
}

// TestOutage guards against a claim that waits while the table is unavailable, an outcome that is lost in an outage, and
// a Stop that reports success although outcomes have not been written.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Options{})
		store := claim.NewStore(claim.Options{Table: p.Client(standin.Identity{}).Table(), Owner: "a"})
		for i := range 2 {
			c, err := store.Claim(t.Context(), "team", fmt.Sprint(i), [32]byte{})
			qt.Assert(t, err, qt.IsNil)
			p.SetFaults(standin.Faults{Down: true})
			begin := time.Now()
			_, err = store.Claim(t.Context(), "team", "other", [32]byte{})
			qt.Check(t, err, qt.ErrorIs, claim.ErrNotClaimed)
			qt.Check(t, time.Since(begin) < 2*time.Second, qt.IsTrue)
			c.Done([]byte("ok"))
			time.Sleep(time.Hour)
			qt.Check(t, store.PendingOutcomes(), qt.Equals, 1)
			p.SetFaults(standin.Faults{})
			time.Sleep(2 * time.Second)
			_, err = store.Claim(t.Context(), "team", fmt.Sprint(i), [32]byte{})
			var taken *claim.TakenError
			qt.Assert(t, errors.As(err, &taken), qt.IsTrue)
			qt.Check(t, string(taken.Response), qt.Equals, "ok")
		}
		c, err := store.Claim(t.Context(), "team", "last", [32]byte{})
		qt.Assert(t, err, qt.IsNil)
		p.SetFaults(standin.Faults{Down: true})
		c.Done(nil)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		qt.Check(t, store.Stop(ctx), qt.ErrorMatches, "1 outcomes of claims are not recorded: .*")
	})
}

// TestClean guards against a claim that is removed before the end of its retention, and one that is never removed.
func TestClean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		store := claim.NewStore(claim.Options{Table: table, Owner: "a"})
		for i := range 10 {
			_, err := store.Claim(t.Context(), "team", fmt.Sprint(i), [32]byte{})
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(time.Hour)
		}
		cleaner := claim.NewCleaner(table)
		for _, wait := range []time.Duration{0, claim.Retention - 8*time.Hour, time.Hour, 24 * time.Hour} {
			time.Sleep(wait)
			total := 0
			for last := false; !last; {
				removed, end, err := cleaner.Clean(t.Context(), time.Now(), 3, nil)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, removed <= 3, qt.IsTrue)
				total, last = total+removed, end
			}
			want := map[time.Duration]int{0: 0, claim.Retention - 8*time.Hour: 3, time.Hour: 1, 24 * time.Hour: 6}
			qt.Check(t, total, qt.Equals, want[wait], qt.Commentf("after %v", wait))
		}
		qt.Assert(t, store.Stop(t.Context()), qt.IsNil)
	})
}

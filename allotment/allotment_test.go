package allotment_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// TestLimitOverHolders guards against holders that together admit more than the limit, and against allotments that
// remain with a holder that does not use them.
func TestLimitOverHolders(t *testing.T) {
	tests := map[string]struct {
		limit, holders int
	}{
		"one holder":           {limit: 5, holders: 1},
		"three holders":        {limit: 10, holders: 3},
		"fewer than holders":   {limit: 2, holders: 5},
		"limit 1":              {limit: 1, holders: 3},
		"seven holders, large": {limit: 1000, holders: 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				holders := make([]*allotment.Holder, 0, tt.holders)
				for i := range tt.holders {
					h := allotment.NewHolder(allotment.Options{Table: table, Holder: string(rune('a' + i))})
					h.SetLimits(1, map[string]int{"team": tt.limit})
					qt.Assert(t, h.Start(t.Context()), qt.IsNil)
					holders = append(holders, h)
				}
				for _, user := range holders {
					// All demand moves to one holder. It acquires nearly the whole limit within a few syncs.
					var permits []*allotment.Permit
					for range 150 {
						for {
							p, err := user.Acquire("team")
							if err != nil {
								break
							}
							qt.Assert(t, p.Check(), qt.IsNil)
							permits = append(permits, p)
						}
						time.Sleep(100 * time.Millisecond)
					}
					qt.Check(t, len(permits) >= max(tt.limit-tt.holders+1, 1), qt.IsTrue, qt.Commentf("%d of %d", len(permits), tt.limit))
					qt.Check(t, len(permits) <= tt.limit, qt.IsTrue, qt.Commentf("%d of %d", len(permits), tt.limit))
					for _, p := range permits {
						p.Release()
					}
					time.Sleep(11 * time.Second)
				}
				for _, h := range holders {
					qt.Check(t, h.Stop(t.Context()), qt.IsNil)
				}
				rows, err := table.Read(t.Context(), "allotment/team")
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, string(rows[0].Value), qt.Matches, `\{"limit":\d+,"version":1\}`)
			})
		})
	}
}

// TestJobsCountAgainstLimit guards against jobs and requests that together exceed the limit, and against jobs that
// never start because entry instances keep unused allotments.
func TestJobsCountAgainstLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		h := allotment.NewHolder(allotment.Options{Table: table, Holder: "a"})
		h.SetLimits(1, map[string]int{"team": 4})
		qt.Assert(t, h.Start(t.Context()), qt.IsNil)
		_, _, err := allotment.JobCountUpdate(t.Context(), table, "team", 4, 3)
		qt.Assert(t, err, qt.ErrorIs, allotment.ErrLimit)
		h.SetJobDemand("team", 3)
		time.Sleep(5 * time.Second)
		check, write, err := allotment.JobCountUpdate(t.Context(), table, "team", 4, 3)
		qt.Assert(t, err, qt.IsNil)
		txn := provider.Txn{OperationID: "1", Checks: []provider.Check{check}, Writes: []provider.Write{write}}
		qt.Assert(t, table.Commit(t.Context(), txn), qt.IsNil)
		h.SetJobDemand("team", 0)
		time.Sleep(5 * time.Second)
		qt.Check(t, h.Usage("team").Held, qt.Equals, 1)
		qt.Check(t, h.Usage("team").Jobs, qt.Equals, 3)
		qt.Assert(t, h.Stop(t.Context()), qt.IsNil)
	})
}

// TestRemovedTeam guards against allotments that remain after their team is removed, and a team that cannot be used
// after it is added again.
func TestRemovedTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		h := allotment.NewHolder(allotment.Options{Table: table, Holder: "a"})
		qt.Assert(t, h.Start(t.Context()), qt.IsNil)
		for version := range uint64(3) {
			h.SetLimits(3*version+1, map[string]int{"team": 4})
			time.Sleep(2 * time.Second)
			permit, err := h.Acquire("team")
			qt.Assert(t, err, qt.IsNil)
			h.SetLimits(3*version+2, nil)
			time.Sleep(2 * time.Second)
			qt.Check(t, h.Usage("team").Held, qt.Equals, 1, qt.Commentf("a request still runs"))
			permit.Release()
			time.Sleep(15 * time.Second)
			qt.Check(t, h.Usage("team"), qt.Equals, allotment.Usage{})
			rows, err := table.Read(t.Context(), "allotment/team")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(rows[0].Value), qt.Matches, `\{"limit":0,"version":\d+\}`)
		}
		qt.Check(t, h.Stop(t.Context()), qt.IsNil)
	})
}

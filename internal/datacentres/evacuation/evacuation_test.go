package evacuation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRows guards against an evacuation that is missed, or that lasts after its row was removed, because reads of the rows overlap and
// their replies come in another order than they were sent, or because the history of changes is lost.
func TestRows(t *testing.T) {
	names := []string{"a", "b", "c"}
	type change struct {
		name      string
		evacuated bool
	}
	rapid.Check(t, func(rt *rapid.T) {
		var rows Rows
		var history []change
		// at returns the evacuated data centres as of a version, which is the number of changes.
		at := func(version int) (list []string) {
			state := make(map[string]bool)
			for _, c := range history[:version] {
				state[c.name] = c.evacuated
			}
			for _, name := range names {
				if state[name] {
					list = append(list, name)
				}
			}
			return list
		}
		read, scan := 0, -1
		now := time.Duration(0)
		readChanges := func() {
			for i := read; i < len(history); i++ {
				rows.Apply(history[i].name, history[i].evacuated, uint64(i+1), now)
			}
			rows.Advance(uint64(len(history)))
			read = len(history)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"write": func(rt *rapid.T) {
				history = append(history, change{rapid.SampledFrom(names).Draw(rt, "name"), rapid.Bool().Draw(rt, "evacuated")})
			},
			"changes": func(*rapid.T) { readChanges() },
			"changes, cut short": func(rt *rapid.T) {
				for i := read; i < min(read+rapid.IntRange(0, 3).Draw(rt, "rows"), len(history)); i++ {
					rows.Apply(history[i].name, history[i].evacuated, uint64(i+1), now)
				}
			},
			"scan is answered": func(*rapid.T) {
				if scan < 0 {
					scan = len(history)
				}
			},
			"reply of the scan arrives": func(*rapid.T) {
				if scan >= 0 {
					rows.Replace(at(scan), uint64(scan), now)
					scan = -1
				}
			},
			"history is lost": func(rt *rapid.T) {
				before := rows.Set()
				rows.Replace(at(len(history)), uint64(len(history)), now)
				read = len(history)
				for _, name := range rows.Set().Names() {
					if before.Contains(name) && rows.Set().Since(name) != before.Since(name) {
						rt.Fatalf("%s is evacuated since %v, and was since %v", name, rows.Set().Since(name), before.Since(name))
					}
				}
			},
			"": func(*rapid.T) { now += time.Second },
		})
		readChanges()
		if got, want := rows.Set().Names(), at(len(history)); len(rows.Set().Without(NewSet(0, want...))) > 0 || len(got) != len(want) {
			rt.Fatalf("evacuated are %v, the rows are %v", got, want)
		}
	})
}

// TestDecide guards against a run that is stopped although it cannot go on, or has no place, and against a question about the budget, which
// costs a call, for a run that stays anyway.
func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		run               Run
		hasRoom, mayStop  bool
		want              Decision
		asksRoom, asksMay bool
	}{
		"batch":                       {want: Finish, hasRoom: true, mayStop: true},
		"service":                     {run: Run{Lasting: true}, hasRoom: true, mayStop: true, want: MoveOut, asksRoom: true, asksMay: true},
		"service without room":        {run: Run{Lasting: true}, mayStop: true, want: WaitForRoom, asksRoom: true},
		"service without budget":      {run: Run{Lasting: true}, hasRoom: true, want: WaitForBudget, asksRoom: true, asksMay: true},
		"batch with checkpoints":      {run: Run{Resumable: true}, hasRoom: true, mayStop: true, want: MoveOut, asksRoom: true, asksMay: true},
		"checkpoints without room":    {run: Run{Resumable: true}, mayStop: true, want: WaitForRoom, asksRoom: true},
		"service that has checkpoint": {run: Run{Lasting: true, Resumable: true}, want: WaitForRoom, asksRoom: true},
	} {
		t.Run(name, func(t *testing.T) {
			var askedRoom, askedMay bool
			got := test.run.Decide(func() bool { askedRoom = true; return test.hasRoom }, func() bool { askedMay = true; return test.mayStop })
			qt.Assert(t, got, qt.Equals, test.want, qt.Commentf("%s", got))
			qt.Assert(t, []bool{askedRoom, askedMay}, qt.DeepEquals, []bool{test.asksRoom, test.asksMay})
		})
	}
}

package copies

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// expectation is a fixed expectation.
type expectation struct {
	median, quantile time.Duration
	runs             int
}

func (e expectation) Median() time.Duration          { return e.median }
func (e expectation) Quantile(float64) time.Duration { return e.quantile }
func (e expectation) Runs() int                      { return e.runs }

// TestWants guards against copies of runs that are not late, that nothing reliable is known of, or whose failure would end the job, and
// against late runs without a copy.
func TestWants(t *testing.T) {
	known := expectation{median: time.Second, quantile: 1700 * ms, runs: minRuns}
	narrow := expectation{median: time.Second, quantile: 1100 * ms, runs: minRuns}
	short := expectation{median: 10 * ms, quantile: 20 * ms, runs: minRuns}
	unknown := expectation{median: time.Second, quantile: 1500 * ms, runs: minRuns - 1}
	siblings := []time.Duration{900 * ms, time.Second, 1100 * ms}
	for name, test := range map[string]struct {
		siblings []time.Duration
		e        Expectation
		run      Run
		want     bool
	}{
		"before the quantile":             {nil, known, Run{Ran: 1700 * ms, Attempts: 3}, false},
		"beyond the quantile":             {nil, known, Run{Ran: 1701 * ms, Attempts: 3}, true},
		"before the multiple":             {nil, narrow, Run{Ran: 1500 * ms, Attempts: 3}, false},
		"beyond the multiple":             {nil, narrow, Run{Ran: 1501 * ms, Attempts: 3}, true},
		"short":                           {nil, short, Run{Ran: minLate, Attempts: 3}, false},
		"short, late":                     {nil, short, Run{Ran: minLate + 1, Attempts: 3}, true},
		"nothing known":                   {nil, unknown, Run{Ran: time.Hour, Attempts: 3}, false},
		"too few siblings":                {siblings[:2], unknown, Run{Ran: time.Hour, Attempts: 3}, false},
		"before the siblings":             {siblings, unknown, Run{Ran: 1800 * ms, Attempts: 3}, false},
		"beyond the siblings":             {siblings, unknown, Run{Ran: 1801 * ms, Attempts: 3}, true},
		"siblings shorter than expected":  {[]time.Duration{100 * ms, 110 * ms, 120 * ms}, known, Run{Ran: 201 * ms, Attempts: 3}, true},
		"troubled, before the median":     {nil, known, Run{Ran: time.Second, Troubled: true, Attempts: 3}, false},
		"troubled, beyond the median":     {nil, known, Run{Ran: time.Second + 1, Troubled: true, Attempts: 3}, true},
		"failure would leave one attempt": {nil, known, Run{Ran: time.Hour, Failures: 1, Attempts: 3}, true},
		"failure would end the job":       {nil, known, Run{Ran: time.Hour, Failures: 1, Attempts: 2}, false},
		"one attempt":                     {nil, known, Run{Ran: time.Hour, Attempts: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s Step
			for _, took := range test.siblings {
				s.Done(took)
			}
			qt.Assert(t, s.Wants(0, test.run, test.e), qt.Equals, test.want)
		})
	}
}

// TestOneCopy guards against more than one copy of a task, unless a worker of it was lost.
func TestOneCopy(t *testing.T) {
	late := Run{Ran: time.Hour, Attempts: 3}
	e := expectation{median: time.Second, quantile: time.Second, runs: minRuns}
	var s Step
	s.Started(1)
	qt.Assert(t, s.Wants(1, late, e), qt.IsFalse)
	qt.Assert(t, s.Wants(0, late, e), qt.IsTrue)
	s.Lost(1)
	qt.Assert(t, s.Wants(1, late, e), qt.IsTrue)
}

// TestBudget guards against copies that take more than their share of a pool, and against a small pool without any.
func TestBudget(t *testing.T) {
	for name, test := range map[string]struct {
		pool, used, cpu int64
		want            bool
	}{
		"first in a small pool":  {4000, 0, 3000, true},
		"second in a small pool": {4000, 3000, 1, false},
		"up to the share":        {100000, 7000, 3000, true},
		"beyond the share":       {100000, 7000, 3001, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(test.pool, test.used)
			qt.Assert(t, b.Take(test.cpu), qt.Equals, test.want)
		})
	}
}

// TestModel guards against copies beyond the bounds in any order of events: a second copy of a task without a loss, a copy of a run that
// is not late by any measure, and more processors than the share.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Step
		copied := make(map[int]bool)
		done := 0
		pool := rapid.Int64Range(1000, 100000).Draw(t, "pool")
		b := NewBudget(pool, 0)
		var used int64
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			index := rapid.IntRange(0, 7).Draw(t, "task")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s.Done(time.Duration(rapid.IntRange(100, 2000).Draw(t, "took")) * ms)
				done++
			case 1:
				s.Lost(index)
				delete(copied, index)
			default:
				run := Run{
					Ran: time.Duration(rapid.IntRange(0, 5000).Draw(t, "ran")) * ms, Troubled: rapid.Bool().Draw(t, "troubled"),
					Failures: rapid.IntRange(0, 3).Draw(t, "failures"), Attempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
				}
				e := expectation{median: 500 * ms, quantile: 900 * ms, runs: rapid.IntRange(0, 10).Draw(t, "runs")}
				cpu := rapid.Int64Range(100, 13000).Draw(t, "cpu")
				if !s.Wants(index, run, e) || !b.Take(cpu) {
					continue
				}
				s.Started(index)
				first := used == 0
				used += cpu
				switch {
				case copied[index]:
					t.Fatal("second copy")
				case run.Ran <= minLate, done < minSiblings && e.runs < minRuns:
					t.Fatal("the run is not known to be late")
				case run.Failures+1 >= run.Attempts:
					t.Fatal("the failure of the copy ends the job")
				case !first && used > int64(budgetShare*float64(pool)):
					t.Fatal("copies beyond the share")
				}
				copied[index] = true
			}
		}
	})
}

package work_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestStateOfNewerVersion guards against a row of a newer version that takes down each process which shows or logs its state.
func TestStateOfNewerVersion(t *testing.T) {
	tests := map[string]struct {
		state work.State
		want  string
	}{
		"last state":     {work.Cancelled, "cancelled"},
		"newer state":    {work.State(1000), "State(1000)"},
		"negative state": {work.State(-1), "State(-1)"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.state.String(), qt.Equals, test.want) })
	}
}

// TestFirstRuns guards against a next leader that does not know of one of the two runs of a task with a copy, whichever ends first and
// however the row was split, and against a record of a run that has ended.
func TestFirstRuns(t *testing.T) {
	record := func() *work.OccurrenceProgress {
		o := &work.OccurrenceProgress{Steps: make([]work.StepProgress, 1)}
		o.SetRun(0, 3, "a", 1)
		o.SetRun(0, 3, "b", 2)
		o.SetFirstRun(0, 3, "a", 1)
		return o
	}
	both := map[string]int{"a": 1, "b": 2}
	tests := map[string]struct {
		change func(*work.OccurrenceProgress)
		want   map[string]int
	}{
		"both":             {func(*work.OccurrenceProgress) {}, both},
		"copy ended":       {func(o *work.OccurrenceProgress) { qt.Assert(t, o.EndRun(0, 3, 2), qt.IsTrue) }, map[string]int{"a": 1}},
		"first ended":      {func(o *work.OccurrenceProgress) { qt.Assert(t, o.EndRun(0, 3, 1), qt.IsTrue) }, map[string]int{"b": 2}},
		"started again":    {func(o *work.OccurrenceProgress) { o.SetRun(0, 3, "c", 3) }, map[string]int{"c": 3}},
		"other run ended":  {func(o *work.OccurrenceProgress) { qt.Assert(t, o.EndRun(0, 3, 4), qt.IsFalse) }, both},
		"workers are gone": {func(o *work.OccurrenceProgress) { o.ForgetWorkers(func(string) bool { return true }) }, both},
		"a worker before them is gone": {func(o *work.OccurrenceProgress) {
			o.Workers = append([]string{"x"}, o.Workers...)
			for _, runs := range []map[int]work.RunRecord{o.Steps[0].Runs, o.Steps[0].FirstRuns} {
				for i, r := range runs {
					runs[i] = work.RunRecord{Worker: r.Worker + 1, Number: r.Number}
				}
			}
			qt.Assert(t, o.ForgetWorkers(func(id string) bool { return id == "x" }), qt.IsTrue)
		}, both},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := record()
			test.change(o)
			p := work.NewProgress()
			p.Occurrences[0] = o
			parts, _ := p.Split(70, 0)
			joined := parts[0]
			for _, part := range parts[1:] {
				joined.Join(part)
			}
			got := make(map[string]int)
			for id, number := range joined.Occurrences[0].OpenRuns(0, 3) {
				got[id] = number
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
			qt.Assert(t, joined.Occurrences[0].LastRun(0, 3) >= 2, qt.IsTrue)
		})
	}
}

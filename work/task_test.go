package work_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestTaskName guards against names in the log that differ from those of earlier versions, which tools read.
func TestTaskName(t *testing.T) {
	qt.Assert(t, work.Task{Job: "a"}.Name(), qt.Equals, "0.0.0")
	qt.Assert(t, work.Task{Job: "a", Occurrence: 12, Step: 3, Index: 405}.Name(), qt.Equals, "12.3.405")
}

// TestTaskOrder guards against an order that depends on that of a map.
func TestTaskOrder(t *testing.T) {
	sorted := []work.Task{{Job: "a"}, {Job: "a", Index: 2}, {Job: "a", Index: 10}, {Job: "a", Step: 1}, {Job: "a", Occurrence: 1}, {Job: "b"}}
	tasks := slices.Clone(sorted)
	slices.Reverse(tasks)
	slices.SortFunc(tasks, work.Task.Compare)
	qt.Assert(t, tasks, qt.DeepEquals, sorted)
}

package work_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestServiceTasks guards against a count of steps instead of tasks, and against one that includes tasks that end.
func TestServiceTasks(t *testing.T) {
	tests := map[string]struct {
		steps []work.Step
		want  int
	}{
		"none":      {nil, 0},
		"ends":      {[]work.Step{{Count: 3}}, 0},
		"service":   {[]work.Step{{Count: 24, Service: true}}, 24},
		"two":       {[]work.Step{{Count: 2, Service: true}, {Count: 3, Service: true}}, 5},
		"both":      {[]work.Step{{Count: 2}, {Count: 3, Service: true}}, 3},
		"no tasks":  {[]work.Step{{Service: true}}, 0},
		"gang ends": {[]work.Step{{Count: 4, Gang: true}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			job := work.Job{Steps: test.steps}
			qt.Assert(t, job.ServiceTasks(), qt.Equals, test.want)
		})
	}
}

// TestWidth guards against a pool that gets too few workers for a service with a limit per worker, and against tasks that are not counted.
func TestWidth(t *testing.T) {
	j := work.Job{Steps: []work.Step{{Count: 5, Service: true, MaxPerWorker: 2}, {Count: 9, MaxPerWorker: 1}, {Count: 4, Service: true}}}
	qt.Assert(t, j.Tasks(), qt.Equals, 18)
	qt.Assert(t, j.MinWorkers(), qt.Equals, 3)
	qt.Assert(t, (&work.Job{}).MinWorkers(), qt.Equals, 0)
}

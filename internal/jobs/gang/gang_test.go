package gang

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestWidth guards against a gang for which a pool gets too few instances, and against instances for one that fits nowhere.
func TestWidth(t *testing.T) {
	instances := []work.Resources{{CPU: 8000, Memory: 8000}, {CPU: 8000, Memory: 8000}, {CPU: 4000, Memory: 8000}}
	for name, test := range map[string]struct {
		shape Shape
		want  int
	}{
		"one":              {Shape{Request: work.Resources{CPU: 2000}, Count: 4}, 1},
		"two":              {Shape{Request: work.Resources{CPU: 2000}, Count: 5}, 2},
		"all":              {Shape{Request: work.Resources{CPU: 2000}, Count: 10}, 3},
		"too many":         {Shape{Request: work.Resources{CPU: 2000}, Count: 11}, 0},
		"memory":           {Shape{Request: work.Resources{CPU: 1000, Memory: 4000}, Count: 3}, 2},
		"one per worker":   {Shape{Request: work.Resources{CPU: 1000}, Count: 3, MaxPerWorker: 1}, 3},
		"no GPU":           {Shape{Request: work.Resources{GPU: 1}, Count: 1}, 0},
		"no request":       {Shape{Count: 100}, 1},
		"no request, each": {Shape{Count: 4, MaxPerWorker: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, test.shape.Width(instances), qt.Equals, test.want)
		})
	}
}
